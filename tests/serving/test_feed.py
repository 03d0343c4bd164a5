"""A collection stays current, whatever the store does."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import testtools
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.serving.feed import Feed, Update
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    ObjectStore,
    StoredItem,
)
from tests.support.asynchronous import run


def _item(name: str, revision: int) -> StoredItem:
    return StoredItem(name, revision=revision, content={"at": revision})


class _Store(ObjectStore):
    """Answers lists and watches as a test sets them."""

    def __init__(self) -> None:
        self.listing = Listing([_item("a", 1)], revision=1)
        self.watches: list[Changes | Exception | Problem] = []
        self.lists = 0
        self.waits: list[float] = []

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        self.lists += 1
        return Success(self.listing)

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        self.waits.append(wait_seconds)
        if not self.watches:
            await asyncio.sleep(3600)
        answer = self.watches.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, Problem):
            return Failure(answer)
        return Success(answer)

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        raise NotImplementedError

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        raise NotImplementedError

    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        raise NotImplementedError

    def value_of(self, item: StoredItem) -> Any:
        raise NotImplementedError


class _Watched:
    def __init__(self, store: _Store) -> None:
        self.updates: list[Update] = []
        self.resting = False
        self.feed = Feed(
            store,
            Collection.RUNNERS,
            on_update=self.updates.append,
            watch_pause_seconds=lambda: 0.0,
            watch_timeout_seconds=lambda: 1.5,
            peer_watches=lambda: self.resting,
        )

    async def play(self, seconds: float = 0.05) -> None:
        task = asyncio.ensure_future(self.feed.run())
        await asyncio.sleep(seconds)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _play(store: _Store, *, seconds: float = 0.05) -> _Watched:
    watched = _Watched(store)
    await watched.play(seconds)
    return watched


class FeedTest(testtools.TestCase):
    """Lists, watches, outages and other routers."""

    def test_changes_follow_the_list(self) -> None:
        store = _Store()
        store.watches = [Changes([_item("b", 2)], removed=["a"], revision=2)]
        watched = run(_play(store))
        self.assertEqual(["b"], list(watched.feed.items))
        self.assertEqual(2, watched.feed.changed_revision)

    def test_lost_history_is_listed_again(self) -> None:
        store = _Store()
        store.watches = [HistoryGoneError("gone")]
        store.listing = Listing([_item("c", 9)], revision=9)
        watched = run(_play(store))
        self.assertEqual(2, store.lists)
        self.assertEqual(9, watched.feed.revision)

    def test_list_goes_before_a_watch_that_waits(self) -> None:
        # The history of another collection is gone: this one's watch may
        # have missed changes and would say so only when its wait is over.
        store = _Store()

        async def play() -> _Watched:
            watched = _Watched(store)
            task = asyncio.ensure_future(watched.play(0.1))
            await asyncio.sleep(0.05)
            store.listing = Listing([_item("c", 9)], revision=9)
            watched.feed.request_list()
            await task
            return watched

        watched = run(play())
        self.assertEqual(9, watched.feed.revision)
        self.assertEqual(2, store.lists)

    def test_feed_is_not_current_until_it_was_listed_again(self) -> None:
        # A new owner, whose watch hangs since before an outage.
        store = _Store()

        async def play() -> list[bool]:
            watched = _Watched(store)
            task = asyncio.ensure_future(watched.play(0.1))
            seen = [watched.feed.is_current]
            await asyncio.sleep(0.05)
            seen.append(watched.feed.is_current)
            watched.feed.request_list()
            seen.append(watched.feed.is_current)
            await task
            seen.append(watched.feed.is_current)
            return seen

        self.assertEqual([False, True, False, True], run(play()))

    def test_stale_list_takes_nothing_back(self) -> None:
        store = _Store()
        store.watches = [
            Changes([_item("a", 5)], removed=[], revision=5),
            HistoryGoneError("gone"),
        ]
        watched = run(_play(store))
        self.assertEqual(5, watched.feed.revision)
        self.assertEqual(5, watched.feed.items["a"].revision)

    def test_each_watch_ends_after_its_wait(self) -> None:
        # The store may go silent on a watch and let changes pass unheard.
        store = _Store()
        run(_play(store))
        self.assertEqual([1.5], store.waits)

    def test_outage_is_told_with_the_next_update(self) -> None:
        store = _Store()
        store.watches = [
            Problem(ErrorKind.STORE_UNAVAILABLE, "down"),
            Changes([_item("a", 3)], removed=[], revision=3),
        ]
        watched = run(_play(store, seconds=0.6))
        self.assertEqual(
            [False, True],
            [update.after_outage for update in watched.updates],
        )

    def test_resting_feed_does_not_call_the_store(self) -> None:
        async def scenario() -> int:
            store = _Store()
            watched = _Watched(store)
            watched.resting = True
            await watched.play()
            return len(store.waits)

        self.assertEqual(0, run(scenario()))


class MessageTest(testtools.TestCase):
    """What one router tells another of a collection."""

    def _pair(self) -> tuple[Feed, Feed]:
        return _Watched(_Store()).feed, _Watched(_Store()).feed

    def test_only_what_changed_is_told(self) -> None:
        first, second = self._pair()
        first.take_listing(Listing([_item("a", 1), _item("b", 2)], revision=2))
        second.take_message(first.to_message(0))
        first.take_message(
            {
                "revision": 4,
                "since": 2,
                "after_outage": False,
                "whole": False,
                "removed": ["a"],
                "items": [{"name": "c", "revision": 4, "content": None}],
            }
        )
        message = first.to_message(second.revision)
        self.assertFalse(message["whole"])
        self.assertEqual(["c"], [item["name"] for item in message["items"]])
        self.assertTrue(second.take_message(message))
        self.assertEqual(["b", "c"], sorted(second.items))

    def test_follower_hears_that_the_store_was_away(self) -> None:
        async def scenario() -> list[bool]:
            store = _Store()
            store.watches = [
                Problem(ErrorKind.STORE_UNAVAILABLE, "down"),
                Changes([], removed=["a"], revision=3),
            ]
            watched = await _play(store, seconds=0.6)
            follower = _Watched(_Store())
            follower.feed.take_listing(Listing([_item("a", 1)], revision=1))
            # Entries lapsed meanwhile and may come back.
            follower.feed.take_message(watched.feed.to_message(1))
            return [update.after_outage for update in follower.updates]

        self.assertEqual([False, True], run(scenario()))

    def test_older_message_is_not_taken(self) -> None:
        first, second = self._pair()
        first.take_listing(Listing([_item("a", 1)], revision=1))
        second.take_listing(Listing([_item("a", 5)], revision=5))
        self.assertFalse(second.take_message(first.to_message(0)))
        self.assertEqual(5, second.items["a"].revision)

    def test_revision_before_the_last_list_gets_the_whole(self) -> None:
        first, _ = self._pair()
        first.take_listing(Listing([_item("a", 8)], revision=8))
        self.assertTrue(first.to_message(3)["whole"])
