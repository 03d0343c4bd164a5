"""Collections that routers fetch from one another."""

from __future__ import annotations

import asyncio
import json

import testtools
import tornado.httpclient

from mulberrypaddle.serving.collection_sync import MAX_CACHED_RESPONSES
from mulberrypaddle.serving.peer_exchange import PeerExchange
from mulberrypaddle.serving.store import Collection, Listing, StoredItem
from tests.serving.test_feed import _FeedHarness, _Store
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness


class FetchTest(testtools.TestCase):
    """Responses to other routers."""

    def test_many_routes_are_sent_compressed_and_read_completely(self) -> None:
        routes = [
            {"host": "shop.example", "pathPrefix": f"/route-{number}/"}
            for number in range(1_500)
        ]
        item = StoredItem("main", revision=7, content={"routes": routes})

        async def scenario() -> tuple[int, int, list[str]]:
            path = FrontEndHarness()
            source = _FeedHarness(_Store())
            source.feed.apply_listing(Listing([item], revision=7))
            peers = PeerExchange(path.board, [source.feed])
            name = Collection.RUNNERS.value
            compressed_bytes = len(
                peers.collection_sync.compressed_collection(name, 0)
            )
            await peers.start()
            settings = path.board.settings
            response = await tornado.httpclient.AsyncHTTPClient().fetch(
                f"http://{settings.ip}:{settings.peer_port}/{name}?since=0"
            )
            receiver = _FeedHarness(_Store())
            message = json.loads(response.body)
            receiver.feed.apply_message(message)
            path.close()
            return (
                compressed_bytes,
                len(json.dumps(message)),
                list(receiver.feed.items),
            )

        compressed_bytes, plain_bytes, names = run(scenario())
        self.assertEqual(["main"], names)
        self.assertLess(compressed_bytes * 5, plain_bytes)

    def test_cached_responses_stay_bounded(self) -> None:
        async def scenario() -> int:
            path = FrontEndHarness()
            source = _FeedHarness(_Store())
            peers = PeerExchange(path.board, [source.feed])
            for revision in range(1, 50):
                source.feed.apply_listing(Listing([], revision=revision))
                peers.collection_sync.compressed_collection(
                    Collection.RUNNERS.value, 0
                )
            await asyncio.sleep(0)
            path.close()
            return len(peers.collection_sync.cached_responses)

        self.assertEqual(MAX_CACHED_RESPONSES, run(scenario()))
