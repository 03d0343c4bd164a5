"""Lifetimes of runners that announced that they are leaving."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import FleetView, RunnerEntry
from mulberrypaddle.fleet.leaving import MAX_REMEMBERED, LeavingRunners


def _entry(
    runner_id: str, *, started_at_ms: int | None = 1, draining: bool = False
) -> RunnerEntry:
    return RunnerEntry(
        runner_id,
        started_at_ms=started_at_ms,
        service="stock",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=draining,
    )


class _View:
    """A view with the runner `a`, and its further changes.

    Attributes:
        view: The view.
    """

    def __init__(self, *, started_at_ms: int | None = 1) -> None:
        self.view = FleetView()
        self._revision = 1
        self.put(_entry("a", started_at_ms=started_at_ms))

    def put(self, entry: RunnerEntry) -> None:
        """Writes an entry."""
        self._revision += 1
        self.view.apply(
            [entry], removed=[], revision=self._revision, now_seconds=0.0
        )

    def remove(self, runner_id: str) -> None:
        """Removes an entry."""
        self._revision += 1
        self.view.apply(
            [], removed=[runner_id], revision=self._revision, now_seconds=0.0
        )

    def is_leaving(self, runner_id: str) -> bool:
        """Returns whether a listed runner is leaving."""
        entry = self.view.get(runner_id)
        assert entry is not None
        return entry.is_leaving


class LeavingTest(testtools.TestCase):
    """An announcement counts for one lifetime of a runner."""

    def test_only_the_first_announcement_is_new(self) -> None:
        under_test = _View()
        self.assertTrue(under_test.view.record_leaving(("a", 1), 1.0))
        self.assertFalse(under_test.view.record_leaving(("a", 1), 2.0))
        self.assertTrue(under_test.is_leaving("a"))

    def test_caches_are_cleared(self) -> None:
        under_test = _View()
        before = under_test.view.generation
        under_test.view.record_leaving(("a", 1), 1.0)
        self.assertGreater(under_test.view.generation, before)

    def test_ready_entries_do_not_end_it(self) -> None:
        under_test = _View()
        under_test.view.record_leaving(("a", 1), 1.0)
        under_test.put(_entry("a"))
        self.assertTrue(under_test.is_leaving("a"))
        under_test.remove("a")
        under_test.put(_entry("a"))
        self.assertTrue(under_test.is_leaving("a"))

    def test_next_lifetime_is_not_leaving(self) -> None:
        under_test = _View()
        under_test.view.record_leaving(("a", 1), 1.0)
        under_test.put(_entry("a", started_at_ms=2))
        self.assertFalse(under_test.is_leaving("a"))

    def test_answer_of_an_earlier_lifetime_does_not_count(self) -> None:
        under_test = _View(started_at_ms=2)
        under_test.view.record_leaving(("a", 1), 1.0)
        self.assertFalse(under_test.is_leaving("a"))

    def test_runner_that_is_listed_later_is_known_to_leave(self) -> None:
        under_test = _View()
        under_test.view.record_leaving(("b", 1), 1.0)
        under_test.put(_entry("b"))
        self.assertTrue(under_test.is_leaving("b"))

    def test_unknown_lifetime_ends_with_its_entry(self) -> None:
        under_test = _View(started_at_ms=None)
        under_test.view.record_leaving(("a", None), 1.0)
        under_test.put(_entry("a", started_at_ms=None))
        self.assertTrue(under_test.is_leaving("a"))
        under_test.remove("a")
        under_test.put(_entry("a", started_at_ms=None))
        self.assertFalse(under_test.is_leaving("a"))

    def test_unknown_lifetime_ends_with_a_start_time(self) -> None:
        under_test = _View(started_at_ms=None)
        under_test.view.record_leaving(("a", None), 1.0)
        under_test.put(_entry("a", started_at_ms=5))
        self.assertFalse(under_test.is_leaving("a"))

    def test_lost_start_time_does_not_end_it(self) -> None:
        under_test = _View()
        under_test.view.record_leaving(("a", 1), 1.0)
        under_test.put(_entry("a", started_at_ms=None))
        self.assertTrue(under_test.is_leaving("a"))

    def test_start_time_that_returns_does_not_end_it(self) -> None:
        under_test = _View()
        under_test.put(_entry("a", started_at_ms=None))
        under_test.view.record_leaving(("a", None), 1.0)
        under_test.put(_entry("a", started_at_ms=1))
        self.assertTrue(under_test.is_leaving("a"))
        under_test.put(_entry("a", started_at_ms=2))
        self.assertFalse(under_test.is_leaving("a"))

    def test_unknown_lifetime_of_an_unlisted_runner_is_ignored(self) -> None:
        under_test = _View()
        self.assertFalse(under_test.view.record_leaving(("b", None), 1.0))
        under_test.put(_entry("b", started_at_ms=None))
        self.assertFalse(under_test.is_leaving("b"))

    def test_memory_is_bounded(self) -> None:
        leaving = LeavingRunners()
        for number in range(2 * MAX_REMEMBERED):
            leaving.record((f"r{number}", 1), float(number))
        self.assertIsNone(leaving.since_seconds(_entry("r0")))
        last = _entry(f"r{2 * MAX_REMEMBERED - 1}")
        self.assertIsNotNone(leaving.since_seconds(last))


class ReportTest(testtools.TestCase):
    """Leaving runners that are reported to other routers."""

    def test_runner_is_reported_until_its_entry_says_so(self) -> None:
        under_test = _View()
        view = under_test.view
        view.record_leaving(("a", 1), 1.0)
        self.assertEqual({"a": 1}, view.leaving_to_report(10))
        under_test.put(_entry("a", draining=True))
        self.assertEqual({}, view.leaving_to_report(10))
        under_test.put(_entry("a"))
        under_test.remove("a")
        self.assertEqual({}, view.leaving_to_report(10))

    def test_latest_announcements_are_reported(self) -> None:
        under_test = _View()
        for number in range(100):
            under_test.put(_entry(f"r{number}"))
            under_test.view.record_leaving((f"r{number}", 1), float(number))
        self.assertEqual(
            {"r99": 1, "r98": 1}, under_test.view.leaving_to_report(2)
        )


class LastResortTest(testtools.TestCase):
    """Leaving runners that may serve if no other runner does."""

    def _until_seconds(self, view: FleetView) -> float:
        entry = view.get("a")
        assert entry is not None
        return view.last_resort_until_seconds(entry, drain_seconds=2.0)

    def test_drain_time_begins_with_the_first_announcement(self) -> None:
        view = _View().view
        view.record_leaving(("a", 1), 10.0)
        view.record_leaving(("a", 1), 11.0)
        self.assertEqual(12.0, self._until_seconds(view))

    def test_draining_or_evacuated_runner_is_not_used(self) -> None:
        under_test = _View()
        view = under_test.view
        view.record_leaving(("a", 1), 10.0)
        view.evacuated = frozenset({"south"})
        self.assertEqual(0.0, self._until_seconds(view))
        view.evacuated = frozenset()
        under_test.put(_entry("a", draining=True))
        self.assertEqual(0.0, self._until_seconds(view))
