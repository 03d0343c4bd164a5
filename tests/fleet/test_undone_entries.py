"""Entries of runners that a restored store set back to an older state."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import (
    FleetView,
    GroupMembership,
    MembershipState,
    RunnerEntry,
)
from mulberrypaddle.serving.store_era import make_revision

_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)
_RESTORED_AGAIN = make_revision(250, 3)


def _entry(
    *,
    sequence: int | None,
    started_at_ms: int | None = 5,
    draining: bool = False,
    state: MembershipState = MembershipState.OPEN,
    cold_until_seconds: float = 0.0,
) -> RunnerEntry:
    return RunnerEntry(
        "a",
        started_at_ms=started_at_ms,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=draining,
        group=GroupMembership("g", epoch=1, rank=0, state=state),
        sequence=sequence,
        cold_until_seconds=cold_until_seconds,
    )


def _view(entry: RunnerEntry, *, restored: RunnerEntry) -> FleetView:
    """Returns a view of one runner, after a restore of the store."""
    view = FleetView()
    view.replace_all([entry], revision=_BEFORE, now_seconds=0.0)
    view.replace_all(
        [restored], revision=_RESTORED, now_seconds=1.0, restored=True
    )
    return view


def _accepts(view: FleetView) -> bool:
    entry = view.get("a")
    assert entry is not None
    return view.accepts_new_work(entry)


class UndoneEntryTest(testtools.TestCase):
    """What is known of a runner isn't undone by a copy of its past."""

    def test_draining_runner_is_not_ready_again(self) -> None:
        view = _view(
            _entry(sequence=9, draining=True), restored=_entry(sequence=7)
        )
        self.assertFalse(_accepts(view))
        self.assertEqual(["a"], view.held_back)

    def test_group_state_does_not_go_back(self) -> None:
        view = _view(
            _entry(sequence=9, state=MembershipState.CLOSING),
            restored=_entry(sequence=7),
        )
        entry = view.get("a")
        assert entry is not None and entry.group is not None
        self.assertIs(MembershipState.CLOSING, entry.group.state)

    def test_entry_without_a_sequence_does_not_undo_the_known_one(
        self,
    ) -> None:
        for known, restored in ((None, None), (9, None), (None, 9)):
            view = _view(
                _entry(sequence=known, draining=True),
                restored=_entry(sequence=restored),
            )
            self.assertFalse(_accepts(view), (known, restored))

    def test_same_entry_does_not_start_the_cold_time_again(self) -> None:
        view = _view(
            _entry(sequence=9, cold_until_seconds=3.0),
            restored=_entry(sequence=9, cold_until_seconds=4.0),
        )
        entry = view.get("a")
        assert entry is not None
        self.assertEqual(3.0, entry.cold_until_seconds)

    def test_entry_of_an_earlier_start_does_not_replace_a_later_one(
        self,
    ) -> None:
        view = _view(
            _entry(sequence=2, started_at_ms=8),
            restored=_entry(sequence=30, started_at_ms=5),
        )
        entry = view.get("a")
        assert entry is not None
        self.assertEqual(8, entry.started_at_ms)

    def test_newer_entry_in_the_restored_list_is_taken(self) -> None:
        for newer in (
            _entry(sequence=10),
            _entry(sequence=1, started_at_ms=6),
        ):
            view = _view(_entry(sequence=9, draining=True), restored=newer)
            self.assertIs(newer, view.get("a"))
            self.assertEqual([], view.held_back)

    def test_second_list_of_the_new_era_does_not_undo_it_either(self) -> None:
        view = _view(
            _entry(sequence=9, draining=True), restored=_entry(sequence=7)
        )
        view.replace_all(
            [_entry(sequence=7)], revision=_RESTORED + 3, now_seconds=2.0
        )
        self.assertFalse(_accepts(view))

    def test_two_restores_in_a_row_do_not_undo_it(self) -> None:
        view = _view(
            _entry(sequence=9, draining=True), restored=_entry(sequence=7)
        )
        view.replace_all(
            [_entry(sequence=5)],
            revision=_RESTORED_AGAIN,
            now_seconds=2.0,
            restored=True,
        )
        self.assertFalse(_accepts(view))

    def test_write_of_the_new_era_is_taken_unless_it_is_a_late_one(
        self,
    ) -> None:
        # The clock of the runner's VM may have been set back.
        view = _view(
            _entry(sequence=9, draining=True), restored=_entry(sequence=7)
        )
        written = _entry(sequence=1, started_at_ms=3)
        view.apply(
            [written], removed=[], revision=_RESTORED + 3, now_seconds=2.0
        )
        self.assertFalse(_accepts(view))
        due_seconds = 2.0 + view.outdated_limit_seconds
        self.assertEqual([], view.take_outdated(due_seconds - 0.1))
        self.assertEqual(["a"], view.take_outdated(due_seconds))
        self.assertIs(written, view.get("a"))

    def test_earlier_start_in_a_list_is_taken_unless_it_is_a_late_one(
        self,
    ) -> None:
        view = FleetView()
        known = _entry(sequence=9)
        view.replace_all([known], revision=_BEFORE, now_seconds=0.0)
        listed = _entry(sequence=1, started_at_ms=3)
        view.replace_all([listed], revision=_BEFORE + 1, now_seconds=1.0)
        self.assertIs(known, view.get("a"))
        due_seconds = 1.0 + view.outdated_limit_seconds
        self.assertEqual([], view.take_outdated(due_seconds - 0.1))
        self.assertEqual(["a"], view.take_outdated(due_seconds))
        self.assertIs(listed, view.get("a"))
