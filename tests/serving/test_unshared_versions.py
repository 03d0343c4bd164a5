"""A version that the other routers know and a starting router didn't get."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.serving.collection_sync import CollectionSync
from mulberrypaddle.serving.feed import Feed
from mulberrypaddle.serving.heartbeat import Heartbeat
from mulberrypaddle.serving.store import Collection, Listing
from mulberrypaddle.serving.store_era import make_revision
from mulberrypaddle.serving.supervision import Supervisor
from tests.serving.test_digest import make_heartbeat
from tests.serving.test_feed import _Store
from tests.serving.test_older_configuration import config_item
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port

if TYPE_CHECKING:
    from mulberrypaddle.serving.feed import FeedUpdate

_NAME = Collection.CONFIGURATION.value
_BEFORE = make_revision(285, 1)
_RESTORED = make_revision(263, 2)


class _Router:
    """The configuration feed of a router, with what it has listed.

    Attributes:
        feed: The feed.
        updates: Updates that it reported.
    """

    def __init__(self, *steps: tuple[int, int]) -> None:
        self.updates: list[FeedUpdate] = []
        self.feed = Feed(
            _Store(),
            Collection.CONFIGURATION,
            on_update=self.updates.append,
            watch_pause_seconds=lambda: 0.0,
            watch_timeout_seconds=lambda: 1.5,
            version_of=PlatformDecoder().config_version,
        )
        for version, revision in steps:
            self.list_version(version, revision=revision)

    def list_version(self, version: int, *, revision: int) -> None:
        """Makes the feed list a version."""
        item = config_item(version, revision=revision)
        self.feed.apply_listing(Listing([item], revision=revision))

    @property
    def version(self) -> int | None:
        """Returns the version in the copy."""
        item = self.feed.items.get("main")
        return None if item is None else PlatformDecoder().config_version(item)


async def _receive_heartbeat(
    receiver: _Router, heartbeat: Heartbeat, *, sender: _Router
) -> None:
    """Lets a router fetch what a heartbeat of another one announces."""
    port = free_port()
    server, client = (
        CollectionSync(
            {_NAME: router.feed},
            address=("127.0.0.1", port),
            supervisor=Supervisor(),
        )
        for router in (sender, receiver)
    )
    server.listen()
    client.fetch_if_behind(heartbeat, 100.0)
    for task in list(client._supervisor.tasks):
        await task
    server._server.stop()


class UnsharedVersionTest(testtools.TestCase):
    """Versions are passed on although the revisions say nothing of them."""

    def test_restored_list_does_not_bring_back_an_older_version(self) -> None:
        router = _Router((12, _BEFORE), (11, _RESTORED))
        self.assertEqual(12, router.version)
        self.assertEqual(_RESTORED, router.feed.revision)

    def test_restored_list_without_the_object_does_not_remove_it(self) -> None:
        router = _Router((12, _BEFORE))
        router.feed.apply_listing(Listing([], revision=_RESTORED))
        self.assertEqual(12, router.version)

    def test_written_again_the_version_gets_the_new_revision(self) -> None:
        router = _Router((12, _BEFORE), (11, _RESTORED), (12, _RESTORED + 5))
        self.assertEqual(_RESTORED + 5, router.feed.items["main"].revision)

    def test_message_does_not_bring_back_an_older_version(self) -> None:
        starting = _Router((11, _RESTORED))
        router = _Router((12, _BEFORE))
        self.assertTrue(router.feed.apply_message(starting.feed.to_message(0)))
        self.assertEqual(12, router.version)

    def test_complete_message_hands_over_the_known_version(self) -> None:
        knowing = _Router((12, _BEFORE), (11, _RESTORED))
        member = _Router((11, make_revision(280, 1)))
        message = knowing.feed.to_message(member.feed.revision)
        self.assertTrue(message["whole"])
        self.assertTrue(member.feed.apply_message(message))
        self.assertEqual(12, member.version)

    def test_starting_router_adopts_the_known_version(self) -> None:
        knowing = _Router((12, _BEFORE), (11, _RESTORED))
        starting = _Router((11, _RESTORED))
        message = knowing.feed.to_message(0)
        self.assertFalse(starting.feed.apply_message(message))
        self.assertTrue(starting.feed.adopt_versions(message))
        self.assertEqual(12, starting.version)
        self.assertEqual(12, starting.feed.version)
        self.assertEqual(_RESTORED, starting.feed.revision)
        self.assertEqual(
            ["main"], [i.name for i in starting.updates[-1].changed]
        )
        self.assertFalse(starting.feed.adopt_versions(message))

    def test_starting_router_fetches_the_version_over_http(self) -> None:
        async def scenario(knows: bool) -> int | None:
            knowing = _Router((12, _BEFORE), (11, _RESTORED))
            starting = _Router((11, _RESTORED))
            heartbeat = make_heartbeat(
                "known",
                revisions={_NAME: knowing.feed.changed_revision},
                versions={_NAME: knowing.feed.version} if knows else {},
            )
            await _receive_heartbeat(starting, heartbeat, sender=knowing)
            return starting.version

        self.assertEqual(12, run(scenario(True)))
        # Routers of the release before don't report their versions.
        self.assertEqual(11, run(scenario(False)))

    def test_version_is_known_before_the_first_list(self) -> None:
        async def scenario(listed: int) -> list[int | None]:
            starting = _Router()
            # Since the restore the sender has not reached the store.
            heartbeat = make_heartbeat(
                "known",
                revisions={_NAME: _BEFORE},
                versions={_NAME: 12},
                watches=False,
            )
            await _receive_heartbeat(
                starting, heartbeat, sender=_Router((12, _BEFORE))
            )
            # The store is asked first, and may have a later version.
            self.assertEqual([], starting.updates)
            self.assertEqual(0, starting.feed.revision)
            starting.list_version(listed, revision=_RESTORED)
            return [
                PlatformDecoder().config_version(item)
                for update in starting.updates
                for item in update.changed
            ]

        self.assertEqual([12], run(scenario(11)))
        self.assertEqual([15], run(scenario(15)))

    def test_cached_response_does_not_hide_an_adopted_version(self) -> None:
        async def scenario() -> bool:
            starting = _Router((11, _RESTORED))
            sync = CollectionSync(
                {_NAME: starting.feed},
                address=("127.0.0.1", free_port()),
                supervisor=Supervisor(),
            )
            before = sync.compressed_collection(_NAME, 0)
            knowing = _Router((12, _BEFORE), (11, _RESTORED))
            starting.feed.adopt_versions(knowing.feed.to_message(0))
            return sync.compressed_collection(_NAME, 0) != before

        self.assertTrue(run(scenario()))

    def test_version_is_fetched_only_from_a_router_that_has_a_higher_one(
        self,
    ) -> None:
        async def scenario(
            versions: dict[str, int], revision: int, at_seconds: float
        ) -> int:
            router = _Router((12, _RESTORED))
            sync = CollectionSync(
                {_NAME: router.feed},
                address=("127.0.0.1", free_port()),
                supervisor=Supervisor(),
            )
            fetched: list[str] = []

            async def fetch(name: str, ip: str) -> None:
                fetched.append(ip)
                sync._fetching.discard(name)

            sync._fetch_version = fetch  # type: ignore[method-assign]
            heartbeat = make_heartbeat(
                "other", revisions={_NAME: revision}, versions=versions
            )
            for now_seconds in (100.0, at_seconds):
                sync.fetch_if_behind(heartbeat, now_seconds)
                for task in list(sync._supervisor.tasks):
                    await task
            return len(fetched)

        count = functools.partial(scenario, revision=_BEFORE, at_seconds=100.1)
        self.assertEqual(0, run(count({})))
        self.assertEqual(0, run(count({_NAME: 12})))
        self.assertEqual(1, run(count({_NAME: 13})))
        self.assertEqual(2, run(count({_NAME: 13}, at_seconds=101.0)))
        # The watch, or the fetch by revision, brings it.
        self.assertEqual(0, run(count({_NAME: 13}, revision=_RESTORED + 1)))

    def test_heartbeat_carries_versions_where_earlier_releases_skip_them(
        self,
    ) -> None:
        sent = make_heartbeat("a", versions={_NAME: 12})
        self.assertEqual(
            {_NAME: 12}, Heartbeat.from_bytes(sent.to_bytes()).versions
        )
        self.assertIn(
            b'"changes":{"versions":{"configuration":12}}', sent.to_bytes()
        )
        absent = Heartbeat.from_bytes(make_heartbeat("a").to_bytes())
        self.assertEqual({}, absent.versions)
        self.assertRaises(
            ValueError, make_heartbeat, "a", versions={_NAME: "12"}
        )
