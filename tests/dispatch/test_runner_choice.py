"""Selection of the runner that a request is sent to."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.dispatch import (
    ColdRateLimiter,
    IdleConnections,
    InFlightCounts,
    RunnerChooser,
    RunnerHealth,
    RunnerPauses,
    RunnerRequirements,
)
from mulberrypaddle.fleet import (
    FleetView,
    GroupMembership,
    MembershipState,
    RunnerEntry,
    ServiceSpec,
)
from tests.support.group_fleet import make_traits

_SERVICE = ServiceSpec(
    name="cards",
    health_path="/health",
    cold_requests_per_second=0.0,
    engine=make_traits(),
)
_DEMAND = RunnerRequirements(_SERVICE, model="small")


def _group(number: int, **changes: object) -> list[RunnerEntry]:
    """Returns the head and the other member of an open group.

    Args:
        number: Makes up the ids of the group and its members.
        **changes: Attributes to set on the head.
    """
    members = []
    for rank in range(2):
        state = MembershipState.READY if rank else MembershipState.OPEN
        entry = RunnerEntry(
            f"h{number}" if rank == 0 else f"h{number}-{rank}",
            started_at_ms=1,
            service="cards",
            address="127.0.0.1:1",
            data_centre="south",
            slots=9,
            draining=False,
            models=("small",),
            domain="d1",
            group=GroupMembership(
                f"g{number}", epoch=number, rank=rank, state=state
            ),
        )
        members.append(entry)
    for name, value in changes.items():
        setattr(members[0], name, value)
    return members


class _ChooserFixture:
    """A chooser with the state that it reads."""

    def __init__(self, entries: list[RunnerEntry], *, seed: int = 1) -> None:
        self.view = FleetView()
        self.view.replace_all(entries, revision=1, now_seconds=0.0)
        self.loads = InFlightCounts()
        self.runner_health = RunnerHealth()
        self.pauses = RunnerPauses()
        rng = random.Random(seed)
        self.connections = IdleConnections()
        self.chooser = RunnerChooser(
            self.view,
            in_flight=self.loads,
            runner_health=self.runner_health,
            pauses=self.pauses,
            drain_seconds=2.0,
            cold_limiter=ColdRateLimiter(rng),
            connections=self.connections,
            rng=rng,
        )

    def pick(
        self, demand: RunnerRequirements = _DEMAND, *, routers: int = 7
    ) -> str:
        """Returns the id of the chosen runner, or an empty string."""
        entry = self.chooser.pick(demand, routers=routers, now_seconds=0.0)
        return entry.runner_id if entry else ""


class ChoiceTest(testtools.TestCase):
    """Only complete, open, healthy groups with free capacity are chosen."""

    def test_least_loaded_head_over_all_routers(self) -> None:
        under_test = _ChooserFixture([*_group(1), *_group(2)])
        under_test.loads.add_request("h1")
        under_test.loads.apply_peer_report("other", {"h2": 3}, now_seconds=0.0)
        self.assertEqual("h1", under_test.pick())

    def test_head_with_a_kept_connection_may_be_a_little_busier(self) -> None:
        reusing = RunnerRequirements(
            _SERVICE, model="small", may_use_kept_connection=True
        )
        under_test = _ChooserFixture(
            [*_group(1), *_group(2, address="127.0.0.1:2")]
        )
        under_test.connections.add(
            "127.0.0.1:2", timeout_seconds=1.0, now_seconds=0.0
        )
        under_test.loads.add_request("h2")
        for routers in (7, 70):
            self.assertEqual("h2", under_test.pick(reusing, routers=routers))
            self.assertEqual("h1", under_test.pick(_DEMAND, routers=routers))
        under_test.loads.add_request("h2")
        self.assertEqual("h1", under_test.pick(reusing))

    def test_kept_connection_to_a_full_head_is_not_used(self) -> None:
        reusing = RunnerRequirements(
            _SERVICE, model="small", may_use_kept_connection=True
        )
        under_test = _ChooserFixture(
            [*_group(1), *_group(2, address="127.0.0.1:2")]
        )
        under_test.connections.add(
            "127.0.0.1:2", timeout_seconds=1.0, now_seconds=0.0
        )
        for _ in range(9):
            under_test.loads.add_request("h2")
        for _ in range(8):
            under_test.loads.add_request("h1")
        self.assertEqual("h1", under_test.pick(reusing))

    def test_incomplete_group_is_not_chosen(self) -> None:
        under_test = _ChooserFixture(_group(1)[:1])
        self.assertEqual("", under_test.pick())

    def test_closed_draining_and_evacuated_heads_are_not_chosen(self) -> None:
        self.assertEqual("", _ChooserFixture(_group(1, draining=True)).pick())
        closed = GroupMembership(
            "g1", epoch=1, rank=0, state=MembershipState.READY
        )
        self.assertEqual("", _ChooserFixture(_group(1, group=closed)).pick())
        under_test = _ChooserFixture(_group(1))
        under_test.view.evacuated = frozenset({"south"})
        self.assertEqual("", under_test.pick())

    def test_unreachable_runner_is_not_chosen(self) -> None:
        under_test = _ChooserFixture([*_group(1), *_group(2)])
        under_test.runner_health.record_unreachable("h1", 0.0)
        self.assertEqual({"h2"}, {under_test.pick() for _ in range(20)})

    def test_failing_runners_are_chosen_if_most_runners_fail(self) -> None:
        # One request in seven fails at every runner of a plain service, so that
        # soon all of them have failed twice in a row.
        service = ServiceSpec(
            name="shop",
            health_path="/health",
            cold_requests_per_second=0.0,
            engine=None,
        )
        runners = []
        for number in range(3):
            runner = _group(number, service="shop", group=None)[0]
            runners.append(runner)
        under_test = _ChooserFixture(runners)
        for runner in runners:
            for _ in range(2):
                under_test.runner_health.record_failure(runner.runner_id, 0.0)
        self.assertNotEqual("", under_test.pick(RunnerRequirements(service)))
        for runner in runners:
            under_test.runner_health.record_unreachable(runner.runner_id, 0.0)
        self.assertEqual("", under_test.pick(RunnerRequirements(service)))

    def test_one_failing_runner_of_three_is_not_chosen(self) -> None:
        under_test = _ChooserFixture([*_group(1), *_group(2), *_group(3)])
        for _ in range(2):
            under_test.runner_health.record_failure("h1", 0.0)
        self.assertNotIn("h1", {under_test.pick() for _ in range(20)})

    def test_suspected_head_is_chosen_last(self) -> None:
        under_test = _ChooserFixture([*_group(1), *_group(2)])
        under_test.runner_health.mark_suspected("h1", 0.0)
        under_test.loads.apply_peer_report("other", {"h2": 5}, now_seconds=0.0)
        self.assertEqual({"h2"}, {under_test.pick() for _ in range(20)})
        under_test.runner_health.record_unreachable("h2", 0.0)
        self.assertEqual("h1", under_test.pick())

    def test_full_heads_are_not_chosen(self) -> None:
        under_test = _ChooserFixture(_group(1))
        under_test.loads.apply_peer_report("other", {"h1": 13}, now_seconds=0.0)
        self.assertEqual("", under_test.pick())

    def test_resumed_stream_is_sent_to_a_head_that_is_full_for_others(
        self,
    ) -> None:
        under_test = _ChooserFixture(_group(1))
        under_test.loads.apply_peer_report("other", {"h1": 13}, now_seconds=0.0)
        resumed = RunnerRequirements(_SERVICE, model="small", resumed=True)
        self.assertEqual("h1", under_test.pick(resumed))

    def test_many_routers_with_stale_counts_choose_different_heads(
        self,
    ) -> None:
        # All routers see the same head as the least loaded one until they have
        # received one another's counts.
        entries = [entry for number in range(40) for entry in _group(number)]
        reported_counts = {f"h{number}": 4 for number in range(1, 40)}
        chosen: dict[str, int] = {}
        for router in range(71):
            under_test = _ChooserFixture(entries, seed=router)
            under_test.loads.apply_peer_report(
                "hub", reported_counts, now_seconds=0.0
            )
            runner_id = under_test.pick(routers=71)
            chosen[runner_id] = chosen.get(runner_id, 0) + 1
        # A head has nine slots.
        self.assertLessEqual(max(chosen.values()), 9)
