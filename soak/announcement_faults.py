"""Runners that announce to leave, and runners that ask for pauses."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.support.simulated_deployment import Runner, SimulatedDeployment

# Shortest and longest time between two of these faults.
INTERVAL_SECONDS = (0.2, 1.0)

# Share of the faults that concern runners to which requests are sent.
SERVING_SHARE = 0.8

# Shortest and longest time for which the entry of a leaving runner says that it
# is ready, and after which the runner ends.
READY_SECONDS = (0.2, 6.0)
LEAVE_SECONDS = (3.0, 7.0)

# Pause before a runner that still has work is asked again whether it can end.
IDLE_POLL_SECONDS = 0.2

# Shortest and longest time for which a runner refuses requests.
PAUSE_SECONDS = (0.6, 3.0)


class AnnouncementFaults:
    """Lets random runners leave or ask for pauses."""

    def __init__(
        self,
        deployment: SimulatedDeployment,
        rng: random.Random,
        *,
        call_later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Prepares the faults.

        Args:
            deployment: The deployment that they are injected into.
            rng: Source of random choices.
            call_later: Calls a function after some seconds.
        """
        self._deployment = deployment
        self._rng = rng
        self._call_later = call_later

    async def run(self) -> None:
        """Injects faults at random times until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*INTERVAL_SECONDS))
            self._rng.choice((self.leave, self.pause))()

    def leave(self) -> None:
        """Lets a runner announce that it is leaving, and ends it later.

        Its entry says that it is ready for some time, or until it has ended.
        """
        runner = self._random_runner()
        if runner is None:
            return
        runner.leaving = True

        def drain() -> None:
            runner.draining = True

        self._call_later(self._rng.uniform(*READY_SECONDS), drain)
        self._call_later(
            self._rng.uniform(*LEAVE_SECONDS), lambda: self._replace(runner)
        )

    def pause(self) -> None:
        """Lets a runner refuse requests and ask for a pause."""
        runner = self._random_runner()
        if runner is not None:
            runner.refuses_until_seconds = time.monotonic() + self._rng.uniform(
                *PAUSE_SECONDS
            )

    def _random_runner(self) -> Runner | None:
        """Returns a random runner that lives and is not leaving, or None."""
        runners = [
            runner
            for runner in self._deployment.runners.values()
            if runner.alive and not runner.leaving
        ]
        if self._rng.random() < SERVING_SHARE:
            runners = [
                runner
                for runner in runners
                if not runner.domain or runner.state == "open"
            ]
        return self._rng.choice(runners) if runners else None

    def _replace(self, runner: Runner) -> None:
        """Ends an idle runner and starts another, half of them with its id.

        Like on the platform, a runner goes on serving while it has requests or
        belongs to a group.
        """
        if not runner.alive:
            return
        if runner.running or runner.group is not None:
            self._call_later(IDLE_POLL_SECONDS, lambda: self._replace(runner))
            return
        runner.crash()
        self._deployment.restart_runner(runner)
