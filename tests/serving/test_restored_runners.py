"""A draining runner that a restored store made ready again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import testtools

from mulberrypaddle.serving.announcements import record_leaving
from mulberrypaddle.serving.store import Listing, StoredItem
from mulberrypaddle.serving.store_era import make_revision
from tests.serving.test_older_configuration import with_router
from tests.support.odd_entries import RUNNER_FIELDS

if TYPE_CHECKING:
    from mulberrypaddle.serving.router import ServingRouter

_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)


def _list_runner(
    router: ServingRouter, *, revision: int, **fields: Any
) -> None:
    """Makes the runners' feed list one runner."""
    item = StoredItem(
        "a", revision=revision, content={"spec": {**RUNNER_FIELDS, **fields}}
    )
    router._runner_feed.apply_listing(Listing([item], revision=revision))


def _accepts(router: ServingRouter) -> bool:
    entry = router.board.view.get("a")
    assert entry is not None
    return router.board.view.accepts_new_work(entry)


class RestoredRunnerTest(testtools.TestCase):
    """A runner that drains gets no new work although the copy says ready."""

    def test_router_that_knew_it_does_not_use_it(self) -> None:
        def scenario(router: ServingRouter) -> list[bool]:
            accepts = []
            for revision, state, sequence in (
                (_BEFORE - 1, "ready", 4),
                (_BEFORE, "draining", 5),
                (_RESTORED, "ready", 4),
                (_RESTORED + 1, "draining", 6),
            ):
                _list_runner(
                    router, revision=revision, state=state, sequence=sequence
                )
                accepts.append(_accepts(router))
            return accepts

        self.assertEqual([True, False, False, False], with_router(scenario))

    def test_entry_without_a_number_that_drains_is_not_held_back(self) -> None:
        def scenario(router: ServingRouter) -> bool:
            for revision, state in (
                (_BEFORE, "ready"),
                (_RESTORED, "ready"),
                (_RESTORED + 9, "draining"),
            ):
                _list_runner(
                    router, revision=revision, state=state, sequence=None
                )
            return _accepts(router)

        self.assertFalse(with_router(scenario))

    def test_starting_router_learns_it_from_the_others(self) -> None:
        def scenario(router: ServingRouter) -> list[dict[str, Any]]:
            reports = []
            for revision, state, sequence in (
                (_BEFORE, "draining", 5),
                (_RESTORED, "ready", 4),
                (_RESTORED + 1, "draining", 6),
            ):
                _list_runner(
                    router, revision=revision, state=state, sequence=sequence
                )
                reports.append(router.board.view.leaving_to_report(9))
            return reports

        def starting(router: ServingRouter) -> bool:
            _list_runner(router, revision=_RESTORED, state="ready", sequence=4)
            record_leaving(
                router.board, ("a", RUNNER_FIELDS["born"]), source="router"
            )
            return _accepts(router)

        self.assertEqual(
            [{}, {"a": RUNNER_FIELDS["born"]}, {}], with_router(scenario)
        )
        self.assertFalse(with_router(starting))

    def test_late_entry_is_taken_only_once_no_newer_one_follows(self) -> None:
        # Guards against entries that are held back for good.
        def scenario(router: ServingRouter) -> list[tuple[bool, int]]:
            states = []
            view = router.board.view
            _list_runner(router, revision=9, state="draining", sequence=5)
            _list_runner(router, revision=10, state="ready", sequence=4)
            for silence_seconds in (60.0, 0.0):
                view.silence_seconds = silence_seconds
                router._remove_expired_runners()
                states.append((_accepts(router), len(view.outdated)))
            return states

        self.assertEqual([(False, 1), (True, 0)], with_router(scenario))
