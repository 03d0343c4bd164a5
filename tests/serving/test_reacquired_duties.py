"""Duties that are acquired again after a release that was not written."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.replicas.ownership import LEASE_SECONDS
from tests.support.lease_store import LATE_SECONDS, LinkState
from tests.support.lease_world import (
    TICK_SECONDS,
    LeaseProcess,
    LeaseWorld,
    run_lease_world,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Time in which a duty is released and acquired again.
_HAND_OVER_SECONDS = 2.0


def _release(world: LeaseWorld, owner: LeaseProcess, state: LinkState) -> None:
    """Makes an owner release the duty in a state of its link to the store."""
    owner.store.state = state
    world.spawn_release(owner)


def _silence_others(world: LeaseWorld, *allowed: LeaseProcess) -> None:
    """Lets only some processes reach the store."""
    for process in world.processes.values():
        process.store.state = (
            LinkState.UP if process in allowed else LinkState.SILENT
        )


class ReacquisitionTest(testtools.TestCase):
    """Each acquisition gets a fencing token of its own."""

    def _run(
        self, scenario: Callable[[LeaseWorld], Awaitable[None]]
    ) -> LeaseWorld:
        """Runs a scenario; checks that no token or epoch is issued twice."""
        world = run_lease_world(scenario)
        self.assertGreater(len(world.acquired), 1)
        self.assertEqual(sorted(set(world.acquired)), world.acquired)
        epochs = [epoch for _, epoch in world.issued]
        self.assertEqual(sorted(set(epochs)), epochs)
        return world

    def _run_release(
        self, state: LinkState, *, restarts: bool = False
    ) -> LeaseWorld:
        """Releases a duty that is acquired again on the same VM.

        Args:
            state: What happens to the write of the release.
            restarts: Whether a new process acquires the duty.
        """

        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            _silence_others(world, owner)
            _release(world, owner, state)
            await asyncio.sleep(0.01)
            owner.store.state = LinkState.UP
            if restarts:
                world.start(owner.vm)
            await asyncio.sleep(LATE_SECONDS[1] + LEASE_SECONDS)

        return self._run(scenario)

    def test_lost_release(self) -> None:
        self._run_release(LinkState.LOST_WRITES)

    def test_release_without_an_answer(self) -> None:
        self._run_release(LinkState.UNANSWERED_WRITES)

    def test_late_release_does_not_end_a_later_ownership(self) -> None:
        world = self._run_release(LinkState.LATE_WRITES)
        self.assertEqual(2, len(world.acquired))

    def test_new_process_after_a_lost_release(self) -> None:
        self._run_release(LinkState.LOST_WRITES, restarts=True)

    def test_new_process_before_a_late_release(self) -> None:
        self._run_release(LinkState.LATE_WRITES, restarts=True)

    def test_duty_handed_over_before_the_first_renewal(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            owner.store.state = LinkState.BUSY
            await asyncio.sleep(_HAND_OVER_SECONDS)
            owner.store.state = LinkState.UP
            await asyncio.sleep(_HAND_OVER_SECONDS)

        self._run(scenario)

    def test_lost_releases_of_two_owners_in_turn(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            second = next(
                process
                for process in world.processes.values()
                if process is not first
            )
            for owner, successor in ((first, second), (second, first)):
                _silence_others(world, successor)
                _release(world, owner, LinkState.LOST_WRITES)
                await asyncio.sleep(TICK_SECONDS)
                while not successor.manager.holds_any_lease():
                    await asyncio.sleep(TICK_SECONDS)

        self._run(scenario)

    def test_claim_of_an_earlier_ownership_does_not_end_the_lease(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            # Others hear its first claim, and it does not renew yet.
            await asyncio.sleep(0.4)
            for process in world.processes.values():
                process.deaf = True
            await owner.release()
            while not owner.manager.holds_any_lease():
                await asyncio.sleep(0.05)
            owner.store.state = LinkState.SILENT
            await asyncio.sleep(LEASE_SECONDS + _HAND_OVER_SECONDS)

        self.assertEqual(1, self._run(scenario).max_owners)
