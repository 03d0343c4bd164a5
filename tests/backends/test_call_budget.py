"""Tests of the rate limiter and circuit breaker of the object API."""

from __future__ import annotations

import random

import testtools
from testtools import matchers

from mulberrypaddle.backends.call_budget import (
    REGION_CALLS_PER_SECOND,
    CallBudget,
)
from mulberrypaddle.blackboard import Priority
from mulberrypaddle.core.clock import ManualClock

_ROUTERS = 100
_STEP_SECONDS = 0.05


def _peak_calls_after_outage(*, budgeted: bool) -> int:
    """Returns the peak of answered calls per second after an outage.

    The store is unavailable for the first 60 seconds, while each of 100
    routers has 40 calls to send.

    Args:
        budgeted: Whether the routers obey their budgets.
    """
    clock = ManualClock()
    budgets = []
    for number in range(_ROUTERS):
        budget = CallBudget(clock, random.Random(number))
        budget.set_router_count(_ROUTERS)
        budgets.append(budget)
    pending_calls = [40] * _ROUTERS
    calls_at: list[float] = []
    while clock.monotonic_seconds() < 90:
        clock.advance(_STEP_SECONDS)
        now_seconds = clock.monotonic_seconds()
        store_available = now_seconds >= 60
        for number, budget in enumerate(budgets):
            while pending_calls[number] > 0:
                admitted = budget.admit(Priority.CONFIG)
                if budgeted and not (
                    admitted and budget.try_acquire(Priority.CONFIG)
                ):
                    break
                budget.record(answered=store_available)
                if not store_available:
                    break
                calls_at.append(now_seconds)
                pending_calls[number] -= 1
    peak = 0
    for start_seconds in range(60, 90):
        within = [s for s in calls_at if 0 <= s - start_seconds < 1]
        peak = max(peak, len(within))
    return peak


class CallBudgetTest(testtools.TestCase):
    """The budget limits the rate, respects priorities and backs off."""

    def test_region_rate_holds_after_an_outage(self) -> None:
        # Each router may send one probe in addition to the region's rate.
        bound = REGION_CALLS_PER_SECOND + _ROUTERS
        self.assertThat(
            _peak_calls_after_outage(budgeted=True),
            matchers.MatchesAll(
                matchers.GreaterThan(0),
                matchers.LessThan(bound + 1),
                first_only=False,
            ),
        )
        self.assertThat(
            _peak_calls_after_outage(budgeted=False),
            matchers.GreaterThan(bound),
        )

    def test_higher_priorities_pass_when_lower_ones_wait(self) -> None:
        budget = CallBudget(ManualClock(), random.Random(1))
        while budget.try_acquire(Priority.STATUS):
            pass
        self.assertFalse(budget.try_acquire(Priority.STATUS))
        self.assertTrue(budget.try_acquire(Priority.PLACEMENT))
        while budget.try_acquire(Priority.CONFIG):
            pass
        self.assertTrue(budget.try_acquire(Priority.FENCING))

    def test_outage_admits_only_fencing_and_one_probe(self) -> None:
        clock = ManualClock()
        budget = CallBudget(clock, random.Random(1))
        for _ in range(3):
            budget.record(answered=False)
        self.assertFalse(budget.admit(Priority.CONFIG))
        self.assertTrue(budget.admit(Priority.FENCING))
        clock.advance(1.0)
        self.assertTrue(budget.admit(Priority.CONFIG))
        self.assertFalse(budget.admit(Priority.CONFIG))
        budget.record(answered=True)
        self.assertTrue(budget.admit(Priority.STATUS))
