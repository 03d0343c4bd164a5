"""An evacuation that ended because a restored store had lost it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS
from mulberrypaddle.serving.blackboard import Blackboard
from mulberrypaddle.serving.store import Listing, StoredItem
from mulberrypaddle.serving.store_era import make_revision
from tests.serving.test_older_configuration import with_router

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.router import ServingRouter

_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)
_RESTORED_AGAIN = make_revision(250, 3)


class _Evacuations:
    """The evacuations of one router, at times that a test sets.

    Attributes:
        now_seconds: Loop time.
    """

    def __init__(self, router: ServingRouter) -> None:
        self._router = router
        self.now_seconds = 0.0

    def list_names(self, *names: str, revision: int) -> set[str]:
        """Makes the feed list evacuations; returns those in force."""
        items = [
            StoredItem(name, revision=revision, content={}) for name in names
        ]
        self._router._evacuation_feed.apply_listing(
            Listing(items, revision=revision)
        )
        return set(self._router.board.view.evacuated)

    def remove(self, *names: str, revision: int) -> set[str]:
        """Makes the feed report removals; returns those in force."""
        self._router._evacuation_feed._apply(
            [], removed=list(names), revision=revision, complete=False
        )
        return set(self._router.board.view.evacuated)

    def wait_until(self, now_seconds: float) -> set[str]:
        """Does the periodic work at a time; returns those in force."""
        self.now_seconds = now_seconds
        self._router._end_kept_evacuations()
        return set(self._router.board.view.evacuated)


def _play(scenario: Callable[[_Evacuations], Any]) -> Any:
    def play(router: ServingRouter) -> Any:
        evacuations = _Evacuations(router)
        with mock.patch.object(
            Blackboard, "now", lambda _: evacuations.now_seconds
        ):
            return scenario(evacuations)

    return with_router(play)


class LostEvacuationTest(testtools.TestCase):
    """Evacuations through restores of the store."""

    def test_lost_evacuation_stays_in_force_until_it_is_written_again(
        self,
    ) -> None:
        def scenario(evacuations: _Evacuations) -> list[set[str]]:
            return [
                evacuations.list_names("south", revision=_BEFORE),
                evacuations.list_names(revision=_RESTORED),
                evacuations.wait_until(RETURN_GRACE_SECONDS - 0.1),
                evacuations.list_names("south", revision=_RESTORED + 1),
                evacuations.wait_until(RETURN_GRACE_SECONDS + 1),
                evacuations.remove("south", revision=_RESTORED + 2),
            ]

        self.assertEqual([{"south"}] * 5 + [set()], _play(scenario))

    def test_lost_evacuation_ends_if_it_is_not_written_again(self) -> None:
        def scenario(evacuations: _Evacuations) -> list[set[str]]:
            return [
                evacuations.list_names("south", revision=_BEFORE),
                evacuations.list_names("north", revision=_RESTORED),
                evacuations.list_names("north", revision=_RESTORED + 1),
                evacuations.wait_until(RETURN_GRACE_SECONDS),
            ]

        both = {"north", "south"}
        self.assertEqual([{"south"}, both, both, {"north"}], _play(scenario))

    def test_second_restore_keeps_it_for_the_whole_time_again(self) -> None:
        def scenario(evacuations: _Evacuations) -> list[set[str]]:
            states = [
                evacuations.list_names("south", revision=_BEFORE),
                evacuations.list_names(revision=_RESTORED),
                evacuations.wait_until(1.0),
                evacuations.list_names(revision=_RESTORED_AGAIN),
                evacuations.wait_until(RETURN_GRACE_SECONDS + 0.5),
            ]
            states.append(evacuations.wait_until(RETURN_GRACE_SECONDS + 1.0))
            return states

        self.assertEqual([{"south"}] * 5 + [set()], _play(scenario))

    def test_operator_may_end_a_kept_evacuation(self) -> None:
        def scenario(evacuations: _Evacuations) -> set[str]:
            evacuations.list_names("south", revision=_BEFORE)
            evacuations.list_names(revision=_RESTORED)
            evacuations.list_names("south", revision=_RESTORED + 1)
            return evacuations.list_names(revision=_RESTORED + 2)

        self.assertEqual(set(), _play(scenario))

    def test_evacuation_that_the_copy_holds_is_in_force(self) -> None:
        def scenario(evacuations: _Evacuations) -> set[str]:
            evacuations.list_names(revision=_BEFORE)
            return evacuations.list_names("south", revision=_RESTORED)

        self.assertEqual({"south"}, _play(scenario))

    def test_evacuation_ends_at_once_without_a_restore(self) -> None:
        def scenario(evacuations: _Evacuations) -> set[str]:
            evacuations.list_names("south", revision=_BEFORE)
            return evacuations.list_names(revision=_BEFORE + 1)

        self.assertEqual(set(), _play(scenario))
