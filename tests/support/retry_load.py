"""Requests to runners of which a part fails, with retries."""

from __future__ import annotations

import random

from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers import Context
from mulberrypaddle.controllers.retries import Retries
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.request import AttemptState, Request

RUNNERS = 60


class LoadCount:
    """What the runners saw.

    Attributes:
        offered: Requests.
        on_healthy: Attempts that healthy runners executed.
        on_failing: Attempts that failing runners took and broke.
        answered: Requests that were answered.
    """

    __slots__ = ("answered", "offered", "on_failing", "on_healthy")

    def __init__(self) -> None:
        self.offered = 0
        self.on_healthy = 0
        self.on_failing = 0
        self.answered = 0

    @property
    def extra_share(self) -> float:
        """Returns attempts above the offered, as a share of the offered."""
        attempts = self.on_healthy + self.on_failing
        return attempts / self.offered - 1.0


def make_request(number: int, now_seconds: float, **options: object) -> Request:
    """Returns a repeatable request of one of three organisations."""
    values: dict[str, object] = {
        "organisation": f"museum-{number % 3}",
        "service": "card-writer",
        "method": "POST",
        "path": "/v1/completions",
        "body": b"",
        "content_type": "application/json",
        "urgency": Urgency.NORMAL,
        "deadline_at_seconds": now_seconds + 20.0,
        "idempotent": True,
    }
    values.update(options)
    return Request(f"request-{number}", **values)


def make_context(clock: ManualClock, seed: int) -> Context:
    """Returns a context of a router of its own."""
    return Context(
        member_id="router-1",
        incarnation=1,
        data_centre="a",
        board=Board(),
        clock=clock,
        rng=random.Random(seed),
    )


def run_load(
    *,
    seed: int,
    failing_share: float,
    three_tries: bool = False,
    duration_seconds: float = 60.0,
    requests_per_second: float = 100.0,
) -> LoadCount:
    """Sends requests to runners of which a share breaks each attempt.

    Args:
        seed: Of the choice of runners.
        failing_share: Share of runners that break what they take.
        three_tries: The baseline: three tries each, without a budget.
        duration_seconds: Simulated time.
        requests_per_second: Offered load.
    """
    clock = ManualClock()
    retries = Retries(make_context(clock, seed), has_budget=not three_tries)
    rng = random.Random(seed)
    failing = int(RUNNERS * failing_share)
    count = LoadCount()
    for number in range(int(duration_seconds * requests_per_second)):
        clock.advance(1.0 / requests_per_second)
        request = make_request(number, clock.monotonic_seconds())
        count.offered += 1
        retries.started(request)
        _answer(request, retries, rng, failing, count)
        retries.step(clock.monotonic_seconds())
    return count


def _answer(
    request: Request,
    retries: Retries,
    rng: random.Random,
    failing: int,
    count: LoadCount,
) -> None:
    tried: set[int] = set()
    while True:
        runner = rng.randrange(RUNNERS)
        if runner in tried:
            continue
        tried.add(runner)
        if runner >= failing:
            count.on_healthy += 1
            count.answered += 1
            return
        count.on_failing += 1
        wait_seconds = retries.may_retry(
            request, AttemptState.MAYBE_RUN, attempts=len(tried)
        )
        if wait_seconds is None:
            return
