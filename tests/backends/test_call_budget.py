"""Tests of the budget for calls to the object API."""

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


def _calls_after_outage(*, budgeted: bool) -> int:
    """Returns the most calls in one second after an outage of a minute."""
    clock = ManualClock()
    budgets = []
    for number in range(_ROUTERS):
        budget = CallBudget(clock, random.Random(number))
        budget.share(_ROUTERS)
        budgets.append(budget)
    waiting = [40] * _ROUTERS
    calls_at: list[float] = []
    while clock.monotonic_seconds() < 90:
        clock.advance(_STEP_SECONDS)
        now_seconds = clock.monotonic_seconds()
        back = now_seconds >= 60
        for number, budget in enumerate(budgets):
            while waiting[number] > 0:
                admitted = budget.admits(Priority.CONFIG)
                if budgeted and not (
                    admitted and budget.try_take(Priority.CONFIG)
                ):
                    break
                budget.record(answered=back)
                if not back:
                    break
                calls_at.append(now_seconds)
                waiting[number] -= 1
    most = 0
    for start_seconds in range(60, 90):
        within = [s for s in calls_at if 0 <= s - start_seconds < 1]
        most = max(most, len(within))
    return most


class CallBudgetTest(testtools.TestCase):
    """The budget bounds the rate, keeps priorities, and backs off."""

    def test_fleet_does_not_return_at_once_after_an_outage(self) -> None:
        # One probe a router comes on top of the region's rate.
        bound = REGION_CALLS_PER_SECOND + _ROUTERS
        self.assertThat(
            _calls_after_outage(budgeted=True),
            matchers.MatchesAll(
                matchers.GreaterThan(0),
                matchers.LessThan(bound + 1),
                first_only=False,
            ),
        )
        self.assertThat(
            _calls_after_outage(budgeted=False), matchers.GreaterThan(bound)
        )

    def test_fencing_goes_while_status_waits(self) -> None:
        budget = CallBudget(ManualClock(), random.Random(1))
        while budget.try_take(Priority.STATUS):
            pass
        self.assertFalse(budget.try_take(Priority.STATUS))
        self.assertTrue(budget.try_take(Priority.PLACEMENT))
        while budget.try_take(Priority.CONFIG):
            pass
        self.assertTrue(budget.try_take(Priority.FENCING))

    def test_outage_refuses_unsent_but_for_one_probe(self) -> None:
        clock = ManualClock()
        budget = CallBudget(clock, random.Random(1))
        for _ in range(3):
            budget.record(answered=False)
        self.assertFalse(budget.admits(Priority.CONFIG))
        self.assertTrue(budget.admits(Priority.FENCING))
        clock.advance(1.0)
        self.assertTrue(budget.admits(Priority.CONFIG))
        self.assertFalse(budget.admits(Priority.CONFIG))
        budget.record(answered=True)
        self.assertTrue(budget.admits(Priority.STATUS))
