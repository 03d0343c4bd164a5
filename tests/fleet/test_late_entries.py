"""Heartbeats of runners that the store carries out after later ones."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import (
    FleetView,
    GroupMembership,
    MembershipState,
    RunnerEntry,
)

_SILENCE_SECONDS = 4.1
_OPEN = GroupMembership("g", epoch=1, rank=0, state=MembershipState.OPEN)


def _entry(
    *,
    sequence: int | None,
    started_at_ms: int = 5,
    draining: bool = False,
    group: GroupMembership | None = None,
) -> RunnerEntry:
    return RunnerEntry(
        "a",
        started_at_ms=started_at_ms,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=draining,
        group=group,
        sequence=sequence,
    )


def _view(known: RunnerEntry) -> FleetView:
    view = FleetView(silence_seconds=_SILENCE_SECONDS)
    view.replace_all([known], revision=5, now_seconds=0.0)
    return view


def _views(known: RunnerEntry, late: RunnerEntry) -> list[FleetView]:
    """Returns views that got an entry by a change and by a snapshot."""
    by_change, by_snapshot = _view(known), _view(known)
    by_change.apply([late], removed=[], revision=6, now_seconds=1.0)
    by_snapshot.replace_all([late], revision=6, now_seconds=1.0)
    return [by_change, by_snapshot]


class LateEntryTest(testtools.TestCase):
    """A report has an order of its own, and an older one changes nothing."""

    def test_late_heartbeat_does_not_free_the_head_of_an_open_group(
        self,
    ) -> None:
        known = _entry(sequence=9, group=_OPEN)
        for view in _views(known, _entry(sequence=7)):
            self.assertIs(known, view.get("a"))
            self.assertEqual((6, ["a"]), (view.revision, view.held_back))

    def test_late_heartbeat_does_not_end_the_leaving_of_a_runner(self) -> None:
        known = _entry(sequence=9, draining=True)
        for view in _views(known, _entry(sequence=8)):
            entry = view.get("a")
            assert entry is not None
            self.assertFalse(view.accepts_new_work(entry))

    def test_next_heartbeat_is_taken(self) -> None:
        for view in _views(_entry(sequence=9), _entry(sequence=7)):
            later = _entry(sequence=10, group=_OPEN)
            view.apply([later], removed=[], revision=7, now_seconds=2.0)
            self.assertIs(later, view.get("a"))
            self.assertEqual([], view.held_back)

    def test_late_heartbeat_of_an_earlier_life_is_held_back(self) -> None:
        # Guards against the head of an open group that is ordered into another
        # one by an entry from before its restart.
        known = _entry(sequence=4, started_at_ms=6, group=_OPEN)
        for view in _views(known, _entry(sequence=9, started_at_ms=5)):
            self.assertIs(known, view.get("a"))
            self.assertEqual((6, ["a"]), (view.revision, view.held_back))

    def test_late_heartbeat_does_not_bring_back_a_removed_runner(self) -> None:
        for late in (
            _entry(sequence=7),
            _entry(sequence=30, started_at_ms=4),
        ):
            for is_listed in (True, False):
                view = _view(_entry(sequence=9))
                view.apply([], removed=["a"], revision=6, now_seconds=1.0)
                if is_listed:
                    view.replace_all([late], revision=7, now_seconds=2.0)
                else:
                    view.apply([late], removed=[], revision=7, now_seconds=2.0)
                self.assertIsNone(view.get("a"))
                view.apply([], removed=["a"], revision=8, now_seconds=5.0)
                self.assertEqual([], view.take_outdated(60.0))
                self.assertIsNone(view.get("a"))

    def test_removed_runner_returns_with_its_next_heartbeat(self) -> None:
        view = _view(_entry(sequence=9))
        view.apply([], removed=["a"], revision=6, now_seconds=1.0)
        back = _entry(sequence=10)
        view.apply([back], removed=[], revision=7, now_seconds=2.0)
        self.assertIs(back, view.get("a"))

    def test_other_entries_are_taken_at_once(self) -> None:
        known = _entry(sequence=9)
        for other in (
            _entry(sequence=1, started_at_ms=6),
            _entry(sequence=None),
            _entry(sequence=9),
        ):
            for view in _views(known, other):
                self.assertIs(other, view.get("a"))
                self.assertEqual({}, view.outdated)

    def test_lower_numbers_are_taken_once_no_higher_one_follows(self) -> None:
        # The known number may be odd, or a clock was set back before a restart.
        known = _entry(sequence=1_000_000)
        for other in (
            _entry(sequence=8),
            _entry(sequence=999_999),
            _entry(sequence=2_000_000, started_at_ms=4),
        ):
            for view in _views(known, other):
                generation = view.generation
                due_seconds = 1.0 + view.outdated_limit_seconds
                self.assertEqual([], view.take_outdated(due_seconds - 0.1))
                self.assertIs(known, view.get("a"))
                self.assertEqual(["a"], view.take_outdated(due_seconds))
                self.assertIs(other, view.get("a"))
                self.assertTrue(view.generation > generation)

    def test_time_of_a_held_back_entry_ends_with_a_newer_one(self) -> None:
        for view in _views(_entry(sequence=9), _entry(sequence=7)):
            later = _entry(sequence=10)
            view.apply([later], removed=[], revision=7, now_seconds=2.0)
            view.apply(
                [_entry(sequence=8)], removed=[], revision=8, now_seconds=3.0
            )
            due_seconds = 1.0 + view.outdated_limit_seconds
            self.assertEqual([], view.take_outdated(due_seconds))
            self.assertIs(later, view.get("a"))

    def test_late_heartbeat_keeps_an_entry_that_lapsed_in_an_outage(
        self,
    ) -> None:
        view = FleetView()
        view.replace_all([_entry(sequence=9)], revision=5, now_seconds=0.0)
        view.start_grace_period(1.0)
        view.apply([], removed=["a"], revision=6, now_seconds=1.0)
        view.apply(
            [_entry(sequence=8)], removed=[], revision=7, now_seconds=1.5
        )
        self.assertEqual([], view.remove_expired(60.0))
        self.assertIsNotNone(view.get("a"))
