"""Tests of the counts of late and unanswered requests."""

from __future__ import annotations

import testtools

from mulberrypaddle.observe.log_reader import parse_line
from mulberrypaddle.observe.losses import count_losses

_LINES = [
    "event=late cause=queued model=m1 at=2026-02-03T19:49:44.755+00:00",
    "event=late cause=queued model=m1 at=2026-02-03T19:49:45.755+00:00",
    "event=refused kind=overloaded model=m2 at=2026-02-03T19:49:46.755+00:00",
    "event=answered model=m1 at=2026-02-03T19:49:46.755+00:00",
]


class LossesTest(testtools.TestCase):
    """Late and unanswered requests by cause, model and time."""

    def _counts(self, interval_seconds: float) -> list[tuple[str, str, int]]:
        return [
            (count.model, count.cause, count.requests)
            for count in count_losses(
                [parse_line(text) for text in _LINES],
                interval_seconds=interval_seconds,
            )
        ]

    def test_most_frequent_cause_is_first(self) -> None:
        self.assertEqual(
            [("m1", "queued", 2), ("m2", "overloaded", 1)], self._counts(0.0)
        )

    def test_counts_are_divided_by_time(self) -> None:
        self.assertEqual(
            [("m1", "queued", 1), ("m1", "queued", 1), ("m2", "overloaded", 1)],
            self._counts(1.0),
        )
