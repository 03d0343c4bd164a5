"""Duties whose leases are undone by a restore of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.replicas.ownership import (
    LEASE_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)
from mulberrypaddle.serving.store_era import era_of
from tests.support.lease_store import LinkState
from tests.support.lease_world import (
    DUTY,
    TICK_SECONDS,
    LeaseProcess,
    LeaseWorld,
    run_lease_world,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Time in which a free duty is acquired, also after a call without an answer.
_ACQUISITION_SECONDS = 3.0


def _deafen(world: LeaseWorld) -> None:
    """Lets processes learn of a lease from the store only."""
    for process in world.processes.values():
        process.deaf = True


def _connect_only(world: LeaseWorld, *connected: LeaseProcess) -> None:
    """Lets only some processes reach the store."""
    for process in world.processes.values():
        process.store.state = (
            LinkState.UP if process in connected else LinkState.SILENT
        )


def _others(
    world: LeaseWorld, *excluded: LeaseProcess | None
) -> list[LeaseProcess]:
    """Returns the processes but some."""
    return [
        process
        for process in world.processes.values()
        if process not in excluded
    ]


async def _wait_until_held(process: LeaseProcess) -> None:
    """Waits until a process owns the duty."""
    while not process.manager.holds_any_lease():
        await asyncio.sleep(0.01)


class _RestoredLeaseTestCase(testtools.TestCase):
    """Base of tests that check the owners across restores."""

    def _run(
        self, scenario: Callable[[LeaseWorld], Awaitable[None]]
    ) -> LeaseWorld:
        """Runs a scenario; checks its owners, fencing tokens and epochs."""
        world = run_lease_world(scenario)
        self.assertEqual(1, world.max_owners)
        self.assertEqual(sorted(set(world.acquired)), world.acquired)
        epochs = [epoch for _, epoch in world.issued]
        self.assertEqual(sorted(set(epochs)), epochs)
        return world


class CopiedLeaseTest(_RestoredLeaseTestCase):
    """A copy does not have the lease that counts."""

    def test_copied_release_does_not_end_a_later_lease(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            await first.release()
            await asyncio.sleep(0.05)
            released_at_seconds = asyncio.get_running_loop().time()
            second, third = _others(world, first)
            _connect_only(world, second)
            await _wait_until_held(second)
            _deafen(world)
            _connect_only(world, third)
            now = asyncio.get_running_loop().time()
            world.objects.restore(now - released_at_seconds)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(3, len(self._run(scenario).acquired))

    def test_absence_in_a_copy_does_not_end_a_lease(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            _deafen(world)
            _connect_only(world, *_others(world, owner))
            world.objects.restore(60.0)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(2, len(self._run(scenario).acquired))

    def test_own_record_in_a_copy_does_not_end_a_later_lease(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            second = _others(world, first)[0]
            copied_at_seconds = asyncio.get_running_loop().time()
            _connect_only(world, second)
            first.store.state = LinkState.LOST_WRITES
            world.spawn_release(first)
            await _wait_until_held(second)
            _deafen(world)
            _connect_only(world, first)
            now = asyncio.get_running_loop().time()
            world.objects.restore(now - copied_at_seconds)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(3, len(self._run(scenario).acquired))

    def test_record_of_an_ended_process_does_not_end_a_later_lease(
        self,
    ) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            second, third = _others(world, first)
            copied_at_seconds = asyncio.get_running_loop().time()
            successor = world.start(first.vm)
            _connect_only(world, second)
            await _wait_until_held(second)
            _deafen(world)
            _connect_only(world, third, successor)
            now = asyncio.get_running_loop().time()
            world.objects.restore(now - copied_at_seconds)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(3, len(self._run(scenario).acquired))

    def test_claim_from_before_a_restore_does_not_shorten_the_wait(
        self,
    ) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            await asyncio.sleep(0.3)
            copied_at_seconds = asyncio.get_running_loop().time()
            _deafen(world)
            _connect_only(world, owner)
            await asyncio.sleep(2 * LEASE_SECONDS)
            _connect_only(world, *_others(world, owner))
            now = asyncio.get_running_loop().time()
            world.objects.restore(now - copied_at_seconds)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(2, len(self._run(scenario).acquired))

    def test_second_restore_starts_the_wait_again(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            _deafen(world)
            second, third = _others(world, owner)
            _connect_only(world, second)
            world.objects.restore(60.0)
            await _wait_until_held(second)
            _connect_only(world, third)
            world.objects.restore(60.0)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        world = self._run(scenario)
        self.assertEqual([1, 2, 3], [era_of(fence) for fence in world.acquired])

    def test_process_that_starts_after_a_restore_waits_for_the_lease(
        self,
    ) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            _connect_only(world)
            _deafen(world)
            world.objects.restore(60.0)
            second = world.start(_others(world, owner)[0].vm)
            second.deaf = True
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(2, len(self._run(scenario).acquired))

    def test_late_write_of_the_era_before_does_not_end_a_lease(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            # The release of the first owner is sent on the revision of its
            # last write, and reaches the store after a restore that gave this
            # revision out again.
            second = _others(world, first)[0]
            item = world.objects.get(DUTY)
            assert item is not None
            condition = item.revision
            first.store.state = LinkState.LOST_WRITES
            world.spawn_release(first)
            await asyncio.sleep(0.05)
            release = first.manager._make_record(
                first.manager.duties[DUTY].ownership.next_renewals(0.0),
                era=1,
                given_up=True,
            ).to_value()
            world.objects.restore(60.0)
            _connect_only(world, second)
            await _wait_until_held(second)
            _deafen(world)
            _connect_only(world, *_others(world, second))
            item = world.objects.get(DUTY)
            assert item is not None
            self.assertEqual(condition, item.revision)
            world.objects.write(DUTY, release, create=False, revision=condition)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(3, len(self._run(scenario).acquired))


class ReassertedLeaseTest(_RestoredLeaseTestCase):
    """An owner whose lease is not in the copy."""

    def _run_owner(
        self, *, age_seconds: float, held_before: bool = True
    ) -> tuple[LeaseWorld, float]:
        """Restores the store under an owner that renews its lease.

        Args:
            age_seconds: Age of the copy.
            held_before: Whether the owner's lease is valid at the restore.

        Returns:
            The world, and the time after the restore without an owner.
        """
        gap_seconds = 0.0

        async def scenario(world: LeaseWorld) -> None:
            nonlocal gap_seconds
            owner = await world.wait_for_owner()
            await asyncio.sleep(4 * RENEWAL_INTERVAL_SECONDS + 0.3)
            if not held_before:
                _deafen(world)
                _connect_only(world)
                while owner.manager.holds_any_lease():
                    await asyncio.sleep(0.01)
            world.objects.restore(age_seconds)
            _connect_only(world, *world.processes.values())
            for _ in range(100):
                if world.owner() is None:
                    gap_seconds += 0.05
                await asyncio.sleep(0.05)

        return self._run(scenario), gap_seconds

    def test_owner_keeps_a_duty_whose_copied_record_is_older(self) -> None:
        world, gap_seconds = self._run_owner(age_seconds=1.0)
        self.assertEqual(0.0, gap_seconds)
        self.assertEqual([1, 2], [era_of(fence) for fence in world.acquired])

    def test_owner_keeps_a_duty_that_is_missing_from_the_copy(self) -> None:
        world, gap_seconds = self._run_owner(age_seconds=60.0)
        self.assertEqual(0.0, gap_seconds)
        self.assertEqual([1, 2], [era_of(fence) for fence in world.acquired])

    def test_owner_whose_lease_has_ended_waits_like_others(self) -> None:
        _, gap_seconds = self._run_owner(age_seconds=2.0, held_before=False)
        self.assertGreaterEqual(gap_seconds, LEASE_SECONDS - 0.1)
        self.assertLess(gap_seconds, LEASE_SECONDS + _ACQUISITION_SECONDS)

    def test_former_owner_does_not_renew_its_copied_record(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            first = await world.wait_for_owner()
            second = _others(world, first)[0]
            _deafen(world)
            copied_at_seconds = asyncio.get_running_loop().time()
            _connect_only(world, second)
            await _wait_until_held(second)
            _connect_only(world, first)
            now = asyncio.get_running_loop().time()
            world.objects.restore(now - copied_at_seconds)
            await asyncio.sleep(LEASE_SECONDS + _ACQUISITION_SECONDS)

        self.assertEqual(3, len(self._run(scenario).acquired))

    def test_owner_that_learns_of_the_restore_late_keeps_the_duty(
        self,
    ) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            await asyncio.sleep(2 * RENEWAL_INTERVAL_SECONDS)
            world.objects.restore(60.0)
            owner.store.state = LinkState.SILENT
            _deafen(world)
            await asyncio.sleep(0.9)
            owner.store.state = LinkState.UP
            await asyncio.sleep(LEASE_SECONDS)
            self.assertTrue(owner.manager.holds_any_lease())

        self.assertEqual(2, len(self._run(scenario).acquired))

    def test_reassertion_whose_answer_is_lost_is_repeated(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            await asyncio.sleep(2 * RENEWAL_INTERVAL_SECONDS)
            world.objects.restore(60.0)
            owner.store.state = LinkState.UNANSWERED_WRITES
            while world.objects.get(DUTY) is None:
                await asyncio.sleep(0.01)
            owner.store.state = LinkState.UP
            await asyncio.sleep(2 * LEASE_SECONDS)

        self._run(scenario)

    def test_late_write_over_the_owners_record_leaves_it_the_duty(
        self,
    ) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            other = _others(world, owner)[0]
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)
            late = other.manager._make_record(
                other.manager.duties[DUTY].ownership.next_renewals(0.0),
                era=1,
            ).to_value()
            world.objects.restore(60.0)
            await asyncio.sleep(2 * RENEWAL_INTERVAL_SECONDS)
            world.objects.write(DUTY, late, create=False, revision=None)
            for _ in range(40):
                await asyncio.sleep(TICK_SECONDS)
                self.assertTrue(owner.manager.holds_any_lease())

        self.assertEqual(3, len(self._run(scenario).acquired))


class ReleasedLeaseTest(_RestoredLeaseTestCase):
    """An owner that releases a duty after a restore it does not know of."""

    def _run_release(self, *, age_seconds: float) -> float:
        """Releases the duty right after a restore, at the end of a process.

        Args:
            age_seconds: Age of the copy.

        Returns:
            Time until the duty is acquired again.
        """
        gap_seconds = 0.0

        async def scenario(world: LeaseWorld) -> None:
            nonlocal gap_seconds
            owner = await world.wait_for_owner()
            await asyncio.sleep(4 * RENEWAL_INTERVAL_SECONDS)
            world.objects.restore(age_seconds)
            await owner.release()
            world.processes.pop(owner.vm).kill()
            while world.owner() is None:
                gap_seconds += 0.05
                await asyncio.sleep(0.05)
            await asyncio.sleep(2 * LEASE_SECONDS)

        self.assertEqual(2, len(self._run(scenario).acquired))
        return gap_seconds

    def test_release_after_a_restore_frees_the_duty(self) -> None:
        for age_seconds in (1.0, 60.0):
            gap_seconds = self._run_release(age_seconds=age_seconds)
            self.assertLess(gap_seconds, LEASE_SECONDS / 2, age_seconds)


class OutageBeforeRestoreTest(_RestoredLeaseTestCase):
    """A store that is away for a moment before it comes back from a copy."""

    def _run_outage(self, link: LinkState, seconds: float) -> float:
        """Runs an outage that ends with a restore.

        Args:
            link: What happens to the calls during the outage.
            seconds: Length of the outage.

        Returns:
            Time without an owner.
        """
        gap_seconds = 0.0

        async def scenario(world: LeaseWorld) -> None:
            nonlocal gap_seconds
            await world.wait_for_owner()
            await asyncio.sleep(3.3)
            for process in world.processes.values():
                process.store.state = link
            for step in range(200):
                if step == int(seconds / 0.05):
                    world.objects.restore(2.0 + seconds)
                    _connect_only(world, *world.processes.values())
                if world.owner() is None:
                    gap_seconds += 0.05
                await asyncio.sleep(0.05)

        self._run(scenario)
        return gap_seconds

    def test_duty_is_kept_over_an_outage_and_restore(self) -> None:
        for link in (LinkState.BUSY, LinkState.SILENT):
            for seconds in (1.0, 1.5, 2.0, 2.5):
                gap_seconds = self._run_outage(link, seconds)
                self.assertLess(
                    gap_seconds, LEASE_SECONDS / 2, f"{link} {seconds}"
                )
