"""Copies of collections that mixed states from before and after a restore."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import testtools
from returns.result import Success

from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving.change_tracker import ChangeTracker
from mulberrypaddle.serving.collection_sync import (
    FETCH_LAG_SECONDS,
    CollectionSync,
)
from mulberrypaddle.serving.feed import Feed, FeedUpdate
from mulberrypaddle.serving.store import Changes, Collection, Listing
from mulberrypaddle.serving.store_era import era_of, make_revision
from mulberrypaddle.serving.supervision import Supervisor
from tests.serving.test_digest import make_heartbeat
from tests.serving.test_feed import _FeedHarness, _item, _Store
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port
from tests.support.simulated_deployment import Store

_NAME = Collection.RUNNERS.value
_BEFORE = make_revision(291, 1)
_RESTORED = make_revision(263, 2)
_RESTORED_AGAIN = make_revision(250, 3)


def _listed(*steps: tuple[int, str]) -> _FeedHarness:
    """Returns a feed that listed names, one letter each, at revisions."""
    harness = _FeedHarness(_Store())
    for revision, names in steps:
        harness.feed.apply_listing(
            Listing(
                [_item(name, revision) for name in names], revision=revision
            )
        )
    return harness


class EraTest(testtools.TestCase):
    """A copy is of one era, and follows the eras in their order."""

    def test_message_after_a_restore_is_complete(self) -> None:
        sender = _listed((_BEFORE, "ab"), (_RESTORED, "b"))
        receiver = _listed((_BEFORE + 5, "abc"))
        message = sender.feed.to_message(receiver.feed.revision)
        self.assertTrue(message["whole"])
        self.assertTrue(receiver.feed.apply_message(message))
        self.assertEqual(["b"], list(receiver.feed.items))
        self.assertTrue(receiver.updates[-1].restored)

    def test_message_of_a_router_that_got_the_new_era_by_one_is_complete(
        self,
    ) -> None:
        sender = _listed((_BEFORE, "ab"))
        sender.feed.apply_message(_listed((_RESTORED, "b")).feed.to_message(0))
        self.assertTrue(sender.feed.to_message(_BEFORE)["whole"])

    def test_changes_across_a_restore_are_refused(self) -> None:
        receiver = _listed((_BEFORE, "ab"))
        message = {
            **_listed((_RESTORED, "b")).feed.to_message(0),
            "whole": False,
            "since": _BEFORE,
        }
        self.assertFalse(receiver.feed.apply_message(message))
        self.assertEqual(_BEFORE, receiver.feed.revision)

    def test_late_answers_of_the_era_before_change_nothing(self) -> None:
        harness = _listed((_RESTORED, "b"))
        late = _listed((_BEFORE, "abc")).feed
        self.assertFalse(harness.feed.apply_message(late.to_message(0)))
        self.assertFalse(
            harness.feed.apply_listing(
                Listing([_item("a", _BEFORE)], revision=_BEFORE)
            )
        )
        harness.feed._apply_watch_result(
            Success(Changes([], removed=["b"], revision=_BEFORE + 1))
        )
        self.assertEqual(["b"], list(harness.feed.items))
        self.assertEqual(_RESTORED, harness.feed.revision)
        self.assertEqual(1, len(harness.updates))

    def test_watch_of_the_era_before_ends_after_a_message_of_the_new_one(
        self,
    ) -> None:
        store = _Store()
        store.listing = Listing([_item("a", _BEFORE)], revision=_BEFORE)
        store.watches = [
            Changes([_item("c", _BEFORE + 1)], removed=[], revision=_BEFORE + 1)
        ]
        harness = _FeedHarness(store)
        watch = store.watch

        async def watch_slowly(*args: Any, **fields: Any) -> Any:
            await asyncio.sleep(0.05)
            return await watch(*args, **fields)

        store.watch = watch_slowly  # type: ignore[method-assign]

        async def scenario() -> None:
            task = asyncio.ensure_future(harness.run_for(0.2))
            await asyncio.sleep(0.02)
            message = _listed((_RESTORED, "b")).feed.to_message(0)
            self.assertTrue(harness.feed.apply_message(message))
            await task

        run(scenario())
        self.assertEqual(["b"], list(harness.feed.items))

    def test_two_restores_in_a_row_are_followed(self) -> None:
        harness = _listed(
            (_BEFORE, "abc"), (_RESTORED, "ab"), (_RESTORED_AGAIN, "a")
        )
        self.assertEqual(["a"], list(harness.feed.items))
        self.assertEqual(_RESTORED_AGAIN, harness.feed.changed_revision)
        self.assertEqual([False, True, True], _restored(harness))
        # A router that missed the first of them.
        other = _listed((_BEFORE, "abc"))
        self.assertTrue(
            other.feed.apply_message(harness.feed.to_message(_BEFORE))
        )
        self.assertEqual(["a"], list(other.feed.items))
        self.assertEqual([False, True], _restored(other))


class RelayTest(testtools.TestCase):
    """Passive feeds, which relays update."""

    def _tracker(self, harness: _FeedHarness) -> ChangeTracker:
        return ChangeTracker({_NAME: harness.feed})

    def _passive(self) -> _FeedHarness:
        member = _listed((_BEFORE, "abc"))
        member.peer_watches = True
        member.feed._must_list = False
        return member

    def test_digest_after_a_restore_brings_the_whole_collection(self) -> None:
        relay = _listed((_BEFORE, "abc"))
        sent = self._tracker(relay)
        sent.changes_since_last_digest()
        relay.feed.apply_listing(
            Listing([_item("b", _RESTORED)], revision=_RESTORED)
        )
        changes = sent.changes_since_last_digest()
        self.assertTrue(changes[_NAME]["whole"])
        member = self._passive()
        self._tracker(member).apply(changes)
        self.assertEqual(["b"], list(member.feed.items))
        self.assertTrue(member.updates[-1].restored)

    def test_member_that_missed_that_digest_fetches_the_collection(
        self,
    ) -> None:
        relay = _listed((_BEFORE, "abc"), (_RESTORED, "b"))
        sent = self._tracker(relay)
        sent.changes_since_last_digest()
        relay.feed._apply(
            [_item("d", _RESTORED + 1)],
            removed=[],
            revision=_RESTORED + 1,
            complete=False,
        )
        member = self._passive()
        self._tracker(member).apply(sent.changes_since_last_digest())
        self.assertEqual(_BEFORE, member.feed.revision)
        self.assertEqual(["b", "d"], run(_fetched(relay, member)))

    def test_router_that_sees_the_new_era_late_fetches_it_from_another(
        self,
    ) -> None:
        # It watches the store itself, which has not told it of the restore.
        other = _listed((_BEFORE, "abc"), (_RESTORED, "b"))
        late = _listed((_BEFORE + 5, "abcd"))
        late.feed.connected = True
        late.feed._must_list = False
        self.assertEqual(["b"], run(_fetched(other, late)))
        # The other one does not go back to its copy meanwhile.
        behind = _listed((_BEFORE + 5, "abcd"))
        self.assertEqual(["b"], run(_fetched(behind, other)))


def _restored(harness: _FeedHarness) -> list[bool]:
    return [update.restored for update in harness.updates]


async def _fetched(source: _FeedHarness, receiver: _FeedHarness) -> list[str]:
    """Returns a router's objects after a heartbeat of another one."""
    port = free_port()
    server, client = (
        CollectionSync(
            {_NAME: harness.feed},
            address=("127.0.0.1", port),
            supervisor=Supervisor(),
        )
        for harness in (source, receiver)
    )
    server.listen()
    heartbeat = make_heartbeat(
        "other", revisions={_NAME: source.feed.changed_revision}, watches=True
    )
    for now_seconds in (100.0, 100.0 + FETCH_LAG_SECONDS):
        client.fetch_if_behind(heartbeat, now_seconds)
        for task in list(client._supervisor.tasks):
            await task
    server._server.stop()
    return sorted(receiver.feed.items)


