"""The view of all runners that a router keeps."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import FleetView, RunnerEntry
from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS


def _entry(runner_id: str, *, started_at_ms: int = 1) -> RunnerEntry:
    return RunnerEntry(
        runner_id,
        started_at_ms=started_at_ms,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=False,
    )


def _view() -> FleetView:
    view = FleetView()
    view.replace_all([_entry("a"), _entry("b")], revision=5, now_seconds=0.0)
    return view


class FleetViewTest(testtools.TestCase):
    """Snapshots, changes and outages of the store."""

    def test_removed_runner_is_dropped_at_once_without_an_outage(self) -> None:
        view = _view()
        view.apply([], removed=["a"], revision=6, now_seconds=1.0)
        self.assertIsNone(view.get("a"))

    def test_snapshot_older_than_the_view_is_ignored(self) -> None:
        view = _view()
        self.assertFalse(view.replace_all([], revision=4, now_seconds=1.0))
        self.assertEqual(2, len(view))

    def test_expired_entry_is_kept_for_the_grace_period_after_an_outage(
        self,
    ) -> None:
        view = _view()
        view.start_grace_period(10.0)
        view.replace_all([_entry("b")], revision=6, now_seconds=10.0)
        self.assertIsNotNone(view.get("a"))
        self.assertEqual(
            ["a"], view.remove_expired(10.0 + RETURN_GRACE_SECONDS)
        )
        self.assertIsNone(view.get("a"))

    def test_runner_that_reappears_in_the_grace_period_stays(self) -> None:
        view = _view()
        view.start_grace_period(10.0)
        view.replace_all([], revision=6, now_seconds=10.0)
        view.apply([_entry("a")], removed=[], revision=7, now_seconds=11.0)
        view.remove_expired(20.0)
        self.assertIsNotNone(view.get("a"))
        self.assertIsNone(view.get("b"))

    def test_second_call_does_not_extend_the_grace_period(self) -> None:
        view = _view()
        view.start_grace_period(10.0)
        view.replace_all([], revision=6, now_seconds=10.0)
        view.start_grace_period(10.0 + RETURN_GRACE_SECONDS / 2)
        view.remove_expired(10.0 + RETURN_GRACE_SECONDS)
        self.assertEqual(0, len(view))

    def test_restart_under_the_same_id_is_another_incarnation(self) -> None:
        view = _view()
        before = view.get("a")
        view.apply(
            [_entry("a", started_at_ms=2)],
            removed=[],
            revision=6,
            now_seconds=1.0,
        )
        after = view.get("a")
        assert before is not None and after is not None
        self.assertNotEqual(before.incarnation, after.incarnation)
