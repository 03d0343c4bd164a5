"""The share of one router in the bound on repeats."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.dispatch import RetryBudget
from mulberrypaddle.dispatch.retry_budget import RetryCounts


def _budget(seed: int = 1) -> RetryBudget:
    return RetryBudget(
        ratio=0.2,
        slack=105.0,
        window_seconds=10.0,
        started_at_seconds=0.0,
        rng=random.Random(seed),
    )


def _taken(budget: RetryBudget, now_seconds: float, *, routers: int = 7) -> int:
    count = 0
    while budget.take("cards", routers=routers, now_seconds=now_seconds):
        count += 1
    return count


class RetryBudgetTest(testtools.TestCase):
    """No router exceeds its share."""

    def test_restart_begins_without_slack(self) -> None:
        self.assertEqual(0, _taken(_budget(), 1.0))

    def test_seven_routers_stay_within_the_bound(self) -> None:
        budget = _budget()
        for _ in range(100):
            budget.sent_first("cards", 20.0)
        allowed = 0.2 * 700 + 105
        self.assertLessEqual(7 * _taken(budget, 20.0), allowed)

    def test_repeats_come_back_with_the_window(self) -> None:
        budget = _budget()
        first = _taken(budget, 20.0)
        self.assertGreater(first, 0)
        self.assertEqual(0, _taken(budget, 29.0))
        self.assertEqual(first, _taken(budget, 30.1))

    def test_router_that_is_hit_hard_borrows_from_the_others(self) -> None:
        # A third of the runners is lost; all of their streams were on a few
        # of 71 routers, and the others have nothing to repeat.
        budget = _budget()
        for _ in range(30):
            budget.sent_first("cards", 20.0)
        _taken(budget, 20.0, routers=71)
        borrowed = 0
        # Rounds of a second, in hub mode.
        for _ in range(5):
            budget.lend(
                {"cards": RetryCounts(firsts=2_000, repeats=20)},
                routers=71,
                now_seconds=20.0,
            )
            borrowed += _taken(budget, 20.0, routers=71)
        self.assertGreaterEqual(borrowed, 3)

    def test_loans_of_two_rounds_stay_within_the_bound(self) -> None:
        routers = 71
        budgets = [_budget(seed) for seed in range(routers)]
        for budget in budgets:
            for _ in range(30):
                budget.sent_first("cards", 20.0)
        taken = 0
        # All take what they can, twice before any count has come round.
        others = RetryCounts(firsts=30 * (routers - 1), repeats=0)
        for _ in range(2):
            for budget in budgets:
                budget.lend(
                    {"cards": others}, routers=routers, now_seconds=20.0
                )
                taken += _taken(budget, 20.0, routers=routers)
        self.assertLessEqual(taken, 0.2 * 30 * routers + 105)

    def test_nothing_is_lent_once_the_fleet_has_used_its_part(self) -> None:
        budget = _budget()
        budget.sent_first("cards", 20.0)
        _taken(budget, 20.0)
        budget.lend(
            {"cards": RetryCounts(firsts=1_000, repeats=300)},
            routers=7,
            now_seconds=20.0,
        )
        self.assertEqual(0, _taken(budget, 20.0))
