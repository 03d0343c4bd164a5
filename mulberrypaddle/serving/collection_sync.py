"""Synchronization of the store's collections between routers over HTTP.

A router that cannot reach the store, or that relies on another one to watch it,
fetches missing changes from a router with a newer revision.
"""

from __future__ import annotations

import gzip
import json
import math
import time
from typing import TYPE_CHECKING, Any

import tornado.httpclient
from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.backends.curl import limit_answer_size, make_client
from mulberrypaddle.core.value_checks import parse_unsigned
from mulberrypaddle.serving.decision_log import log_state_change

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.feed import Feed
    from mulberrypaddle.serving.heartbeat import Heartbeat
    from mulberrypaddle.serving.supervision import Supervisor

# Time for which a collection must lag behind that of another router before it
# is fetched from there, if this router watches the store too: a change reaches
# all watchers within the pause between two watches.
FETCH_LAG_SECONDS = 0.4

# gzip level: the fastest, since many routers ask at once.
COMPRESSION_LEVEL = 1

# Most compressed responses in the cache: some revisions of each collection.
MAX_CACHED_RESPONSES = 8

# Timeout of the whole fetch of a collection.
FETCH_TIMEOUT_SECONDS = 1.0

# Headers of an answer with a collection: the age of the serving router's copy
# in milliseconds, if it is known, and its checksum. Compressed answers are
# cached, so that the age can't be a part of them.
AGE_HEADER = "Copy-Age-Ms"
CHECKSUM_HEADER = "Copy-Checksum"

# Longest collection accepted from another router: some thousand runners.
MAX_COLLECTION_BYTES = 67_108_864


