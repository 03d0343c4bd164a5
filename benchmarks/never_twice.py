"""Measures the at-most-once execution of requests with idempotency keys.

Under faults it counts keys that ran more than once, and refusals that wrongly
state that a request has not run; without faults it measures writes to the
store and added latency. In the baseline each router remembers only the keys
that it ran itself. The fault schedules are those of
properties/test_claims.py. The rates are measured in simulated time: a message
takes 2.5 ms one way on average, a call of the store 5 ms.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.controllers.claims import (
    ClaimReply,
    Claims,
    ClaimStart,
    StoredAnswer,
)
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.request import AttemptState, Request
from tests.support.claims_fleet import ROUTERS, ClaimsFleet
from tests.support.claims_schedule import run_schedule

if TYPE_CHECKING:
    from mulberrypaddle.controllers import Context

FAULT_SEEDS = range(12)
RATES_PER_SECOND = (50, 200, 1000)
WARM_SECONDS = 1.0
RATE_SECONDS = 3.0
DELAY_SECONDS = 0.0025
# The first resolves the latency of the store, the second is the step of the
# real driver.
STEPS_SECONDS = (0.0025, 0.02)


class LocalClaims(Claims):
    """The baseline: keeps the keys of this router in memory only."""

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._local_answers: dict[str, StoredAnswer | None] = {}

    def step(self, now_seconds: float) -> None:
        """Does nothing, since there is nothing to write."""

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Does nothing: claims stay valid over a pause of the process."""

    def begin(self, request: Request, reply: ClaimReply) -> None:
        """Grants a key that this router has not seen yet."""
        if request.idempotency_key not in self._local_answers:
            self._local_answers[request.idempotency_key] = None
            reply(Success(ClaimStart.RUN))
            return
        answer = self._local_answers[request.idempotency_key]
        if answer is not None:
            reply(Success(answer))
            return
        problem = Problem(ErrorKind.OUTCOME_UNKNOWN, "key was used before")
        reply(Failure(problem))

    def may_send(self, request: Request) -> Result[ClaimStart, Problem]:
        """Allows every attempt."""
        return Success(ClaimStart.RUN)

    def finish(
        self, request: Request, state: AttemptState, answer: StoredAnswer | None
    ) -> None:
        """Remembers the answer, or forgets a key that did not run."""
        self._local_answers[request.idempotency_key] = answer
        if state in (AttemptState.UNSENT, AttemptState.REFUSED):
            del self._local_answers[request.idempotency_key]


def measure_faults(*, baseline: bool) -> None:
    """Prints keys run twice and wrong refusals over the fault schedules."""
    sent = 0
    keys_run = 0
    keys_run_twice = 0
    wrong_refusals = 0
    refused = 0
    for seed in FAULT_SEEDS:
        fleet = ClaimsFleet(
            seed=seed,
            loss=0.05,
            make_claims=LocalClaims if baseline else None,
        )
        run_schedule(fleet, seed)
        sent += len(fleet.sendings)
        keys_run += len(fleet.runs)
        keys_run_twice += len(fleet.double_runs())
        wrong_refusals += len(fleet.untrue_refusals())
        for sending in fleet.sendings:
            if sending.result is not None and not sending.runs:
                refused += not isinstance(sending.result, Success)
    name = "baseline" if baseline else "present"
    print(
        f"faults way={name} schedules={len(FAULT_SEEDS)} sendings={sent} "
        f"keys_run={keys_run} keys_run_twice={keys_run_twice} "
        f"untrue_refusals={wrong_refusals} problems_told={refused}"
    )


def measure_request_rate(rate_per_second: int, step_seconds: float) -> None:
    """Prints writes and added latency at one request rate without faults."""
    fleet = ClaimsFleet(seed=1, delay_seconds=DELAY_SECONDS)
    fleet.refused_share = 0.0
    fleet.broken_share = 0.0
    rng = random.Random(1)
    latencies_seconds: list[float] = []
    fleet.granted = lambda sending: latencies_seconds.append(
        fleet.now - sending.sent_at
    )
    fleet.fleet.run(1.0, step_seconds=0.01)
    due_requests = 0.0
    writes = 0
    steps = int((WARM_SECONDS + RATE_SECONDS) / step_seconds)
    for index in range(steps):
        if index == int(WARM_SECONDS / step_seconds):
            writes = fleet.fleet.store.writes
            latencies_seconds.clear()
        due_requests += rate_per_second * step_seconds
        while due_requests >= 1.0:
            due_requests -= 1.0
            fleet.submit(rng.choice(ROUTERS), fleet.new_key())
        fleet.fleet.run(step_seconds, step_seconds=step_seconds)
    writes = fleet.fleet.store.writes - writes
    latencies_seconds.sort()
    count = len(latencies_seconds)
    median_ms = 1000 * latencies_seconds[count // 2]
    p99_ms = 1000 * latencies_seconds[int(count * 0.99)]
    print(
        f"rate requests_per_second={rate_per_second} "
        f"step_ms={1000 * step_seconds:.1f} "
        f"granted_per_second={count / RATE_SECONDS:.0f} "
        f"writes_per_second={writes / RATE_SECONDS:.1f} "
        f"one_object_each_writes_per_second={rate_per_second} "
        f"added_p50_ms={median_ms:.1f} added_p99_ms={p99_ms:.1f}"
    )


def main() -> None:
    """Measures faults with both variants, then all request rates."""
    measure_faults(baseline=True)
    measure_faults(baseline=False)
    for step_seconds in STEPS_SECONDS:
        for rate_per_second in RATES_PER_SECOND:
            measure_request_rate(rate_per_second, step_seconds)


if __name__ == "__main__":
    main()
