"""Which runner a request is sent to."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.dispatch import (
    Chooser,
    ColdRate,
    Demand,
    Loads,
    Soundness,
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
_DEMAND = Demand(_SERVICE, model="small")


def _group(number: int, **changes: object) -> list[RunnerEntry]:
    members = []
    for rank in range(2):
        state = MembershipState.READY if rank else MembershipState.OPEN
        entry = RunnerEntry(
            f"h{number}" if rank == 0 else f"h{number}-{rank}",
            born_ms=1,
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


class _Chooser:
    """A chooser with what it looks at."""

    def __init__(self, entries: list[RunnerEntry], *, seed: int = 1) -> None:
        self.view = FleetView()
        self.view.replace_all(entries, revision=1, now_seconds=0.0)
        self.loads = Loads()
        self.soundness = Soundness()
        rng = random.Random(seed)
        self.chooser = Chooser(
            self.view,
            loads=self.loads,
            soundness=self.soundness,
            cold=ColdRate(rng),
            rng=rng,
        )

    def pick(self, demand: Demand = _DEMAND, *, routers: int = 7) -> str:
        """Returns the id of the chosen runner, or an empty text."""
        entry = self.chooser.pick(demand, routers=routers, now_seconds=0.0)
        return entry.runner_id if entry else ""


class ChoiceTest(testtools.TestCase):
    """Only whole, open, sound groups with room are chosen."""

    def test_least_loaded_head_over_all_routers(self) -> None:
        under_test = _Chooser([*_group(1), *_group(2)])
        under_test.loads.begin("h1")
        under_test.loads.take_peer("other", {"h2": 3}, now_seconds=0.0)
        self.assertEqual("h1", under_test.pick())

    def test_group_without_all_members_is_not_chosen(self) -> None:
        under_test = _Chooser(_group(1)[:1])
        self.assertEqual("", under_test.pick())

    def test_closed_leaving_and_evacuated_heads_are_not_chosen(self) -> None:
        self.assertEqual("", _Chooser(_group(1, draining=True)).pick())
        closed = GroupMembership(
            "g1", epoch=1, rank=0, state=MembershipState.READY
        )
        self.assertEqual("", _Chooser(_group(1, group=closed)).pick())
        under_test = _Chooser(_group(1))
        under_test.view.evacuated = frozenset({"south"})
        self.assertEqual("", under_test.pick())

    def test_failing_runner_is_left_alone_for_a_while(self) -> None:
        under_test = _Chooser([*_group(1), *_group(2)])
        under_test.soundness.unreachable("h1", 0.0)
        self.assertEqual({"h2"}, {under_test.pick() for _ in range(20)})

    def test_failing_runners_serve_when_too_few_others_do(self) -> None:
        # One request in seven fails at any runner of a plain service: soon
        # all have failed twice in a row.
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
        under_test = _Chooser(runners)
        for runner in runners:
            for _ in range(2):
                under_test.soundness.failed(runner.runner_id, 0.0)
        self.assertNotEqual("", under_test.pick(Demand(service)))
        for runner in runners:
            under_test.soundness.unreachable(runner.runner_id, 0.0)
        self.assertEqual("", under_test.pick(Demand(service)))

    def test_one_failing_runner_of_three_is_left_alone(self) -> None:
        under_test = _Chooser([*_group(1), *_group(2), *_group(3)])
        for _ in range(2):
            under_test.soundness.failed("h1", 0.0)
        self.assertNotIn("h1", {under_test.pick() for _ in range(20)})

    def test_head_that_stands_still_is_chosen_last(self) -> None:
        under_test = _Chooser([*_group(1), *_group(2)])
        under_test.soundness.suspect("h1", 0.0)
        under_test.loads.take_peer("other", {"h2": 5}, now_seconds=0.0)
        self.assertEqual({"h2"}, {under_test.pick() for _ in range(20)})
        under_test.soundness.unreachable("h2", 0.0)
        self.assertEqual("h1", under_test.pick())

    def test_full_heads_are_not_chosen(self) -> None:
        under_test = _Chooser(_group(1))
        under_test.loads.take_peer("other", {"h1": 13}, now_seconds=0.0)
        self.assertEqual("", under_test.pick())

    def test_begun_streams_find_room_where_others_wait(self) -> None:
        under_test = _Chooser(_group(1))
        under_test.loads.take_peer("other", {"h1": 13}, now_seconds=0.0)
        resumed = Demand(_SERVICE, model="small", resumed=True)
        self.assertEqual("h1", under_test.pick(resumed))

    def test_many_routers_with_old_counts_spread(self) -> None:
        # One head seems least loaded to all until they hear of one another.
        entries = [entry for number in range(40) for entry in _group(number)]
        told = {f"h{number}": 4 for number in range(1, 40)}
        chosen: dict[str, int] = {}
        for router in range(71):
            under_test = _Chooser(entries, seed=router)
            under_test.loads.take_peer("hub", told, now_seconds=0.0)
            runner_id = under_test.pick(routers=71)
            chosen[runner_id] = chosen.get(runner_id, 0) + 1
        # A head has nine slots.
        self.assertLessEqual(max(chosen.values()), 9)
