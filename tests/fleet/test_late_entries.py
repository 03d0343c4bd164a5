"""Heartbeats of runners that the store carries out after later ones."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import (
    FleetView,
    GroupMembership,
    MembershipState,
    RunnerEntry,
)
from mulberrypaddle.fleet.view import MAX_LATE_WRITES

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


def _views(known: RunnerEntry, late: RunnerEntry) -> list[FleetView]:
    """Returns views that got an entry by a change and by a snapshot."""
    by_change, by_snapshot = FleetView(), FleetView()
    for view in (by_change, by_snapshot):
        view.replace_all([known], revision=5, now_seconds=0.0)
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

    def test_other_entries_are_taken_whatever_their_numbers(self) -> None:
        known = _entry(sequence=MAX_LATE_WRITES + 9)
        for other in (
            # Another start, with a clock that was set back or not.
            _entry(sequence=1, started_at_ms=6),
            _entry(sequence=1, started_at_ms=4),
            # Without a number, and of a count that started anew.
            _entry(sequence=None),
            _entry(sequence=8),
        ):
            for view in _views(known, other):
                self.assertIs(other, view.get("a"))

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
