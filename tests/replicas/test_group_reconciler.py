"""Tests that groups are formed, repaired and disbanded without rule breaches.

`GroupFleet` records the breaches: a group that opens without all its members,
and a runner that joins a group while the head of its previous one may serve.
"""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import (
    FleetView,
    GroupMembership,
    MembershipState,
    RunnerEntry,
    ServiceSpec,
)
from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.orders import StageModel
from tests.support.group_fleet import GroupFleet, make_traits

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


class RemoteGroupsTest(testtools.TestCase):
    """Groups in data centres that other routers maintain."""

    def _staged_models(self, evacuated: frozenset[str]) -> list[str]:
        """Returns the models that runners of `south` are ordered to load.

        Six groups of the small model are open in `north`, one in `south`, where
        two free runners hold the weights of the large model.
        """
        entries = [_member("north", number, rank) for number, rank in _PAIRS]
        entries += [_member("south", 9, 0), _member("south", 9, 1)]
        entries += [_free_runner("south", name) for name in ("x", "y")]
        view = FleetView()
        view.replace_all(entries, revision=1, now_seconds=0.0)
        view.evacuated = evacuated
        traits = make_traits()
        reconciler = GroupReconciler(load_window_seconds=5.0)
        orders = []
        for step in range(30):
            orders += reconciler.reconcile(
                view,
                ServiceSpec(
                    name="cards",
                    health_path="/health",
                    cold_requests_per_second=0.0,
                    engine=traits,
                ),
                wanted_slots={"large": 0.0, "small": 3.0 * traits.slots},
                traffic_seen=True,
                first_start=False,
                next_epoch=lambda _: 5,
                now_seconds=step / 10,
                data_centres=frozenset({"south"}),
            )
        return [
            directive.order.model
            for directive in orders
            if isinstance(directive.order, StageModel)
        ]

    def test_groups_elsewhere_serve_the_demand(self) -> None:
        self.assertEqual([], self._staged_models(frozenset()))

    def test_groups_in_an_evacuated_data_centre_serve_no_demand(self) -> None:
        self.assertEqual(
            {"small"}, set(self._staged_models(frozenset({"north"})))
        )


_PAIRS = [(number, rank) for number in range(6) for rank in range(2)]


def _member(data_centre: str, number: int, rank: int) -> RunnerEntry:
    """Returns a member of an open group of the small model."""
    state = MembershipState.READY if rank else MembershipState.OPEN
    return RunnerEntry(
        f"{data_centre}-{number}-{rank}",
        started_at_ms=1,
        service="cards",
        address="127.0.0.1:1",
        data_centre=data_centre,
        slots=9,
        draining=False,
        models=("small",),
        domain=f"{data_centre}-d",
        staged=("small",),
        group=GroupMembership(f"g{number}", epoch=1, rank=rank, state=state),
    )


def _free_runner(data_centre: str, name: str) -> RunnerEntry:
    """Returns a runner in no group, with the weights of the large model."""
    return RunnerEntry(
        f"{data_centre}-{name}",
        started_at_ms=1,
        service="cards",
        address="127.0.0.1:1",
        data_centre=data_centre,
        slots=9,
        draining=False,
        domain=f"{data_centre}-d",
        staged=("large",),
    )


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


class SmallDomainsTest(testtools.TestCase):
    """One runner at a time is lost where a domain has room for few groups.

    Three survivors of a group of four form no group by themselves, and the load
    of a fourth takes a third of the time that is played.
    """

    def test_both_models_keep_the_wanted_slots(self) -> None:
        traits = make_traits(large_share=0.67, slots=13)
        served = {"large": 0.0, "small": 0.0}
        steps = 0
        for seed in range(6):
            fleet = GroupFleet(
                domains=6,
                domain_size=8,
                seed=seed,
                traits=traits,
                demand={"large": 24.0, "small": 36.0},
            )
            fleet.play(8.0)
            fleet.traffic = True
            for turn in range(12):
                members = [
                    runner
                    for runner in fleet.runners.values()
                    if runner.alive and runner.group is not None
                ]
                fleet.kill(fleet.rng.choice(members).runner_id)
                if turn >= 4:
                    fleet.add(f"d{fleet.rng.randrange(6)}")
                for _ in range(15):
                    fleet.play(0.2)
                    steps += 1
                    groups = fleet.open_groups()
                    for model, wanted in fleet.wanted().items():
                        slots = groups.get(model, 0) * traits.slots
                        served[model] += min(1.0, slots / wanted)
            self.assertEqual([], fleet.breaches)
        for model, sum_served in served.items():
            self.assertGreater(sum_served / steps, 0.95, model)


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
