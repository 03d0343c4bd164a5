"""Runners that had been removed and that a restored store brought back."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import FleetView, RunnerEntry
from mulberrypaddle.serving.store_era import make_revision

_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)
_RESTORED_AGAIN = make_revision(250, 3)
_SILENCE_SECONDS = 1.2


def _entry(
    *, sequence: int | None, started_at_ms: int | None = 5
) -> RunnerEntry:
    return RunnerEntry(
        "a",
        started_at_ms=started_at_ms,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=False,
        sequence=sequence,
    )


def _view(restored: RunnerEntry) -> FleetView:
    """Returns a view that a restore at 10 s has given a removed runner."""
    view = FleetView(silence_seconds=_SILENCE_SECONDS)
    view.replace_all([_entry(sequence=9)], revision=5, now_seconds=0.0)
    view.apply([], removed=["a"], revision=_BEFORE, now_seconds=5.0)
    view.replace_all(
        [restored], revision=_RESTORED, now_seconds=10.0, restored=True
    )
    return view


def _accepts(view: FleetView) -> bool:
    entry = view.get("a")
    assert entry is not None
    return view.accepts_new_work(entry)


class ReturnedRunnerTest(testtools.TestCase):
    """A runner that is back in the store is not therefore alive."""

    def test_removed_runner_gets_no_work_because_the_copy_holds_it(
        self,
    ) -> None:
        for restored in (
            _entry(sequence=9),
            _entry(sequence=7),
            # Heartbeats raise the number, and watches don't report them.
            _entry(sequence=12),
            _entry(sequence=None),
            _entry(sequence=30, started_at_ms=3),
            _entry(sequence=30, started_at_ms=None),
        ):
            view = _view(restored)
            self.assertFalse(_accepts(view))
            self.assertEqual(["a"], view.unproven)

    def test_later_start_in_the_restored_list_proves_it_alive(self) -> None:
        view = _view(_entry(sequence=1, started_at_ms=6))
        self.assertTrue(_accepts(view))

    def test_heartbeat_after_the_restored_list_proves_it_alive(self) -> None:
        view = _view(_entry(sequence=10))
        self.assertFalse(_accepts(view))
        view.replace_all(
            [_entry(sequence=11)], revision=_RESTORED, now_seconds=10.1
        )
        self.assertTrue(_accepts(view))

    def test_write_of_the_new_era_proves_it_alive(self) -> None:
        view = _view(_entry(sequence=7))
        view.apply(
            [_entry(sequence=8)],
            removed=[],
            revision=_RESTORED + 1,
            now_seconds=10.1,
        )
        self.assertTrue(_accepts(view))

    def test_second_list_proves_it_alive_only_by_a_newer_entry(self) -> None:
        view = _view(_entry(sequence=7))
        for number, (sequence, is_proven) in enumerate(((7, False), (8, True))):
            view.replace_all(
                [_entry(sequence=sequence)],
                revision=_RESTORED + number,
                now_seconds=10.1,
            )
            self.assertEqual(is_proven, _accepts(view))

    def test_it_is_admitted_if_the_store_keeps_it(self) -> None:
        view = _view(_entry(sequence=7))
        generation = view.generation
        self.assertEqual([], view.admit_proven(10.0 + _SILENCE_SECONDS - 0.1))
        self.assertEqual(["a"], view.admit_proven(10.0 + _SILENCE_SECONDS))
        self.assertTrue(_accepts(view))
        self.assertTrue(view.generation > generation)

    def test_second_restore_starts_the_time_again(self) -> None:
        view = _view(_entry(sequence=7))
        view.replace_all(
            [_entry(sequence=6)],
            revision=_RESTORED_AGAIN,
            now_seconds=11.0,
            restored=True,
        )
        self.assertEqual([], view.admit_proven(11.0 + _SILENCE_SECONDS - 0.1))
        self.assertFalse(_accepts(view))
        self.assertEqual(["a"], view.admit_proven(11.0 + _SILENCE_SECONDS))

    def test_removed_again_it_is_not_kept_for_the_grace_period(self) -> None:
        view = _view(_entry(sequence=7))
        view.apply([], removed=["a"], revision=_RESTORED + 9, now_seconds=11.0)
        self.assertEqual([], view.admit_proven(10.0 + _SILENCE_SECONDS))
        self.assertIsNone(view.get("a"))

    def test_removed_again_it_is_forgotten(self) -> None:
        view = _view(_entry(sequence=7))
        view.apply([], removed=["a"], revision=_RESTORED + 9, now_seconds=20.0)
        self.assertIsNone(view.get("a"))
        self.assertEqual([], view.unproven)

    def test_returning_runner_needs_no_proof_without_a_restore(self) -> None:
        view = FleetView()
        view.replace_all([_entry(sequence=9)], revision=5, now_seconds=0.0)
        view.apply([], removed=["a"], revision=6, now_seconds=5.0)
        view.replace_all([_entry(sequence=9)], revision=7, now_seconds=6.0)
        self.assertTrue(_accepts(view))
