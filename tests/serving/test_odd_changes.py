"""Changes of collections that no sound router sends."""

from __future__ import annotations

from typing import Any

import testtools

from mulberrypaddle.serving.change_tracker import ChangeTracker
from mulberrypaddle.serving.store import Listing, StoredItem
from tests.serving.test_feed import _FeedHarness, _Store
from tests.support.asynchronous import run

_HUGE = 10**400


class OddChangesTest(testtools.TestCase):
    """Changes that another router sends of a collection."""

    def test_odd_changes_leave_the_copy_as_it_is(self) -> None:
        item = {"name": "a", "revision": 5, "content": None}
        sound = {
            "revision": 5,
            "since": 1,
            "after_outage": False,
            "whole": False,
            "removed": [],
            "items": [item],
        }
        odd: tuple[Any, ...] = (
            None,
            [],
            "text",
            {**sound, "revision": float("inf")},
            {**sound, "revision": float("nan")},
            {**sound, "revision": _HUGE},
            {**sound, "revision": True},
            {**sound, "since": float("inf")},
            {**sound, "items": 3},
            {**sound, "items": [None]},
            {**sound, "items": [{**item, "revision": float("inf")}]},
            {**sound, "items": [{**item, "name": "\ud800"}]},
            {**sound, "removed": [{}]},
            {**sound, "removed": 3},
        )

        async def scenario() -> list[int]:
            harness = _FeedHarness(_Store())
            feed = harness.feed
            feed.apply_listing(
                Listing([StoredItem("a", revision=1, content={})], revision=1)
            )
            feed._must_list = False
            feed._peer_watches = lambda: True
            tracker = ChangeTracker({"runners": feed})
            revisions = []
            for message in odd:
                tracker.apply({"runners": message})
                revisions.append(feed.revision)
            tracker.apply({"runners": sound})
            revisions.append(feed.revision)
            return revisions

        self.assertEqual([1] * len(odd) + [5], run(scenario()))
