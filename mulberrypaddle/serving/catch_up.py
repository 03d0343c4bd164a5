"""Collections that routers hand to one another over HTTP.

A router that the store does not serve, or that another one watches for, fetches
what it lacks from a router that is ahead.
"""

from __future__ import annotations

import asyncio
import gzip
import json
from typing import TYPE_CHECKING

import tornado.httpclient
from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.backends.curl import bound_answer, make_client
from mulberrypaddle.serving.events_log import log_belief

if TYPE_CHECKING:
    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.feed import Feed

# Lag behind another router after which a collection is fetched from it,
# although this one watches too: a change reaches all watchers within the pause
# between two watches.
FETCH_LAG_SECONDS = 0.4

# Compression of collections: a quick level, since many ask at once.
PACKING_LEVEL = 1

# Answers that are kept packed: some revisions of each collection.
MOST_PACKED = 8

# Time for a collection to be sent.
FETCH_TIMEOUT_SECONDS = 1.0

# Longest collection that is taken from another router: some thousand runners.
MOST_COLLECTION_BYTES = 67_108_864


class CatchUp:
    """Serves collections to other routers and fetches them from those."""

    def __init__(
        self, feeds: dict[str, Feed], *, address: tuple[str, int]
    ) -> None:
        """Prepares to serve.

        Args:
            feeds: Feeds by the name of their collection.
            address: Where this router answers, as host and port; the others
                answer on the same port.
        """
        self._feeds = feeds
        self._address = address
        self._behind_since: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._client = make_client()
        self._server = HTTPServer(self._serve)
        # Answers to other routers, by collection and revisions.
        self.packed_answers: dict[tuple[str, int, int], bytes] = {}

    def listen(self) -> None:
        """Opens the port for other routers."""
        self._server.listen(self._address[1], address=self._address[0])

    def compare(self, beat: Beat, now_seconds: float) -> None:
        """Fetches collections in which another router is ahead for long."""
        for name, feed in self._feeds.items():
            key = f"{name} {beat.ip}"
            if beat.revisions.get(name, 0) <= max(
                feed.changed_revision, feed.revision
            ):
                self._behind_since.pop(key, None)
                continue
            if not (feed.revision or beat.watches or feed.failed):
                # After a start, what a router knows that is itself cut off
                # may be long out of force; the store goes first.
                continue
            since = self._behind_since.setdefault(key, now_seconds)
            watches = feed.connected and not feed.rests
            if watches and now_seconds - since < FETCH_LAG_SECONDS:
                continue
            if name in self._fetching:
                continue
            self._fetching.add(name)
            task = asyncio.ensure_future(self._fetch(name, beat.ip))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch(self, name: str, ip: str) -> None:
        feed = self._feeds[name]
        try:
            response = await self._client.fetch(
                f"http://{ip}:{self._address[1]}/{name}?since={feed.revision}",
                connect_timeout=FETCH_TIMEOUT_SECONDS,
                request_timeout=FETCH_TIMEOUT_SECONDS,
                prepare_curl_callback=bound_answer(MOST_COLLECTION_BYTES),
            )
            newer = feed.take_message(json.loads(response.body))
        except (
            tornado.httpclient.HTTPError,
            OSError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            log_belief(
                "fetch_failed", collection=name, peer=ip, reason=str(error)
            )
            return
        finally:
            self._fetching.discard(name)
        if newer and not feed.rests:
            log_belief(
                "fetched", collection=name, peer=ip, revision=feed.revision
            )

    def _serve(self, request: httputil.HTTPServerRequest) -> None:
        """Answers another router that asks for a collection."""
        name = request.path.lstrip("/")
        status, body = 404, gzip.compress(b"{}")
        if name in self._feeds:
            since = request.arguments.get("since", [b"0"])[0]
            status = 200
            body = self.packed(name, int(since) if since.isdigit() else 0)
        connection = request.connection
        assert connection is not None
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Encoding": "gzip",
                "Content-Length": str(len(body)),
            }
        )
        connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        connection.finish()

    def packed(self, name: str, since: int) -> bytes:
        """Returns what a router lacks of a collection, compressed.

        All routers ask for the same after a change; a configuration of many
        routes, sent to each, would fill the link of a small VM for seconds.
        """
        key = (name, since, self._feeds[name].revision)
        if key not in self.packed_answers:
            message = self._feeds[name].to_message(since)
            packed = gzip.compress(json.dumps(message).encode(), PACKING_LEVEL)
            while len(self.packed_answers) >= MOST_PACKED:
                del self.packed_answers[next(iter(self.packed_answers))]
            self.packed_answers[key] = packed
        return self.packed_answers[key]
