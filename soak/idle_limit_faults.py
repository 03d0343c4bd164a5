"""Changes of the idle limit, and routers that are late as it ends."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.support.kept_callers import KeptCallers
    from tests.support.simulated_deployment import Router, SimulatedDeployment

# Ranges of the limits of the configuration for callers' connections; a limit is
# from one of its ranges.
IDLE_SECONDS = ((2.0, 2.5), (2.0, 15.0))
HEADER_SECONDS = ((1.0, 1.0), (1.0, 3.0))
# Shortest and longest time between two pauses of routers.
INTERVAL_SECONDS = (0.5, 2.5)
# A pause begins and ends this long before and after the end of a connection.
BEFORE_SECONDS = (0.2, 1.8)
AFTER_SECONDS = (0.05, 0.2)


class IdleLimitFaults:
    """Changes the limits, and pauses routers as idle connections end.

    A router may close a connection once the idle and the header limit have
    passed, and of several versions any one may be meant.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        callers: KeptCallers,
        rng: random.Random,
        *,
        suspend: Callable[[Router, float], None],
    ) -> None:
        """Prepares the faults.

        Args:
            deployment: The deployment that they are injected into.
            callers: Callers whose connections end.
            rng: Source of random choices.
            suspend: Makes a router stand still for some seconds.
        """
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._suspend = suspend
        self._ends_seconds: list[float] = []
        self.change_limits()

    def change_limits(self) -> None:
        """Chooses the limits of the next version."""
        deployment = self._deployment
        deployment.idle_seconds = self._rng.uniform(
            *self._rng.choice(IDLE_SECONDS)
        )
        deployment.header_seconds = self._rng.uniform(
            *self._rng.choice(HEADER_SECONDS)
        )
        self._ends_seconds.append(
            deployment.idle_seconds + deployment.header_seconds
        )

    async def run(self) -> None:
        """Pauses routers until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*INTERVAL_SECONDS))
            router = self._rng.choice(list(self._deployment.routers.values()))
            idle_since = self._callers.idle_since_seconds(router)
            end_seconds = self._rng.choice(self._ends_seconds[-2:])
            before_seconds = self._rng.uniform(*BEFORE_SECONDS)
            now = time.monotonic()
            delays = [
                since_seconds + end_seconds - before_seconds - now
                for since_seconds in idle_since
            ]
            delays = [seconds for seconds in delays if seconds >= 0.0]
            if not delays:
                continue
            await asyncio.sleep(min(delays))
            self._suspend(
                router, before_seconds + self._rng.uniform(*AFTER_SECONDS)
            )
