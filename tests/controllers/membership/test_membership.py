"""Tests of the membership over seven routers and one store."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.membership import MembershipOptions
from mulberrypaddle.core.invariants import InvariantBreachError
from tests.support.routers import DUTIES, Routers

# Bounds that docs/internals/fleet.md states.
REMOVED_SECONDS = 6.0
OWNED_AGAIN_SECONDS = 13.0
JOINED_SECONDS = 4.0


def _started(**options: float | MembershipOptions) -> Routers:
    fleet = Routers(**options)  # type: ignore[arg-type]
    fleet.run(12)
    return fleet


class MembershipTest(testtools.TestCase):
    """Members come and go; no duty ever has two owners."""

    def assert_all_owned(self, fleet: Routers) -> None:
        self.assertEqual(1.0, fleet.owned_share[-1])
        self.assertThat(fleet.member_sets(), matchers.HasLength(1))

    def test_lost_router_is_removed_and_its_duties_taken_over(self) -> None:
        fleet = _started()
        fleet.kill("router-3")
        fleet.run(REMOVED_SECONDS)
        self.assertEqual({frozenset(fleet.nodes)}, fleet.member_sets())
        fleet.run(OWNED_AGAIN_SECONDS - REMOVED_SECONDS)
        self.assert_all_owned(fleet)
        fleet.start("router-3")
        fleet.run(JOINED_SECONDS)
        self.assert_all_owned(fleet)

    def test_two_routers_of_three_lost_at_once(self) -> None:
        fleet = _started(count=3)
        fleet.kill("router-1")
        fleet.kill("router-2")
        fleet.run(20)
        self.assertEqual({frozenset({"router-3"})}, fleet.member_sets())
        self.assert_all_owned(fleet)

    def test_all_seven_restarted_one_after_another(self) -> None:
        fleet = _started()
        fleet.owned_share.clear()
        for member_id in list(fleet.nodes):
            node = fleet.nodes[member_id]
            node.stop()
            self.assertTrue(fleet.health(member_id).stopping)
            fleet.run(2.0)
            self.assertTrue(node.controllers[0].left)
            fleet.kill(member_id)
            fleet.start(member_id)
            fleet.run(4.0)
            self.assert_all_owned(fleet)
        self.assertThat(min(fleet.owned_share), matchers.GreaterThan(0.5))

    def test_long_outage_leaves_every_duty_owned(self) -> None:
        fleet = _started()
        fleet.store.down = True
        fleet.owned_share.clear()
        fleet.run(600, step_seconds=0.2)
        self.assertEqual(1.0, min(fleet.owned_share))
        fleet.store.down = False
        fleet.run(5)
        self.assert_all_owned(fleet)

    def test_router_that_does_not_confirm_ends_the_leases(self) -> None:
        fleet = _started()
        fleet.store.down = True
        fleet.run(10)
        fleet.kill("router-4")
        fleet.run(8)
        self.assertEqual(0.0, fleet.owned_share[-1])
        fleet.store.down = False
        fleet.run(OWNED_AGAIN_SECONDS)
        self.assert_all_owned(fleet)

    def test_lease_lapses_during_a_pause_while_the_store_is_down(self) -> None:
        fleet = _started()
        fleet.store.down = True
        fleet.paused.add("router-2")
        fleet.run(10)
        fleet.store.down = False
        fleet.run(12)
        fleet.paused.discard("router-2")
        fleet.run(10)
        self.assert_all_owned(fleet)
        self.assertIn("router-2", fleet.membership("router-1").members)

    def test_lost_answer_of_a_take_over_write_changes_nothing(self) -> None:
        fleet = _started()
        epoch = fleet.membership("router-1").epoch
        fleet.kill("router-3")
        fleet.store.lost_responses_remaining = 1
        fleet.run(OWNED_AGAIN_SECONDS)
        self.assertEqual(0, fleet.store.lost_responses_remaining)
        self.assertEqual(epoch + 1, fleet.membership("router-1").epoch)
        self.assert_all_owned(fleet)

    def test_joiner_waits_for_members_that_the_store_can_not_see(self) -> None:
        fleet = _started(count=3)
        old = list(fleet.nodes)
        fleet.store_cut.update(old)
        fleet.run(3)
        fleet.start("router-9")
        for member_id in old:
            fleet.cut.add(frozenset((member_id, "router-9")))
        fleet.owned_share.clear()
        fleet.run(60)
        # Those who confirm each other go on; the joiner owns nothing.
        self.assertEqual(1.0, min(fleet.owned_share))
        for duty in DUTIES:
            self.assertNotIn("router-9", fleet.owners(duty))
        fleet.cut.clear()
        fleet.store_cut.clear()
        fleet.run(20)
        self.assert_all_owned(fleet)

    def test_router_without_store_and_peers_is_isolated(self) -> None:
        fleet = _started()
        fleet.isolate("router-5")
        fleet.run(8)
        self.assertTrue(fleet.health("router-5").isolated)
        fleet.store.down = True
        fleet.run(30)
        self.assertFalse(fleet.health("router-1").isolated)

    def test_second_process_of_one_name_makes_the_first_step_aside(
        self,
    ) -> None:
        fleet = _started(count=3)
        first = fleet.nodes["router-1"]
        fleet.start("router-1")
        fleet.nodes["old"] = first
        fleet.run(12)
        entry = first.context.board.entry(keys.HEALTH)
        assert entry is not None
        self.assertTrue(entry.value.isolated)
        self.assertEqual(1.0, fleet.owned_share[-1])


class ProtectionsTest(testtools.TestCase):
    """Each protection switched off lets its fault through."""

    def test_without_the_wait_an_heir_acts_beside_the_old_owner(self) -> None:
        def isolate_one(options: MembershipOptions) -> None:
            fleet = _started(options=options)
            fleet.isolate("router-2")
            fleet.run(15)

        isolate_one(MembershipOptions())
        self.assertRaises(
            InvariantBreachError,
            isolate_one,
            MembershipOptions(settle_wait=False),
        )

    def test_lease_from_receipt_outlives_the_settling(self) -> None:
        def answered_in_pause(options: MembershipOptions) -> None:
            fleet = _started(count=3, options=options)
            for _ in range(12):
                # An answer is on its way when the pause begins.
                fleet.run(0.1)
                fleet.paused.add("router-2")
                fleet.run(14)
                fleet.paused.clear()
                fleet.run(12)

        answered_in_pause(MembershipOptions())
        self.assertRaises(
            InvariantBreachError,
            answered_in_pause,
            MembershipOptions(lease_from_send=False),
        )

    def test_holder_that_trusts_a_pause_removes_living_members(self) -> None:
        def epochs_after_pause(options: MembershipOptions) -> int:
            fleet = _started(options=options)
            before = fleet.membership("router-1").epoch
            fleet.paused.update(fleet.nodes)
            fleet.run(20)
            fleet.paused.clear()
            # The links take a while to come back.
            fleet.loss = 1.0
            fleet.run(2)
            fleet.loss = 0.0
            fleet.run(10)
            return fleet.membership("router-1").epoch - before

        self.assertEqual(0, epochs_after_pause(MembershipOptions()))
        self.assertThat(
            epochs_after_pause(MembershipOptions(distrust_pause=False)),
            matchers.GreaterThan(0),
        )

    def test_going_on_without_confirmation_makes_two_owners(self) -> None:
        def cut_off_holders(options: MembershipOptions) -> None:
            fleet = _started(options=options)
            for member_id in list(fleet.nodes)[:3]:
                fleet.isolate(member_id)
            fleet.run(30)

        cut_off_holders(MembershipOptions())
        self.assertRaises(
            InvariantBreachError,
            cut_off_holders,
            MembershipOptions(confirm_outage=False),
        )
