"""The share of one router in the bound on repeats."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import RetryBudget


def _budget() -> RetryBudget:
    return RetryBudget(
        ratio=0.2, slack=105.0, window_seconds=10.0, started_at_seconds=0.0
    )


def _taken(budget: RetryBudget, now_seconds: float) -> int:
    count = 0
    while budget.take("cards", routers=7, now_seconds=now_seconds):
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
