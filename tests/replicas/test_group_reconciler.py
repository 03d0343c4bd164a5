"""Tests that groups are formed, repaired and disbanded without rule breaches.

`GroupFleet` records the breaches: a group that opens without all its members,
and a runner that joins a group while the head of its previous one may serve.
"""

from __future__ import annotations

import testtools

from tests.support.group_fleet import GroupFleet

SEEDS = range(20)


def _started_fleet(seed: int = 1) -> GroupFleet:
    """Returns a fleet with formed groups, at the start of traffic."""
    fleet = GroupFleet(domains=6, domain_size=10, seed=seed)
    fleet.play(8.0)
    fleet.traffic = True
    return fleet


def _member_of(fleet: GroupFleet, model: str, *, head: bool) -> str:
    """Returns the id of a live head or other member that serves a model."""
    for runner in fleet.runners.values():
        if runner.alive and runner.model == model and runner.is_head == head:
            return runner.runner_id
    raise AssertionError(f"no runner serves {model}")


class StartTest(testtools.TestCase):
    """The first start, up to the first traffic."""

    def test_groups_of_each_model_open(self) -> None:
        groups = _started_fleet().open_groups()
        # Each model gets half of the runners.
        self.assertGreaterEqual(groups.get("large", 0), 5)
        self.assertGreaterEqual(groups.get("small", 0), 10)

    def test_every_free_runner_holds_weights(self) -> None:
        for runner in _started_fleet().runners.values():
            if runner.group is None:
                self.assertNotEqual((), runner.staged)

    def test_two_lost_members_of_each_large_group_can_be_replaced(self) -> None:
        fleet = _started_fleet()
        spares: dict[str, int] = {}
        for runner in fleet.runners.values():
            if runner.group is None and runner.staged == ("large",):
                spares[runner.domain] = spares.get(runner.domain, 0) + 1
        for runner in fleet.runners.values():
            if runner.model == "large":
                self.assertGreaterEqual(spares.get(runner.domain, 0), 2)


class RepairTest(testtools.TestCase):
    """Repair of groups that lose a member."""

    def test_group_is_replaced_after_a_member_died(self) -> None:
        fleet = _started_fleet()
        before = fleet.open_groups()
        fleet.kill(_member_of(fleet, "large", head=False))
        fleet.play(9.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_group_is_replaced_after_its_head_died(self) -> None:
        fleet = _started_fleet()
        before = fleet.open_groups()
        fleet.kill(_member_of(fleet, "large", head=True))
        fleet.play(9.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_detected_loss_is_repaired_before_the_entry_expires(self) -> None:
        fleet = _started_fleet()
        before = fleet.open_groups()
        runner_id = _member_of(fleet, "large", head=False)
        fleet.kill(runner_id)
        runner = fleet.runners[runner_id]
        fleet.reconciler.loss_detector.lost.add(
            (runner_id, runner.started_at_ms)
        )
        fleet.play(3.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_head_cut_off_from_the_store_causes_no_breach(self) -> None:
        fleet = _started_fleet()
        for model in ("large", "small"):
            head = fleet.runners[_member_of(fleet, model, head=True)]
            head.cut_at = fleet.now
        fleet.play(12.0)
        self.assertEqual([], fleet.breaches)

    def test_draining_member_closes_its_group_in_time(self) -> None:
        fleet = _started_fleet()
        runner_id = _member_of(fleet, "large", head=False)
        group = fleet.runners[runner_id].group
        fleet.runners[runner_id].draining = True
        fleet.play(2.0)
        heads = [
            runner
            for runner in fleet.runners.values()
            if runner.group == group and runner.is_head
        ]
        for head in heads:
            self.assertNotEqual("open", head.state.value)
        self.assertEqual([], fleet.breaches)


class LossesTest(testtools.TestCase):
    """Two runners of a domain are lost for good every few seconds.

    This is the failure pattern of the standard runs: losses hit members of
    groups, new runners start without weights, and loading weights takes most of
    the simulated time.
    """

    def test_both_models_keep_the_wanted_slots(self) -> None:
        for seed in range(8):
            served = {"large": 0.0, "small": 0.0}
            steps = 0
            fleet = _started_fleet(seed)
            for turn in range(11):
                _kill_pair(fleet)
                for _ in range(27):
                    fleet.play(0.1)
                    steps += 1
                    groups = fleet.open_groups()
                    for model, wanted in fleet.wanted().items():
                        slots = groups.get(model, 0) * fleet.traits.slots
                        served[model] += min(1.0, slots / wanted)
                if turn >= 2:
                    domain = f"d{fleet.rng.randrange(6)}"
                    fleet.add(domain)
                    fleet.add(domain)
            self.assertEqual([], fleet.breaches)
            for model, sum_served in served.items():
                self.assertGreater(
                    sum_served / steps, 0.95, f"{model}, seed {seed}"
                )


def _kill_pair(fleet: GroupFleet) -> None:
    """Kills two members of groups in one domain if possible.

    If the group of the first has other members, half of the time the second is
    one of them.
    """
    members = [
        runner
        for runner in fleet.runners.values()
        if runner.alive and runner.group is not None
    ]
    first = fleet.rng.choice(members)
    same_domain = [
        r for r in members if r is not first and r.domain == first.domain
    ]
    same_group = [r for r in same_domain if r.group == first.group]
    kill_in_one_group = same_group and fleet.rng.random() < 0.5
    second = fleet.rng.choice(
        same_group if kill_in_one_group else same_domain or members
    )
    fleet.kill(first.runner_id)
    fleet.kill(second.runner_id)


class SoakTest(testtools.TestCase):
    """Random losses, lost and delayed orders, and new runners."""

    def test_no_rule_is_breached_under_losses(self) -> None:
        for seed in SEEDS:
            fleet = _started_fleet(seed)
            fleet.lost_orders = 0.3
            for _ in range(12):
                alive = [r for r in fleet.runners.values() if r.alive]
                for runner in fleet.rng.sample(alive, 2):
                    fleet.kill(runner.runner_id)
                fleet.add(f"d{fleet.rng.randrange(6)}")
                if fleet.rng.random() < 0.3:
                    fleet.rng.choice(alive).draining = True
                fleet.play(3.0)
            self.assertEqual([], fleet.breaches, f"seed {seed}")

    def test_groups_keep_serving_under_losses(self) -> None:
        for seed in SEEDS:
            fleet = _started_fleet(seed)
            for _ in range(8):
                alive = [r for r in fleet.runners.values() if r.alive]
                in_groups = [r for r in alive if r.group is not None]
                for runner in fleet.rng.sample(in_groups, 2):
                    fleet.kill(runner.runner_id)
                for _ in range(2):
                    fleet.add(f"d{fleet.rng.randrange(6)}")
                fleet.play(3.0)
            groups = fleet.open_groups()
            self.assertGreaterEqual(sum(groups.values()), 6, f"seed {seed}")