class RestoredConfigurationTest(testtools.TestCase):
    """The configuration feed and a store that is restored under it."""

    def test_versions_that_the_store_serves_through_two_restores(self) -> None:
        updates: list[FeedUpdate] = []
        decoder = PlatformDecoder()

        async def scenario() -> None:
            address = ("127.0.0.1", free_port())
            store = Store(address)
            feed = Feed(
                PlatformStore(f"{address[0]}:{address[1]}"),
                Collection.CONFIGURATION,
                on_update=updates.append,
                watch_pause_seconds=lambda: 0.02,
                watch_timeout_seconds=lambda: 0.2,
                version_of=decoder.config_version,
            )
            task = asyncio.ensure_future(feed.run())
            try:
                store.put("config", "main", _config(11))
                copied = store.make_copy()
                store.put("config", "main", _config(12))
                await _wait_for(lambda: feed.version == 12)
                for era in (2, 3):
                    store.restore(copied)
                    await _wait_for(lambda e=era: era_of(feed.revision) == e)
                store.put("config", "main", _config(12))
                store.put("config", "main", _config(13))
                await _wait_for(lambda: feed.version == 13)
            finally:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                store.close()

        run(scenario())
        versions = [
            decoder.config_version(item) or 0
            for update in updates
            for item in update.changed
        ]
        self.assertEqual([12, 13], sorted(set(versions) - {11}))
        self.assertEqual(sorted(versions), versions)
        self.assertEqual(2, sum(update.restored for update in updates))


def _config(version: int) -> dict[str, Any]:
    """Returns a valid configuration without routes."""
    return {"version": version, "routes": [], "services": []}


async def _wait_for(condition: Any) -> None:
    """Waits until a condition holds; fails after some seconds."""
    for _ in range(250):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition did not come to hold")
