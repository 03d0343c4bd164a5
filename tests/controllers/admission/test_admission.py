"""Admission: who is refused, who waits, and where nothing is sent."""

from __future__ import annotations

from unittest import mock

import testtools
from testtools import matchers

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import Health
from mulberrypaddle.controllers.admission.choice import Router
from mulberrypaddle.controllers.admission.queue import FairQueue
from mulberrypaddle.controllers.credits.watch import RunnerWatch
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.fleet import DataCentreState, Runner, ServiceKind
from mulberrypaddle.core.invariants import InvariantBreachError
from tests.support.serving_fleet import SERVICE, ServingFleet, make_runners


def make_group(generation: int) -> Runner:
    """Returns an engine of two VMs."""
    return Runner(
        "e0",
        service=SERVICE,
        kind=ServiceKind.ENGINE,
        address="10.0.0.1:80",
        data_centre="a",
        generation=generation,
        vm_ids=("v1", "v2"),
    )


class WhereTest(testtools.TestCase):
    """Nothing is sent where nothing may be sent."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = ServingFleet(1, runners=make_runners(2), seed=3)

    def offer_for(self, duration_seconds: float) -> None:
        for _ in range(int(duration_seconds / 0.05)):
            self.fleet.submit_request("r0", run_seconds=0.2)
            self.fleet.run(0.05)

    def running(self, runner_id: str) -> int:
        return len(self.fleet.runners[runner_id].running)

    def test_data_centre_that_is_out_gets_no_queued_work(self) -> None:
        self.offer_for(1.0)
        self.assertThat(
            self.fleet.admissions["r0"].queued(SERVICE),
            matchers.GreaterThan(0),
        )
        self.fleet.configuration.data_centres["a"] = DataCentreState.OUT
        self.offer_for(2.0)
        self.assertEqual(0, self.running("e0"))
        self.assertThat(self.running("e1"), matchers.GreaterThan(0))

    def test_without_the_filter_the_invariant_breaches(self) -> None:
        self.offer_for(1.0)
        with mock.patch.object(
            Router,
            "eligible",
            lambda router, service, excluded_runner_ids=frozenset(): (
                router._held(service)
            ),
        ):
            self.fleet.configuration.data_centres["a"] = DataCentreState.OUT
            self.assertRaises(InvariantBreachError, self.offer_for, 1.0)

    def test_all_out_refuses_what_waits(self) -> None:
        self.offer_for(1.0)
        for name in "abc":
            self.fleet.configuration.data_centres[name] = DataCentreState.OUT
        self.fleet.run(0.1)
        self.assertEqual(0, self.fleet.admissions["r0"].queued(SERVICE))
        self.assertThat(
            self.fleet.refused[ErrorKind.NO_RUNNER], matchers.GreaterThan(0)
        )

    def test_leaving_and_ejected_runners_get_nothing(self) -> None:
        self.fleet.runners["e0"].runner.leaving = True
        board = self.fleet.nodes["r0"].context.board
        board.write(
            keys.EJECTED, {"e1": "broke"}, writer="ejection", now_seconds=0.0
        )
        self.offer_for(1.0)
        self.assertEqual({}, self.fleet.completed)

    def test_partial_group_gets_nothing(self) -> None:
        fleet = ServingFleet(1, runners=[make_group(2)], seed=3)
        self.fleet = fleet
        fleet.runners["e0"].member_vm_ids = ("v1",)
        self.offer_for(3.0)
        self.assertEqual({}, fleet.completed)
        fleet.runners["e0"].member_vm_ids = ("v1", "v2")
        self.offer_for(3.0)
        self.assertThat(fleet.completed["museum"], matchers.GreaterThan(0))
        # Neither owner nor holder looks at the group: the dispatch breaches.
        fleet.runners["e0"].member_vm_ids = ("v1",)
        with (
            mock.patch.object(Router, "_is_whole", lambda *_: True),
            mock.patch.object(RunnerWatch, "is_whole", lambda _: True),
        ):
            self.assertRaises(InvariantBreachError, self.offer_for, 3.0)

    def test_stopping_and_isolated_routers_refuse(self) -> None:
        self.offer_for(1.0)
        board = self.fleet.nodes["r0"].context.board
        for stopping, kind in (
            (True, ErrorKind.SHUTTING_DOWN),
            (False, ErrorKind.ISOLATED),
        ):
            health = Health(
                store_reachable=False,
                peers_reachable=0,
                stopping=stopping,
                isolated=not stopping,
            )
            board.write(
                keys.HEALTH, health, writer="membership", now_seconds=1.0
            )
            self.fleet.submit_request("r0")
            self.assertThat(self.fleet.refused[kind], matchers.GreaterThan(0))


class QueueTest(testtools.TestCase):
    """Order of service, and refusals that come early."""

    def flood(self) -> tuple[float, float]:
        """Returns the worst wait of a small and of a large organisation."""
        fleet = ServingFleet(
            1,
            runners=make_runners(1),
            contracts={"large": 400, "small": 4},
            seed=5,
        )
        for index in range(200):
            for _ in range(2):
                fleet.submit_request("r0", "large", deadline_seconds=60.0)
            if index % 20 == 19:
                fleet.submit_request("r0", "small", deadline_seconds=60.0)
            fleet.run(0.05)
        waited = fleet.waited_seconds
        return max(waited["small"]), max(waited["large"])

    def test_flood_of_a_large_organisation_keeps_no_small_one_waiting(
        self,
    ) -> None:
        small_seconds, large_seconds = self.flood()
        self.assertThat(small_seconds, matchers.LessThan(0.6))
        self.assertThat(large_seconds, matchers.GreaterThan(1.0))
        with mock.patch.object(
            FairQueue, "_rank", lambda _, waiting, __: waiting.queued_at_seconds
        ):
            small_seconds, _ = self.flood()
        self.assertThat(small_seconds, matchers.GreaterThan(0.6))

    def low_urgency_wait(self) -> float:
        """Returns the wait of a request of low urgency under a flood."""
        fleet = ServingFleet(
            1, runners=make_runners(1), contracts={"large": 400}, seed=5
        )
        for index in range(400):
            for _ in range(3):
                fleet.submit_request(
                    "r0",
                    "large",
                    urgency=Urgency.HIGH,
                    deadline_seconds=4.0,
                    run_seconds=0.3,
                )
            if index == 100:
                fleet.waited_seconds.clear()
                fleet.submit_request(
                    "r0", "large", urgency=Urgency.LOW, deadline_seconds=90.0
                )
            fleet.run(0.05)
        return max(fleet.waited_seconds["large"])

    def test_urgent_goes_first_and_nothing_starves(self) -> None:
        # Two steps of ageing, then the backlog of its own organisation.
        self.assertThat(self.low_urgency_wait(), matchers.LessThan(9.0))
        path = "mulberrypaddle.controllers.admission.queue.AGE_SECONDS"
        with mock.patch(path, 1e9):
            self.assertThat(self.low_urgency_wait(), matchers.LessThan(4.1))

    def test_late_and_oversized_requests_are_refused_at_once(self) -> None:
        fleet = ServingFleet(
            1, runners=make_runners(1), contracts={"museum": 400}, seed=5
        )
        for _ in range(100):
            fleet.submit_request("r0", run_seconds=1.0)
            fleet.run(0.05)
        fleet.refused.clear()
        fleet.submit_request("r0", deadline_seconds=0.2)
        fleet.submit_request("r0", tokens=300_000)
        fleet.submit_request("r0", tokens=4_000_000)
        self.assertEqual(
            {
                ErrorKind.DEADLINE_TOO_SHORT: 1,
                ErrorKind.NO_RUNNER: 1,
                ErrorKind.LIMIT_REACHED: 1,
            },
            fleet.refused,
        )
