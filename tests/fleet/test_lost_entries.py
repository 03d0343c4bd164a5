"""Runners whose entries a restored store has lost."""

from __future__ import annotations

import testtools

from mulberrypaddle.fleet import FleetView, RunnerEntry
from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS
from mulberrypaddle.serving.store_era import make_revision

_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)
_RESTORED_AGAIN = make_revision(250, 3)


def _entry(runner_id: str) -> RunnerEntry:
    return RunnerEntry(
        runner_id,
        started_at_ms=1,
        service="cards",
        address="127.0.0.1:1",
        data_centre="south",
        slots=9,
        draining=False,
    )


def _restored_view(*, now_seconds: float = 10.0) -> FleetView:
    """Returns a view of `a` and `b` after a restore that lost `a`."""
    view = FleetView()
    view.replace_all(
        [_entry("a"), _entry("b")], revision=_BEFORE, now_seconds=0.0
    )
    view.replace_all(
        [_entry("b")],
        revision=_RESTORED,
        now_seconds=now_seconds,
        restored=True,
    )
    return view


class LostEntryTest(testtools.TestCase):
    """An entry that the copy lacks is not removed before its runner's turn."""

    def test_lost_runner_is_kept_for_the_grace_period(self) -> None:
        view = _restored_view()
        entry = view.get("a")
        assert entry is not None
        self.assertTrue(view.accepts_new_work(entry))
        view.remove_expired(10.0 + RETURN_GRACE_SECONDS - 0.1)
        self.assertIsNotNone(view.get("a"))
        self.assertEqual(
            ["a"], view.remove_expired(10.0 + RETURN_GRACE_SECONDS)
        )

    def test_runner_that_writes_again_stays(self) -> None:
        view = _restored_view()
        view.apply(
            [_entry("a")], removed=[], revision=_RESTORED + 1, now_seconds=11.0
        )
        self.assertEqual([], view.remove_expired(20.0))
        self.assertIsNotNone(view.get("a"))

    def test_grace_period_of_an_outage_is_extended_by_a_restore(self) -> None:
        # Other routers' messages come during the outage that ends with it.
        view = FleetView()
        view.replace_all([_entry("a")], revision=_BEFORE, now_seconds=0.0)
        view.start_grace_period(8.5)
        view.replace_all(
            [], revision=_RESTORED, now_seconds=10.0, restored=True
        )
        view.start_grace_period(10.0)
        view.remove_expired(8.5 + RETURN_GRACE_SECONDS)
        self.assertIsNotNone(view.get("a"))

    def test_second_restore_gives_the_runners_time_again(self) -> None:
        view = _restored_view()
        view.replace_all(
            [], revision=_RESTORED_AGAIN, now_seconds=11.0, restored=True
        )
        self.assertEqual([], view.remove_expired(10.0 + RETURN_GRACE_SECONDS))
        self.assertEqual(
            ["a", "b"], sorted(view.remove_expired(11.0 + RETURN_GRACE_SECONDS))
        )

    def test_entries_that_become_unknown_later_are_removed_at_once(
        self,
    ) -> None:
        view = _restored_view()
        view.apply(
            [],
            removed=["b"],
            revision=_RESTORED + 1,
            now_seconds=10.1 + RETURN_GRACE_SECONDS,
        )
        self.assertIsNone(view.get("b"))
