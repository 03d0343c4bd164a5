"""From which routers a collection is fetched after a start."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.collection_sync import CollectionSync
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.supervision import Supervisor
from tests.serving.test_digest import make_heartbeat
from tests.serving.test_feed import _FeedHarness, _Store
from tests.support.asynchronous import run
from tests.support.front_end_harness import free_port

NAME = Collection.RUNNERS.value


class StartTest(testtools.TestCase):
    """A process that holds no revision of a collection yet."""

    def _fetches(self, *, watches: bool, store_fails: bool) -> bool:
        async def scenario() -> bool:
            feed = _FeedHarness(_Store()).feed
            if store_fails:
                feed._failures = 1
            collection_sync = CollectionSync(
                {NAME: feed},
                address=("127.0.0.1", free_port()),
                supervisor=Supervisor(),
            )
            fetched: list[str] = []

            async def fetch(name: str, ip: str) -> None:
                fetched.append(ip)

            collection_sync._fetch = fetch  # type: ignore[method-assign]
            heartbeat = make_heartbeat(
                "old", revisions={NAME: 7}, watches=watches
            )
            collection_sync.fetch_if_behind(heartbeat, 100.0)
            for task in list(collection_sync._supervisor.tasks):
                await task
            return bool(fetched)

        return run(scenario())

    def test_does_not_fetch_from_router_without_store(self) -> None:
        self.assertFalse(self._fetches(watches=False, store_fails=False))

    def test_fetches_from_router_that_watches_the_store(self) -> None:
        self.assertTrue(self._fetches(watches=True, store_fails=False))

    def test_fetches_from_any_router_while_the_store_fails(self) -> None:
        self.assertTrue(self._fetches(watches=False, store_fails=True))