class CollectionSync:
    """Serves this router's collections to others and fetches newer ones.

    Attributes:
        cached_responses: Compressed responses, by collection, the revision that
            the asking router holds, and the revision and the version that this
            router holds.
    """

    def __init__(
        self,
        feeds: dict[str, Feed],
        *,
        address: tuple[str, int],
        supervisor: Supervisor,
    ) -> None:
        """Prepares the HTTP server and client.

        Args:
            feeds: Feeds by the name of their collection.
            address: Host and port on which this router serves; the others
                serve on the same port.
            supervisor: Runs the fetches.
        """
        self._feeds = feeds
        self._address = address
        # Loop time at which another router first reported a newer revision, by
        # collection and address, joined by a space.
        self._behind_since_seconds: dict[str, float] = {}
        # Names of the collections that are being fetched.
        self._fetching: set[str] = set()
        # Loop time at which a higher version was last fetched, by the same.
        self._versions_fetched_at_seconds: dict[str, float] = {}
        self._supervisor = supervisor
        self._client = make_client()
        self._server = HTTPServer(self._serve)
        self.cached_responses: dict[tuple[str, int, int, int], bytes] = {}

    def listen(self) -> None:
        """Starts to serve other routers."""
        self._server.listen(self._address[1], address=self._address[0])

    def fetch_if_behind(self, heartbeat: Heartbeat, now_seconds: float) -> None:
        """Starts to fetch collections of which another router has a newer one.

        A router that watches the store itself waits for `FETCH_LAG_SECONDS`
        before it fetches.

        Args:
            heartbeat: Heartbeat of the other router.
            now_seconds: Loop time.
        """
        for name, feed in self._feeds.items():
            key = f"{name} {heartbeat.ip}"
            if heartbeat.revisions.get(name, 0) <= max(
                feed.changed_revision, feed.revision
            ):
                self._behind_since_seconds.pop(key, None)
                self._fetch_higher_version(name, heartbeat, now_seconds)
                continue
            if not (feed.revision or heartbeat.watches or feed.failed):
                # After a start the store is asked first: a router that cannot
                # reach the store may hold a long outdated collection. The
                # store may hold an older version, though.
                self._fetch_higher_version(name, heartbeat, now_seconds)
                continue
            since = self._behind_since_seconds.setdefault(key, now_seconds)
            is_watching = feed.connected and not feed.is_passive
            if is_watching and now_seconds - since < FETCH_LAG_SECONDS:
                continue
            if name in self._fetching:
                continue
            self._fetching.add(name)
            self._supervisor.start(
                f"fetch of {name}", self._fetch(name, heartbeat.ip)
            )

    def _fetch_higher_version(
        self, name: str, heartbeat: Heartbeat, now_seconds: float
    ) -> None:
        """Starts to fetch a version that is higher than the one known here.

        The store won't bring it soon: its copy was restored with an older one.

        Args:
            name: Name of the collection.
            heartbeat: Heartbeat of a router whose copy is no newer than this
                router's by its revision, or isn't used before the first list.
            now_seconds: Loop time.
        """
        feed = self._feeds[name]
        if name in self._fetching:
            return
        if heartbeat.versions.get(name, 0) <= feed.version:
            return
        key = f"{name} {heartbeat.ip}"
        fetched_at = self._versions_fetched_at_seconds.get(key)
        if fetched_at is not None and now_seconds - fetched_at < (
            FETCH_LAG_SECONDS
        ):
            return
        self._versions_fetched_at_seconds[key] = now_seconds
        self._fetching.add(name)
        self._supervisor.start(
            f"fetch of a version of {name}",
            self._fetch_version(name, heartbeat.ip),
        )

    async def _fetch(self, name: str, ip: str) -> None:
        """Fetches a collection's changes from a router and applies them."""
        feed = self._feeds[name]
        await self._fetch_and_apply(
            name, ip, since=feed.revision, apply=feed.apply_message
        )

    async def _fetch_version(self, name: str, ip: str) -> None:
        """Fetches a collection and takes over objects of higher versions."""
        await self._fetch_and_apply(
            name, ip, since=0, apply=self._feeds[name].adopt_versions
        )

    async def _fetch_and_apply(
        self,
        name: str,
        ip: str,
        *,
        since: int,
        apply: Callable[[Any], bool],
    ) -> None:
        """Fetches a message about a collection from a router and applies it.

        Args:
            name: Name of the collection.
            ip: Address of the other router.
            since: Revision after which changes are asked for; 0 for all.
            apply: Applies the message; returns whether it was news.
        """
        feed = self._feeds[name]
        sent_at_seconds = time.monotonic()
        try:
            response = await self._client.fetch(
                f"http://{ip}:{self._address[1]}/{name}?since={since}",
                connect_timeout=FETCH_TIMEOUT_SECONDS,
                request_timeout=FETCH_TIMEOUT_SECONDS,
                prepare_curl_callback=limit_answer_size(MAX_COLLECTION_BYTES),
            )
            applied = apply(json.loads(response.body))
        except (
            tornado.httpclient.HTTPError,
            OSError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            log_state_change(
                "fetch_failed", collection=name, peer=ip, reason=str(error)
            )
            return
        finally:
            self._fetching.discard(name)
        _adopt_age(feed, response.headers, sent_at_seconds)
        if applied and not feed.is_passive:
            log_state_change(
                "fetched",
                collection=name,
                peer=ip,
                revision=feed.revision,
                version=feed.version,
            )

    def _serve(self, request: httputil.HTTPServerRequest) -> None:
        """Responds to another router's request for a collection."""
        name = request.path.lstrip("/")
        status, body = 404, gzip.compress(b"{}")
        more_headers: dict[str, str] = {}
        if name in self._feeds:
            since = request.arguments.get("since", [b"0"])[0]
            status = 200
            body, more_headers = self.make_answer(
                name, parse_unsigned(since) or 0
            )
        connection = request.connection
        assert connection is not None
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Encoding": "gzip",
                "Content-Length": str(len(body)),
                **more_headers,
            }
        )
        connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        connection.finish()

    def make_answer(
        self, name: str, since: int
    ) -> tuple[bytes, dict[str, str]]:
        """Returns a compressed body for another router and further headers.

        Args:
            name: Name of the collection.
            since: Revision that the asking router holds; 0 for the whole
                collection.
        """
        body = self.compressed_collection(name, since)
        return body, _age_headers(self._feeds[name])

    def compressed_collection(self, name: str, since: int) -> bytes:
        """Returns the changes of a collection since a revision, compressed.

        All routers ask for the same changes at once, so responses are cached.
        Uncompressed, a configuration of many routes sent to each of them would
        saturate the link of a small VM for seconds.

        Args:
            name: Name of the collection.
            since: Revision that the asking router holds; 0 for the whole
                collection.
        """
        feed = self._feeds[name]
        key = (name, since, feed.revision, feed.version)
        if key not in self.cached_responses:
            message = feed.to_message(since)
            compressed = gzip.compress(
                json.dumps(message).encode(), COMPRESSION_LEVEL
            )
            while len(self.cached_responses) >= MAX_CACHED_RESPONSES:
                del self.cached_responses[next(iter(self.cached_responses))]
            self.cached_responses[key] = compressed
        return self.cached_responses[key]


def _age_headers(feed: Feed) -> dict[str, str]:
    """Returns the headers that tell the age of a copy, if it is known."""
    if feed.confirmed_at_seconds is None:
        return {}
    return {
        AGE_HEADER: str(math.ceil(feed.age_seconds() * 1000)),
        CHECKSUM_HEADER: str(feed.checksum),
    }


def _adopt_age(
    feed: Feed, headers: httputil.HTTPHeaders, sent_at_seconds: float
) -> None:
    """Takes over the age of another router's copy if this one is equal to it.

    Args:
        feed: This router's copy.
        headers: Headers of the answer with the other copy.
        sent_at_seconds: Monotonic time at which the copy was asked for.
    """
    age_ms = parse_unsigned(headers.get(AGE_HEADER, ""))
    checksum = parse_unsigned(headers.get(CHECKSUM_HEADER, ""))
    if age_ms is not None and checksum is not None:
        feed.adopt_age(
            checksum, confirmed_at_seconds=sent_at_seconds - age_ms / 1000
        )
