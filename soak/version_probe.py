"""Asks routers for the version in force and notes what they must know."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.support.version_requests import ask_version

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.support.simulated_deployment import Router, SimulatedDeployment

# Time between two looks at the store, and between two requests to a router.
LOOK_SECONDS = 0.1
PROBE_SECONDS = 0.3
# A request is for the newest version or one of so many before.
RECENT_VERSIONS = 3
# A router that reaches the store knows after this time that a runner drains.
KNOWN_SECONDS = 1.0


class VersionProbe:
    """Sends requests with the keys of versions to all routers."""

    def __init__(
        self,
        deployment: SimulatedDeployment,
        rng: random.Random,
        *,
        is_store_reachable: Callable[[], bool],
        is_path_sound: Callable[[Router], bool],
    ) -> None:
        """Prepares the requests.

        Args:
            deployment: The deployment with the routers.
            rng: Source of random choices.
            is_store_reachable: Returns whether routers reach the store.
            is_path_sound: Returns whether a router's own path to it is sound.
        """
        self._deployment = deployment
        self._rng = rng
        self._is_store_reachable = is_store_reachable
        self._is_path_sound = is_path_sound
        self._number = 0
        # When the store first said that a runner drains, by its lifetime.
        self._draining_since: dict[str, float] = {}

    async def run(self) -> None:
        """Looks at the store and asks the routers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for router in self._deployment.routers.values():
                group.create_task(self._ask(router))
            while True:
                if not self._is_store_reachable():
                    self._deployment.versions.record_unreachable()
                self._note_lost_paths()
                self._note_draining_runners()
                await asyncio.sleep(LOOK_SECONDS)

    async def _ask(self, router: Router) -> None:
        """Sends requests to one router."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            newest = self._deployment.version
            oldest = max(2, newest - RECENT_VERSIONS)
            self._number += 1
            await ask_version(
                self._deployment,
                router,
                self._rng.choice((newest, self._rng.randint(oldest, newest))),
                f"v{self._number}",
            )

    def _note_lost_paths(self) -> None:
        """Notes which routers don't reach the store while others do."""
        for router in self._deployment.routers.values():
            if router.process is not None and not self._is_path_sound(router):
                self._deployment.versions.record_path_lost(router.process.pid)

    def _note_draining_runners(self) -> None:
        """Notes which routers must know of the plain runners that drain."""
        deployment = self._deployment
        now = time.monotonic()
        for runner in deployment.runners.values():
            if runner.domain or not runner.alive:
                continue
            entry = deployment.store.get("servers", runner.runner_id)
            if entry is None or entry["born"] != runner.started_at_ms:
                continue
            if entry["state"] == "draining":
                self._draining_since.setdefault(runner.lifetime, now)
            since_seconds = self._draining_since.get(runner.lifetime)
            if since_seconds is None:
                continue
            for router in deployment.routers.values():
                if router.process is None or not router.alive:
                    continue
                known_at_seconds = KNOWN_SECONDS + max(
                    since_seconds,
                    deployment.versions.reachable_since_seconds(
                        router.process.pid
                    ),
                    deployment.announcements.excused_at_seconds(router.ip),
                )
                if now > known_at_seconds:
                    deployment.announcements.record_known(
                        router.ip, runner.lifetime
                    )
