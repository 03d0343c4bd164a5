"""Groups are formed, repaired and ended, and no rule of theirs is broken."""

from __future__ import annotations

import testtools

from tests.support.group_fleet import GroupFleet

SEEDS = range(20)


def _started(seed: int = 1) -> GroupFleet:
    fleet = GroupFleet(domains=6, domain_size=10, seed=seed)
    fleet.play(8.0)
    fleet.traffic = True
    return fleet


def _member_of(fleet: GroupFleet, model: str, *, head: bool) -> str:
    for runner in fleet.runners.values():
        if runner.alive and runner.model == model and runner.is_head == head:
            return runner.runner_id
    raise AssertionError(f"no runner serves {model}")


class StartTest(testtools.TestCase):
    """The first start, before any traffic."""

    def test_groups_of_each_model_serve(self) -> None:
        groups = _started().open_groups()
        # Both models do half of the runners' work.
        self.assertGreaterEqual(groups.get("large", 0), 5)
        self.assertGreaterEqual(groups.get("small", 0), 10)

    def test_each_domain_keeps_spares_with_weights(self) -> None:
        fleet = _started()
        spares: dict[str, int] = {}
        for runner in fleet.runners.values():
            if runner.group is None:
                self.assertNotEqual((), runner.staged)
                spares[runner.domain] = spares.get(runner.domain, 0) + 1
        self.assertEqual(6, len(spares))

    def test_spares_hold_weights_of_both_models(self) -> None:
        fleet = _started()
        staged = [
            runner.staged[0]
            for runner in fleet.runners.values()
            if runner.group is None
        ]
        self.assertGreaterEqual(staged.count("small"), 4)
        self.assertGreaterEqual(staged.count("large"), 4)


class RepairTest(testtools.TestCase):
    """Losses of members."""

    def test_group_is_back_after_a_member_died(self) -> None:
        fleet = _started()
        before = fleet.open_groups()
        fleet.kill(_member_of(fleet, "large", head=False))
        fleet.play(9.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_group_is_back_after_its_head_died(self) -> None:
        fleet = _started()
        before = fleet.open_groups()
        fleet.kill(_member_of(fleet, "large", head=True))
        fleet.play(9.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_known_loss_is_repaired_before_the_entry_lapses(self) -> None:
        fleet = _started()
        before = fleet.open_groups()
        runner_id = _member_of(fleet, "large", head=False)
        fleet.kill(runner_id)
        runner = fleet.runners[runner_id]
        fleet.keeper.lost_runners.add((runner_id, runner.born_ms))
        fleet.play(3.0)
        self.assertGreaterEqual(fleet.open_groups()["large"], before["large"])
        self.assertEqual([], fleet.breaches)

    def test_head_cut_from_the_store_still_serves(self) -> None:
        fleet = _started()
        for model in ("large", "small"):
            head = fleet.runners[_member_of(fleet, model, head=True)]
            head.cut_at = fleet.now
        fleet.play(12.0)
        self.assertEqual([], fleet.breaches)

    def test_leaving_member_ends_its_group_in_time(self) -> None:
        fleet = _started()
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


class SoakTest(testtools.TestCase):
    """Series of losses, lost and late orders, and new runners."""

    def test_no_rule_breaks_under_losses(self) -> None:
        for seed in SEEDS:
            fleet = _started(seed)
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

    def test_service_goes_on_under_losses(self) -> None:
        for seed in SEEDS:
            fleet = _started(seed)
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
