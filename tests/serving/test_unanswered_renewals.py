"""Leases whose renewal took effect without an answer."""

from __future__ import annotations

import asyncio

import testtools

from mulberrypaddle.replicas.ownership import LEASE_SECONDS
from mulberrypaddle.serving.duty_manager import CHECK_INTERVAL_SECONDS
from tests.support.lease_store import LinkState
from tests.support.lease_world import (
    DUTY,
    TICK_SECONDS,
    LeaseWorld,
    run_lease_world,
)


class UnansweredRenewalTest(testtools.TestCase):
    """An owner that learns later that a renewal took effect."""

    def test_lease_does_not_outlast_the_renewal_that_took_effect(self) -> None:
        async def scenario(world: LeaseWorld) -> None:
            owner = await world.wait_for_owner()
            for process in world.processes.values():
                process.deaf = True
            await asyncio.sleep(2.0)
            owner.store.state = LinkState.UNANSWERED_WRITES
            renewed = world.objects.revision
            while world.objects.revision == renewed:
                await asyncio.sleep(0.01)
            owner.store.state = LinkState.BUSY
            # The next renewals are refused until shortly before others may
            # acquire the duty; one more finds that the first took effect.
            await asyncio.sleep(LEASE_SECONDS - 4 * CHECK_INTERVAL_SECONDS)
            owner.store.state = LinkState.UP
            revision = owner.manager.duties[DUTY].ownership.revision
            while owner.manager.duties[DUTY].ownership.revision == revision:
                await asyncio.sleep(0.01)
            owner.store.state = LinkState.SILENT
            await asyncio.sleep(LEASE_SECONDS + TICK_SECONDS)

        world = run_lease_world(scenario)
        self.assertEqual(2, len(world.acquired))
        self.assertEqual(1, world.max_owners)
