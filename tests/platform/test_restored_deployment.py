"""Router processes on a store that comes back from a copy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import testtools

from tests.platform.test_whole_path import ROUTERS, _run_scenario
from tests.support.idle_limits import CONFIG_APPLY_SECONDS
from tests.support.runner_announcements import DRAIN_SECONDS
from tests.support.version_requests import ask_version, put_version

if TYPE_CHECKING:
    from tests.support.simulated_deployment import (
        Caller,
        Router,
        SimulatedDeployment,
        StoreCopy,
    )

# Time in which routers learn of a change of the store.
_SPREAD_SECONDS = 1.0
# Time for which the store is away before it comes back.
_AWAY_SECONDS = 0.5
# Changes that a restore undoes.
_LOST_CHANGES = 100
# Time in which a group is repaired, and a router starts.
_REPAIR_SECONDS = 10.0
_START_SECONDS = 5.0
_POLL_SECONDS = 0.1


def _raise_revision(deployment: SimulatedDeployment) -> None:
    """Lets the store's revision rise as it does in some busy seconds."""
    for number in range(_LOST_CHANGES):
        deployment.store.put("notes", f"note-{number}", {})


async def _restore(
    deployment: SimulatedDeployment,
    copied: StoreCopy,
    *,
    rewritten_after_seconds: float,
) -> None:
    """Lets the store go away for a moment and come back from a copy."""
    deployment.store.state = "silent"
    await asyncio.sleep(_AWAY_SECONDS)
    deployment.store.state = "up"
    deployment.restore_store(
        copied, rewritten_after_seconds=rewritten_after_seconds
    )


async def _copy_between_versions(
    deployment: SimulatedDeployment,
) -> tuple[int, int, StoreCopy]:
    """Copies the store between two versions, of which the newer is in force.

    Returns:
        The older version, which the copy holds, the newer one, and the copy.
    """
    older = put_version(deployment)
    await asyncio.sleep(_SPREAD_SECONDS)
    copied = deployment.store.make_copy()
    _raise_revision(deployment)
    newer = put_version(deployment)
    await asyncio.sleep(CONFIG_APPLY_SECONDS)
    return older, newer, copied


async def _ask(
    deployment: SimulatedDeployment, router: Router, version: int
) -> int | None:
    """Returns the status of a request with the key of a version."""
    return await ask_version(
        deployment, router, version, f"v{time.monotonic()}-{router.ip}"
    )


class RestoredDeploymentTest(testtools.TestCase):
    """Routers go on by what was acknowledged before and after a restore."""

    def test_new_version_after_a_restore_is_in_force_in_time(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            copied = deployment.store.make_copy()
            _raise_revision(deployment)
            lost = put_version(deployment)
            await asyncio.sleep(_SPREAD_SECONDS)
            await _restore(deployment, copied, rewritten_after_seconds=0.2)
            await asyncio.sleep(0.3)
            newest = put_version(deployment)
            await asyncio.sleep(CONFIG_APPLY_SECONDS)
            for router in deployment.routers.values():
                statuses = [
                    await _ask(deployment, router, version)
                    for version in (newest, lost)
                ]
                self.assertEqual([200, 401], statuses, router.ip)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_version_in_force_does_not_go_back_to_that_of_the_copy(
        self,
    ) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            older, newer, copied = await _copy_between_versions(deployment)
            await _restore(deployment, copied, rewritten_after_seconds=1.0)
            end = time.monotonic() + 2.0
            while time.monotonic() < end:
                for router in deployment.routers.values():
                    statuses = [
                        await _ask(deployment, router, version)
                        for version in (newer, older)
                    ]
                    self.assertEqual([200, 401], statuses, router.ip)
                await asyncio.sleep(_POLL_SECONDS)

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_router_that_starts_on_the_copy_serves_by_the_newer_version(
        self,
    ) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            older, newer, copied = await _copy_between_versions(deployment)
            await _restore(deployment, copied, rewritten_after_seconds=4.0)
            router = deployment.add_router(ROUTERS + 1)
            end = time.monotonic() + _START_SECONDS
            status = None
            while status not in (200, 401) and time.monotonic() < end:
                await asyncio.sleep(_POLL_SECONDS)
                status = await _ask(deployment, router, newer)
            self.assertEqual(
                [200, 401], [status, await _ask(deployment, router, older)]
            )

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_draining_runner_gets_no_work_after_a_restore(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            runner = next(
                r for r in deployment.runners.values() if not r.domain
            )
            copied = deployment.store.make_copy()
            _raise_revision(deployment)
            runner.draining = True
            await asyncio.sleep(DRAIN_SECONDS)
            seen = len(runner.request_ids)
            await _restore(deployment, copied, rewritten_after_seconds=0.2)
            outcomes = []
            for number in range(60):
                for router in deployment.routers.values():
                    outcomes.append(
                        await caller.send(
                            router, "safe", f"d{number}-{router.ip}"
                        )
                    )
            self.assertEqual({"served"}, set(outcomes))
            self.assertEqual([], runner.request_ids[seen:])

        self.assertEqual([], _run_scenario(scenario).breaches)

    def test_groups_go_on_and_are_repaired_after_a_restore(self) -> None:
        async def scenario(
            deployment: SimulatedDeployment, caller: Caller
        ) -> None:
            copied = deployment.store.make_copy()
            _raise_revision(deployment)
            await asyncio.sleep(_SPREAD_SECONDS)
            await _restore(deployment, copied, rewritten_after_seconds=0.2)
            routers = list(deployment.routers.values())
            outcomes = [
                await caller.send(router, "write", f"w-{router.ip}")
                for router in routers
            ]
            self.assertEqual(["served"] * ROUTERS, outcomes)
            for head in deployment.open_heads():
                deployment.runners[head.members[1]].crash()
            end = time.monotonic() + _REPAIR_SECONDS
            outcomes = []
            while time.monotonic() < end and set(outcomes) != {"served"}:
                await asyncio.sleep(_POLL_SECONDS)
                outcomes = [
                    await caller.send(
                        router, "write", f"x{time.monotonic()}-{router.ip}"
                    )
                    for router in routers
                ]
            self.assertEqual({"served"}, set(outcomes))

        self.assertEqual([], _run_scenario(scenario).breaches)
