"""Tests of orders that runners leave unanswered and carry out late.

`GroupFleet` records a breach when a runner takes a join of another group while
the head of its own may serve, or when a group opens without a member.
"""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.orders import JoinGroup, LeaveGroup, OpenGroup
from tests.support.group_fleet import GroupFleet, make_pairs

SEEDS = range(25)


def _form_unopened_group(fleet: GroupFleet) -> None:
    """Lets the spares form a group whose head leaves orders to open late."""
    fleet.delays = {
        (runner.runner_id, OpenGroup): [5.0] * 2 for runner in fleet.spares()
    }
    fleet.play(1.6)


class LateJoinTest(testtools.TestCase):
    """Orders to join that are carried out after newer ones."""

    def test_member_of_an_open_group_takes_no_late_join(self) -> None:
        for late_leave in ([], [10.0]):
            for second_join in (4.2, 5.0, 6.5, 9.0, 12.0):
                fleet = make_pairs(GroupFleet, 5)
                first, second, _ = fleet.spares()
                fleet.delays = {
                    (first.runner_id, LeaveGroup): list(late_leave),
                    (second.runner_id, JoinGroup): [4.7, second_join],
                }
                fleet.play(25.0)
                self.assertEqual([], fleet.breaches, f"{second_join}")
                self.assertEqual(2, fleet.open_groups()["small"])

    def test_group_whose_member_was_ordered_elsewhere_is_not_opened(
        self,
    ) -> None:
        fleet = make_pairs(GroupFleet, 5)
        first, second, third = fleet.spares()
        # The first formation, of `first` and `second`, loses `first`. `second`
        # takes its joins of both groups late, the second one last.
        fleet.delays = {
            (second.runner_id, JoinGroup): [6.0, 9.0, 9.0, 9.0, 9.0, 9.0, 9.0],
        }
        fleet.play(1.0)
        fleet.kill(first.runner_id)
        fleet.play(25.0)
        self.assertEqual([], fleet.breaches)
        self.assertEqual(second.group, third.group)
        self.assertEqual(2, fleet.open_groups()["small"])

    def test_formation_waits_for_a_member_that_answers_late(self) -> None:
        fleet = make_pairs(GroupFleet, 4)
        _, second = fleet.spares()
        fleet.delays = {(second.runner_id, JoinGroup): [11.0, 11.0, 11.0]}
        fleet.play(6.0)
        self.assertEqual(2, fleet.open_groups()["small"])
        self.assertEqual([], fleet.breaches)


class HandOverTest(testtools.TestCase):
    """Orders of an earlier owner that are carried out late."""

    def test_group_of_an_earlier_owner_is_opened_once_members_are_confirmed(
        self,
    ) -> None:
        fleet = make_pairs(GroupFleet, 4)
        first, second = fleet.spares()
        _form_unopened_group(fleet)
        self.assertEqual(1, fleet.open_groups()["small"])
        fleet.change_owner()
        self.assertEqual((1, 1), (first.top_fence, second.top_fence))
        fleet.delays = {(second.runner_id, JoinGroup): [8.0]}
        fleet.play(0.4)
        # `second` has not answered the order that makes it refuse older ones.
        self.assertEqual(1, fleet.open_groups()["small"])
        fleet.play(2.0)
        self.assertEqual(2, fleet.open_groups()["small"])
        self.assertEqual((2, 2), (first.top_fence, second.top_fence))
        fleet.play(12.0)
        self.assertEqual([], fleet.breaches)

    def test_confirmation_is_ordered_once_a_member_if_it_is_answered(
        self,
    ) -> None:
        fleet = make_pairs(GroupFleet, 4)
        _form_unopened_group(fleet)
        fleet.change_owner()
        fleet.delays = {}
        before = fleet.order_count
        fleet.play(1.0)
        # Two joins and the order to open.
        self.assertEqual(3, fleet.order_count - before)


class SoakTest(testtools.TestCase):
    """Random losses, changes of the owner and late orders."""

    def test_no_rule_is_breached_beside_late_orders(self) -> None:
        for seed in SEEDS:
            for late_orders in (0.35, 0.5):
                fleet = _play_losses(seed, late_orders)
                self.assertEqual([], fleet.breaches, f"{seed} {late_orders}")

    def test_groups_are_repaired_beside_late_orders(self) -> None:
        served = {"large": 0.0, "small": 0.0}
        steps = 0
        for seed in range(6):
            fleet = GroupFleet(domains=6, domain_size=10, seed=seed)
            fleet.play(8.0)
            fleet.traffic = True
            fleet.late_orders = 0.35
            for _ in range(10):
                _kill_members(fleet, 2)
                fleet.add(f"d{fleet.rng.randrange(6)}")
                fleet.add(f"d{fleet.rng.randrange(6)}")
                for _ in range(15):
                    fleet.play(0.2)
                    steps += 1
                    groups = fleet.open_groups()
                    for model, wanted in fleet.wanted().items():
                        slots = groups.get(model, 0) * fleet.traits.slots
                        served[model] += min(1.0, slots / wanted)
        for model, sum_served in served.items():
            self.assertGreater(sum_served / steps, 0.75, model)


def _play_losses(seed: int, late_orders: float) -> GroupFleet:
    """Plays losses, drains and changes of the owner beside late orders."""
    fleet = GroupFleet(domains=4, domain_size=8, seed=seed)
    fleet.play(8.0)
    fleet.traffic = True
    fleet.late_orders = late_orders
    for _ in range(12):
        _kill_members(fleet, 1)
        fleet.add(f"d{fleet.rng.randrange(4)}")
        if fleet.rng.random() < 0.2:
            alive = [r for r in fleet.runners.values() if r.alive]
            fleet.rng.choice(alive).draining = True
        if fleet.rng.random() < 0.4:
            fleet.change_owner(same_router=fleet.rng.random() < 0.5)
        fleet.play(fleet.rng.uniform(0.5, 4.0))
    return fleet


def _kill_members(fleet: GroupFleet, count: int) -> None:
    """Kills members of groups."""
    members = [
        runner
        for runner in fleet.runners.values()
        if runner.alive and runner.group is not None
    ]
    for runner in fleet.rng.sample(members, min(count, len(members))):
        fleet.kill(runner.runner_id)
