"""A feed keeps its copy current through store faults and router messages."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import testtools
from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.serving.feed import Feed, FeedUpdate
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    ObjectStore,
    StoredItem,
)
from mulberrypaddle.serving.store_era import make_revision
from tests.support.asynchronous import run


def _item(name: str, revision: int) -> StoredItem:
    return StoredItem(name, revision=revision, content={"at": revision})


class _Store(ObjectStore):
    """A store whose answers to lists and watches a test sets.

    Attributes:
        listing: Answer to each list.
        watches: Answers to the next watches; when empty, a watch hangs.
        lists: Number of lists so far.
        watch_timeouts: Wait in seconds that each watch so far was given.
        answer_seconds: Time after which a watch is answered.
    """

    def __init__(self) -> None:
        self.listing = Listing([_item("a", 1)], revision=1)
        self.watches: list[Changes | Exception | Problem] = []
        self.lists = 0
        self.watch_timeouts: list[float] = []
        self.answer_seconds = 0.0

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        self.lists += 1
        return Success(self.listing)

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        self.watch_timeouts.append(wait_seconds)
        if not self.watches:
            await asyncio.sleep(3600)
        answer = self.watches.pop(0)
        await asyncio.sleep(self.answer_seconds)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, Problem):
            return Failure(answer)
        return Success(answer)

    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
    ) -> Result[Changes, Problem]:
        return Success(Changes([], removed=[], revision=revision))

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


class _FeedHarness:
    """A feed with the updates that it has reported."""

    def __init__(self, store: _Store) -> None:
        self.updates: list[FeedUpdate] = []
        self.peer_watches = False
        self.feed = Feed(
            store,
            Collection.RUNNERS,
            on_update=self.updates.append,
            watch_pause_seconds=lambda: 0.0,
            watch_timeout_seconds=lambda: 1.5,
            peer_watches=lambda: self.peer_watches,
        )

    async def run_for(self, seconds: float = 0.05) -> None:
        task = asyncio.ensure_future(self.feed.run())
        await asyncio.sleep(seconds)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _run_feed(store: _Store, *, seconds: float = 0.05) -> _FeedHarness:
    harness = _FeedHarness(store)
    await harness.run_for(seconds)
    return harness


class FeedTest(testtools.TestCase):
    """Lists, watches, outages and a feed that another router watches for."""

    def test_applies_watched_changes_after_the_list(self) -> None:
        store = _Store()
        store.watches = [Changes([_item("b", 2)], removed=["a"], revision=2)]
        harness = run(_run_feed(store))
        self.assertEqual(["b"], list(harness.feed.items))
        self.assertEqual(2, harness.feed.changed_revision)

    def test_lists_again_when_the_history_is_gone(self) -> None:
        store = _Store()
        store.watches = [HistoryGoneError("gone")]
        store.listing = Listing([_item("c", 9)], revision=9)
        harness = run(_run_feed(store))
        self.assertEqual(2, store.lists)
        self.assertEqual(9, harness.feed.revision)

    def test_pauses_if_the_history_is_gone_again_after_each_list(self) -> None:
        # The list is dropped as older than the copy, or is as old as it.
        for revision in (1, 9, 12):
            store = _Store()
            store.watches = [HistoryGoneError("gone") for _ in range(1000)]
            store.listing = Listing([_item("c", revision)], revision=revision)
            harness = _FeedHarness(store)
            harness.feed.apply_listing(Listing([_item("a", 9)], revision=9))
            run(harness.run_for(0.75))
            # At 0, 0, 0.2 and 0.6 seconds, and one at the start.
            self.assertIn(store.lists, (3, 4, 5), str(revision))
            self.assertIn(len(store.watch_timeouts), (3, 4), str(revision))

    def test_lists_at_once_when_the_history_is_gone_later_on(self) -> None:
        store = _Store()
        for revision in range(2, 12):
            store.watches += [
                HistoryGoneError("gone"),
                Changes([], removed=[], revision=revision),
            ]
        harness = run(_run_feed(store, seconds=0.2))
        self.assertEqual(11, harness.feed.revision)

    def test_requested_list_does_not_wait_for_a_pending_watch(self) -> None:
        # The history of another collection is gone. This one's watch may have
        # missed changes too, but would only report that after its timeout.
        store = _Store()

        async def scenario() -> _FeedHarness:
            harness = _FeedHarness(store)
            task = asyncio.ensure_future(harness.run_for(0.1))
            await asyncio.sleep(0.05)
            store.listing = Listing([_item("c", 9)], revision=9)
            harness.feed.request_list()
            await task
            return harness

        harness = run(scenario())
        self.assertEqual(9, harness.feed.revision)
        self.assertEqual(2, store.lists)

    def test_is_not_current_until_a_requested_list_is_done(self) -> None:
        # A router that acquires a duty may have a watch that hangs since before
        # an outage, so it requests a list.
        store = _Store()

        async def scenario() -> list[bool]:
            harness = _FeedHarness(store)
            task = asyncio.ensure_future(harness.run_for(0.1))
            seen = [harness.feed.is_current]
            await asyncio.sleep(0.05)
            seen.append(harness.feed.is_current)
            harness.feed.request_list()
            seen.append(harness.feed.is_current)
            await task
            seen.append(harness.feed.is_current)
            return seen

        self.assertEqual([False, True, False, True], run(scenario()))

    def test_ignores_a_list_older_than_its_revision(self) -> None:
        store = _Store()
        store.watches = [
            Changes([_item("a", 5)], removed=[], revision=5),
            HistoryGoneError("gone"),
        ]
        harness = run(_run_feed(store))
        self.assertEqual(5, harness.feed.revision)
        self.assertEqual(5, harness.feed.items["a"].revision)

    def test_passes_the_timeout_to_each_watch(self) -> None:
        # The store may stop reporting on a watch, so that changes are missed
        # until the watch ends.
        store = _Store()
        run(_run_feed(store))
        self.assertEqual([1.5], store.watch_timeouts)

    def test_update_after_an_outage_is_marked(self) -> None:
        store = _Store()
        store.watches = [
            Problem(ErrorKind.STORE_UNAVAILABLE, "down"),
            Changes([_item("a", 3)], removed=[], revision=3),
        ]
        harness = run(_run_feed(store, seconds=0.6))
        self.assertEqual(
            [False, True],
            [update.after_outage for update in harness.updates],
        )

    def test_update_after_a_restore_is_marked(self) -> None:
        harness = _FeedHarness(_Store())
        for revision, is_restored in (
            (make_revision(9, 1), False),
            (make_revision(5, 2), True),
            (make_revision(6, 2), False),
            (make_revision(3, 4), True),
        ):
            harness.feed.apply_listing(Listing([], revision=revision))
            self.assertEqual(is_restored, harness.updates[-1].restored)

    def test_starts_no_watch_while_another_router_watches(self) -> None:
        async def scenario() -> int:
            store = _Store()
            harness = _FeedHarness(store)
            harness.peer_watches = True
            await harness.run_for()
            return len(store.watch_timeouts)

        self.assertEqual(0, run(scenario()))


class MessageTest(testtools.TestCase):
    """Messages by which routers update one another's copies."""

    def _pair(self) -> tuple[Feed, Feed]:
        return _FeedHarness(_Store()).feed, _FeedHarness(_Store()).feed

    def test_message_holds_only_the_changes_since_a_revision(self) -> None:
        first, second = self._pair()
        first.apply_listing(Listing([_item("a", 1), _item("b", 2)], revision=2))
        second.apply_message(first.to_message(0))
        first.apply_message(
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
        self.assertTrue(second.apply_message(message))
        self.assertEqual(["b", "c"], sorted(second.items))

    def test_message_reports_a_recent_outage_of_the_store(self) -> None:
        async def scenario() -> list[bool]:
            store = _Store()
            store.watches = [
                Problem(ErrorKind.STORE_UNAVAILABLE, "down"),
                Changes([], removed=["a"], revision=3),
            ]
            harness = await _run_feed(store, seconds=0.6)
            follower = _FeedHarness(_Store())
            follower.feed.apply_listing(Listing([_item("a", 1)], revision=1))
            # Entries that expired during the outage may come back.
            follower.feed.apply_message(harness.feed.to_message(1))
            return [update.after_outage for update in follower.updates]

        self.assertEqual([False, True], run(scenario()))

    def test_ignores_a_message_older_than_its_revision(self) -> None:
        first, second = self._pair()
        first.apply_listing(Listing([_item("a", 1)], revision=1))
        second.apply_listing(Listing([_item("a", 5)], revision=5))
        self.assertFalse(second.apply_message(first.to_message(0)))
        self.assertEqual(5, second.items["a"].revision)

    def test_message_is_complete_for_a_revision_before_the_last_list(
        self,
    ) -> None:
        first, _ = self._pair()
        first.apply_listing(Listing([_item("a", 8)], revision=8))
        self.assertTrue(first.to_message(3)["whole"])
