"""Collections that routers fetch from one another."""

from __future__ import annotations

import asyncio
import json

import testtools
import tornado.httpclient

from mulberrypaddle.serving.catch_up import MOST_PACKED
from mulberrypaddle.serving.peers import Peers
from mulberrypaddle.serving.store import Collection, Listing, StoredItem
from tests.serving.test_feed import _Store, _Watched
from tests.support.asynchronous import run
from tests.support.serving_path import ServingPath


class FetchTest(testtools.TestCase):
    """What a router hands to others."""

    def test_many_routes_are_sent_compressed_and_read_whole(self) -> None:
        routes = [
            {"host": "shop.example", "pathPrefix": f"/route-{number}/"}
            for number in range(1_500)
        ]
        item = StoredItem("main", revision=7, content={"routes": routes})

        async def scenario() -> tuple[int, int, list[str]]:
            path = ServingPath()
            source = _Watched(_Store())
            source.feed.take_listing(Listing([item], revision=7))
            peers = Peers(path.board, [source.feed])
            name = Collection.RUNNERS.value
            packed = len(peers.catch_up.packed(name, 0))
            await peers.start()
            settings = path.board.settings
            response = await tornado.httpclient.AsyncHTTPClient().fetch(
                f"http://{settings.ip}:{settings.peer_port}/{name}?since=0"
            )
            taker = _Watched(_Store())
            message = json.loads(response.body)
            taker.feed.take_message(message)
            path.close()
            return packed, len(json.dumps(message)), list(taker.feed.items)

        packed, plain, taken = run(scenario())
        self.assertEqual(["main"], taken)
        self.assertLess(packed * 5, plain)

    def test_packed_answers_stay_bounded(self) -> None:
        async def scenario() -> int:
            path = ServingPath()
            source = _Watched(_Store())
            peers = Peers(path.board, [source.feed])
            for revision in range(1, 50):
                source.feed.take_listing(Listing([], revision=revision))
                peers.catch_up.packed(Collection.RUNNERS.value, 0)
            await asyncio.sleep(0)
            path.close()
            return len(peers.catch_up.packed_answers)

        self.assertEqual(MOST_PACKED, run(scenario()))
