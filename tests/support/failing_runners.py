"""Seven routers that eject runners, each by what it saw itself."""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import Board, keys
from mulberrypaddle.blackboard.values import RunnerTable
from mulberrypaddle.controllers import Context
from mulberrypaddle.controllers.ejection import Ejection
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.core.fleet import Runner, ServiceKind
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket
from tests.support.consecutive_failures import ConsecutiveFailures
from tests.support.retry_load import make_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers.ejection.detector import Detector

ROUTERS = 7
HEALTHY_FAILURE_SHARE = 0.005
SLOW_FACTOR = 10.0
SLOW_SECONDS = 1.0
STEP_SECONDS = 0.1


class Fault(enum.Enum):
    """What is wrong with the failing runners."""

    NONE = "none"
    PARTIAL = "partial"
    SLOW = "slow"
    LOST = "lost"


class Tally:
    """What callers and runners saw.

    Attributes:
        requests: Requests sent, each once.
        failed: Requests that failed.
        slow: Requests that took longer than SLOW_SECONDS.
        healthy_out: Share of healthy runners' time that was ejected.
        peak_out: Most runners that one router had out at once.
    """

    __slots__ = ("failed", "healthy_out", "peak_out", "requests", "slow")

    def __init__(self) -> None:
        self.requests = 0
        self.failed = 0
        self.slow = 0
        self.healthy_out = 0.0
        self.peak_out = 0


class FailingRunners:
    """A simulation of routers before runners of which some fail."""

    def __init__(
        self,
        *,
        seed: int,
        fault: Fault,
        failing: int,
        make_detector: Callable[[], Detector],
        runners: int = 60,
        max_ejected_share: float = 0.34,
    ) -> None:
        self.clock = ManualClock()
        self.tally = Tally()
        self._rng = random.Random(seed)
        self._fault = fault
        self._failing = failing
        self._runners: list[Runner] = []
        self._detectors: list[list[Detector]] = []
        self._ejections: list[Ejection] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for number in range(runners):
            self._runners.append(_runner(number))
        for number in range(ROUTERS):
            self._add_router(seed + number, make_detector, max_ejected_share)

    def run(
        self,
        *,
        requests_per_second: float = 280.0,
        fault_seconds: float = 120.0,
        healed_seconds: float = 60.0,
    ) -> Tally:
        """Sends requests through a fault and after its end."""
        out = 0
        steps = int((fault_seconds + healed_seconds) / STEP_SECONDS)
        healthy = 0
        for index in range(steps):
            self.clock.advance(STEP_SECONDS)
            now = self.clock.monotonic_seconds()
            faulty = now <= fault_seconds
            while self._events and self._events[0][0] <= now:
                heapq.heappop(self._events)[2]()
            for ejection in self._ejections:
                ejection.step(now)
                found = ejection.context.board.latest(keys.EJECTED, {})
                self.tally.peak_out = max(self.tally.peak_out, len(found))
                first_healthy = self._failing if faulty else 0
                for runner in self._runners[first_healthy:]:
                    healthy += 1
                    out += runner.runner_id in found
            for _ in range(int(requests_per_second * STEP_SECONDS)):
                self._send(index, now, faulty=faulty)
        self.tally.healthy_out = out / healthy
        return self.tally

    def _add_router(
        self,
        seed: int,
        make_detector: Callable[[], Detector],
        max_ejected_share: float,
    ) -> None:
        board = Board()
        context = Context(
            member_id="router",
            incarnation=1,
            data_centre="a",
            board=board,
            clock=self.clock,
            rng=random.Random(seed),
        )
        table = {runner.runner_id: runner for runner in self._runners}
        board.write(
            keys.RUNNERS,
            RunnerTable(runners=table, reports={}),
            writer="runner_table",
            now_seconds=0.0,
        )
        made: list[Detector] = []

        def make() -> Detector:
            made.append(make_detector())
            return made[-1]

        self._detectors.append(made)
        self._ejections.append(
            Ejection(
                context,
                make_detector=make,
                max_ejected_share=max_ejected_share,
            )
        )

    def _send(self, number: int, now: float, *, faulty: bool) -> None:
        router = self._rng.randrange(ROUTERS)
        ejection = self._ejections[router]
        ejected = ejection.context.board.latest(keys.EJECTED, {})
        while True:
            index = self._rng.randrange(len(self._runners))
            runner = self._runners[index]
            if runner.runner_id not in ejected:
                break
        for detector in self._detectors[router]:
            if isinstance(detector, ConsecutiveFailures):
                detector.probe_sent(runner.runner_id, now)
        fault = Fault.NONE
        if faulty and index < self._failing:
            fault = self._fault
        failed = self._rng.random() < _FAILURE_SHARES[fault]
        latency_seconds = self._rng.uniform(0.2, 0.4)
        if fault is Fault.SLOW:
            latency_seconds *= SLOW_FACTOR
        self.tally.requests += 1
        self.tally.failed += failed
        self.tally.slow += not failed and latency_seconds > SLOW_SECONDS
        outcome = AttemptOutcome(
            Ticket(
                make_request(number, now),
                runner,
                attempt_id="attempt",
                reserved_tokens=1,
                admitted_at_seconds=now,
            ),
            state=AttemptState.MAYBE_RUN if failed else AttemptState.DONE,
            status=0 if failed else 200,
            latency_seconds=latency_seconds,
            runner_died=failed,
        )
        due = now + latency_seconds
        act = (due, next(self._numbers), lambda: ejection.observe(outcome))
        heapq.heappush(self._events, act)


_FAILURE_SHARES = {
    Fault.NONE: HEALTHY_FAILURE_SHARE,
    Fault.PARTIAL: 0.3,
    Fault.SLOW: HEALTHY_FAILURE_SHARE,
    Fault.LOST: 1.0,
}


def _runner(number: int) -> Runner:
    return Runner(
        f"runner-{number}",
        service="card-writer",
        kind=ServiceKind.ENGINE,
        address="",
        data_centre="a",
        fabric_domain="",
        slots=16,
        memory_tokens=1_000_000,
        cold_slots=2,
    )
