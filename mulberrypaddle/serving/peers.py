"""What the routers of a deployment tell one another.

Small counts travel in datagrams, some times a second; whole collections are
fetched over HTTP by a router that the store does not serve. Few routers send
their beats to one another; many send them to the owner of the groups, which
sends each of them a digest.
"""

from __future__ import annotations

import asyncio
import gzip
import json
import logging
import uuid
from typing import TYPE_CHECKING, Any

import tornado.httpclient
from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.dispatch.retry_budget import RetryCounts
from mulberrypaddle.serving.beat import Beat
from mulberrypaddle.serving.digest import (
    MOST_IN_MESH,
    merge_into,
    sum_retries,
    without_own,
)
from mulberrypaddle.serving.events_log import log_belief

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.feed import Feed

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Pause between two beats: a head frees a slot about as often.
BEAT_SECONDS = 0.1

# Pause between two beats to the hub, and between two of its digests.
HUB_SECONDS = 0.2

# Silence of the hub after which routers send their beats to one another.
HUB_SILENCE_SECONDS = 0.8

# Pause between two beats of many routers to one another, while no hub is heard.
SLOW_SECONDS = 1.0

# Longest digest that carries changes; routers that lack more fetch them.
MOST_CHANGE_BYTES = 8_192

# Age of a sign that never came.
WATCHER_NEVER_SECONDS = 3_600.0

# Silence after which a router counts as gone.
SILENT_SECONDS = 1.0

# Silence after which it no longer shares in budgets: it may have restarted,
# and what it used lies in the window of the bound.
FORGOTTEN_SECONDS = 10.0

# Pause between beats to addresses that do not answer.
KNOCK_SECONDS = 1.0

# Time for which losses of runners are told again.
TELL_LOSSES_SECONDS = 3.0

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


class Peer:
    """Another router.

    Attributes:
        beat: What it told last.
        heard_at_seconds: When.
    """

    __slots__ = ("beat", "heard_at_seconds")

    def __init__(self, beat: Beat, heard_at_seconds: float) -> None:
        self.beat = beat
        self.heard_at_seconds = heard_at_seconds


class Claim:
    """What this router tells of its own ownership of the groups.

    Attributes:
        renewals: Renewals so far; -1 if it is not the owner.
        lease_left: Milliseconds for which the ownership holds.
        opening: Milliseconds until a group opens, by model.
        watches: Whether the store serves it the changes of the runners.
        store_sight: What it lately saw of the store.
        store_sight_age_ms: How long ago.
        asks_for_store: Whether it wants to know what others see of it.
        resigned_revision: Revision of the owner's record up to which it has
            handed the groups over; 0 if it never has.
    """

    __slots__ = (
        "asks_for_store",
        "lease_left",
        "opening",
        "renewals",
        "resigned_revision",
        "store_sight",
        "store_sight_age_ms",
        "watches",
    )

    def __init__(
        self,
        *,
        renewals: int = -1,
        lease_left: int = 0,
        opening: dict[str, int] | None = None,
        watches: bool = False,
        store_sight: int = -1,
        store_sight_age_ms: int = 0,
        asks_for_store: bool = False,
        resigned_revision: int = 0,
    ) -> None:
        self.store_sight = store_sight
        self.store_sight_age_ms = store_sight_age_ms
        self.asks_for_store = asks_for_store
        self.resigned_revision = resigned_revision
        self.watches = watches
        self.renewals = renewals
        self.lease_left = lease_left
        self.opening = opening or {}


class Peers(asyncio.DatagramProtocol):
    """Exchanges beats and collections with the other routers.

    Attributes:
        incarnation: Id of this process.
        peers: Other routers by address.
        listed_ips: Addresses that the store knows.
        claim: Returns what this router says of its ownership.
        on_beat: Takes each beat.
        watcher_heard_at: Loop time at which a router that watches the
            runners for all was last heard.
    """

    def __init__(self, board: ServingBoard, feeds: list[Feed]) -> None:
        self._board = board
        self._feeds = {feed.collection.value: feed for feed in feeds}
        self._behind_since: dict[str, float] = {}
        self._fetching: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._knocked_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._client = make_client()
        self._server = HTTPServer(self._serve)
        self.incarnation = uuid.uuid4().hex[:12]
        self.peers: dict[str, Peer] = {}
        self.listed_ips: set[str] = set()
        self.claim: Callable[[], Claim] = Claim
        self.on_beat: Callable[[Beat], None] = lambda beat: None
        self.watcher_heard_at = -WATCHER_NEVER_SECONDS
        # The router that sums up for all, where there are many.
        self._hub_ip = ""
        self._hub_at = -WATCHER_NEVER_SECONDS
        self._hub_routers = 0
        # The last beat that was sent to it.
        self._told: Beat | None = None
        self._digest_revisions: dict[str, int] = {}
        # Answers to other routers, by collection and revisions.
        self._packed_answers: dict[tuple[str, int, int], bytes] = {}
        self._sent_at = 0.0

    async def start(self) -> None:
        """Opens the port for other routers."""
        settings = self._board.settings
        address = (settings.ip, settings.peer_port)
        await self._board.loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self._server.listen(settings.peer_port, address=settings.ip)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Learns that a datagram found no listener; silence tells it too."""
        _LOGGER.debug("datagram_refused", extra={"reason": str(exc)})

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Takes a beat."""
        try:
            beat = Beat.from_bytes(data)
        except ValueError as error:
            _LOGGER.warning("unreadable_beat", extra={"reason": str(error)})
            return
        if beat.incarnation == self.incarnation:
            return
        board = self._board
        now = board.now()
        known = self.peers.get(beat.ip)
        if known is None or known.beat.incarnation != beat.incarnation:
            log_belief(
                "router_heard", peer=beat.node, incarnation=beat.incarnation
            )
        self.peers[beat.ip] = Peer(beat, now)
        if not beat.routers:
            board.loads.take_peer(beat.node, beat.loads, now_seconds=now)
            board.waiting_elsewhere[beat.node] = beat.waiting
        board.soundness.take_peer(
            failing=beat.failing, silent=beat.silent, now_seconds=now
        )
        board.crashes.take_peer(beat.losses, now)
        board.demand.take_peer(beat.node, beat.demand)
        for runner_id, age_ms in beat.stalled.items():
            board.soundness.suspect(runner_id, now - age_ms / 1000)
        if beat.renewals >= 0:
            board.opening_in = {
                model: left / 1000 for model, left in beat.opening.items()
            }
        if beat.watches:
            self.watcher_heard_at = now
        if beat.routers:
            self._take_digest(beat, now)
        self.on_beat(beat)
        self._compare(beat, now)

    def tick(self) -> None:
        """Sends what is due and forgets the silent routers."""
        board = self._board
        now = board.now()
        for ip, peer in list(self.peers.items()):
            if now - peer.heard_at_seconds > FORGOTTEN_SECONDS:
                log_belief("router_silent", peer=peer.beat.node)
                board.demand.drop_peer(peer.beat.node)
                board.waiting_elsewhere.pop(peer.beat.node, None)
                del self.peers[ip]
        board.loads.forget_stale(now)
        listed = len(self.listed_ips | {board.settings.ip})
        board.live_routers = max(1 + len(self.peers), listed)
        if self._hub_heard(now):
            board.live_routers = max(board.live_routers, self._hub_routers)
        if self._transport is None:
            return
        if board.live_routers <= MOST_IN_MESH:
            self._lend_retries(now)
            self._send(self._make_beat(now), self._targets(now))
            return
        claim = self.claim()
        if claim.renewals >= 0:
            if now - self._sent_at >= HUB_SECONDS:
                self._send_digest(now)
        elif self._hub_heard(now):
            if now - self._sent_at >= HUB_SECONDS:
                beat = self._make_beat(now)
                self._told = beat
                self._send(beat, [self._hub_ip])
        elif now - self._sent_at >= SLOW_SECONDS:
            self._send(self._make_beat(now), self._targets(now))

    def _hub_heard(self, now: float) -> bool:
        return now - self._hub_at < HUB_SILENCE_SECONDS

    def _take_digest(self, beat: Beat, now: float) -> None:
        """Takes what the hub sums up for all."""
        self._hub_ip = beat.ip
        self._hub_at = now
        self._hub_routers = beat.routers
        told = self._told
        board = self._board
        board.loads.take_peer(
            beat.node,
            without_own(beat.loads, told.loads if told else {}),
            now_seconds=now,
        )
        board.waiting_elsewhere = {
            beat.node: without_own(beat.waiting, told.waiting if told else {})
        }
        others = sum_retries([beat])
        if told is not None:
            for service, (firsts, repeats) in told.retries.items():
                if service in others:
                    others[service].add(RetryCounts(-firsts, -repeats))
        board.retries.lend(others, routers=board.live_routers, now_seconds=now)
        for name, message in beat.changes.items():
            feed = self._feeds.get(name)
            if feed is None or not feed.rests:
                continue
            try:
                feed.take_message(message)
            except (KeyError, TypeError, ValueError) as error:
                _LOGGER.warning(
                    "unreadable_changes",
                    extra={"collection": name, "reason": str(error)},
                )

    def _lend_retries(self, now: float) -> dict[str, RetryCounts]:
        """Lends what the fleet leaves unused; returns the others' counts.

        Routers that fell silent count on until they are forgotten: what they
        have sent still lies in the window.
        """
        others = sum_retries(peer.beat for peer in self._routers_heard())
        self._board.retries.lend(
            others, routers=self._board.live_routers, now_seconds=now
        )
        return others

    def _routers_heard(self) -> list[Peer]:
        """Returns the routers that spoke for themselves when last heard."""
        return [peer for peer in self.peers.values() if not peer.beat.routers]

    def _send_digest(self, now: float) -> None:
        others = [
            peer.beat
            for peer in self.peers.values()
            if now - peer.heard_at_seconds <= SILENT_SECONDS
        ]
        digest = merge_into(self._make_beat(now), others)
        for service, counts in self._lend_retries(now).items():
            firsts, repeats = digest.retries.get(service, (0, 0))
            digest.retries[service] = (
                firsts + counts.firsts,
                repeats + counts.repeats,
            )
        size_bytes = 0
        for name, feed in self._feeds.items():
            since = self._digest_revisions.get(name, 0)
            if since and feed.revision > since:
                message = feed.to_message(since)
                size_bytes += len(json.dumps(message))
                if size_bytes <= MOST_CHANGE_BYTES:
                    digest.changes[name] = message
            self._digest_revisions[name] = feed.revision
        targets = sorted({*self.listed_ips, *self._targets(now)})
        # All of them hear the hub; its list would be most of the message.
        digest.known = []
        self._send(digest, targets)

    def _send(self, beat: Beat, ips: list[str]) -> None:
        assert self._transport is not None
        self._sent_at = self._board.now()
        data = beat.to_bytes()
        for ip in ips:
            if ip != self._board.settings.ip:
                address = (ip, self._board.settings.peer_port)
                self._transport.sendto(data, address)

    def incarnation_of(self, node: str) -> str | None:
        """Returns the process that a router was last heard of, or None."""
        for peer in self.peers.values():
            if peer.beat.node == node:
                return peer.beat.incarnation
        return None

    def _targets(self, now: float) -> list[str]:
        settings = self._board.settings
        heard = [
            ip
            for ip, peer in self.peers.items()
            if now - peer.heard_at_seconds <= SILENT_SECONDS
        ]
        others = {*settings.seed_ips, *self.listed_ips, *self.peers}
        for peer in self.peers.values():
            others.update(peer.beat.known)
        targets = list(heard)
        for ip in others.difference(heard):
            if ip == settings.ip:
                continue
            if now - self._knocked_at.get(ip, 0.0) < KNOCK_SECONDS:
                continue
            self._knocked_at[ip] = now
            targets.append(ip)
        return targets

    def _make_beat(self, now: float) -> Beat:
        board = self._board
        claim = self.claim()
        return Beat(
            node=board.settings.node,
            incarnation=self.incarnation,
            ip=board.settings.ip,
            revisions={
                name: feed.changed_revision
                for name, feed in self._feeds.items()
            },
            loads=board.loads.own,
            failing=board.soundness.own_failing(now),
            silent=board.soundness.own_silent(now),
            stalled={
                runner_id: int(age_seconds * 1000)
                for runner_id, age_seconds in board.soundness.suspects(
                    now, within_seconds=SILENT_SECONDS
                ).items()
            },
            losses=board.crashes.recent(now, since_seconds=TELL_LOSSES_SECONDS),
            waiting=board.waiting(),
            retries={
                service: (counts.firsts, counts.repeats)
                for service, counts in board.retries.counts(now).items()
            },
            demand={
                model: round(slots, 3)
                for model, slots in board.demand.own_slots(now).items()
            },
            known=list(self.peers),
            opening=claim.opening,
            renewals=claim.renewals,
            lease_left=claim.lease_left,
            watches=claim.watches,
            store_sight=claim.store_sight,
            store_sight_age_ms=claim.store_sight_age_ms,
            asks_for_store=claim.asks_for_store,
            resigned_revision=claim.resigned_revision,
            stopping=board.stopping,
        )

    def _compare(self, beat: Beat, now: float) -> None:
        """Fetches collections in which another router is ahead for long."""
        for name, feed in self._feeds.items():
            if beat.revisions.get(name, 0) <= max(
                feed.changed_revision, feed.revision
            ):
                self._behind_since.pop(f"{name} {beat.ip}", None)
                continue
            key = f"{name} {beat.ip}"
            since = self._behind_since.setdefault(key, now)
            watches = feed.connected and not feed.rests
            if watches and now - since < FETCH_LAG_SECONDS:
                continue
            if name in self._fetching:
                continue
            self._fetching.add(name)
            task = asyncio.ensure_future(self._fetch(name, beat.ip))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _fetch(self, name: str, ip: str) -> None:
        feed = self._feeds[name]
        port = self._board.settings.peer_port
        try:
            response = await self._client.fetch(
                f"http://{ip}:{port}/{name}?since={feed.revision}",
                connect_timeout=FETCH_TIMEOUT_SECONDS,
                request_timeout=FETCH_TIMEOUT_SECONDS,
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
            body = self._packed(name, int(since) if since.isdigit() else 0)
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

    def _packed(self, name: str, since: int) -> bytes:
        """Returns what a router lacks of a collection, compressed.

        All routers ask for the same after a change; a configuration of many
        routes, sent to each, would fill the link of a small VM for seconds.
        """
        key = (name, since, self._feeds[name].revision)
        if key not in self._packed_answers:
            message = self._feeds[name].to_message(since)
            packed = gzip.compress(json.dumps(message).encode(), PACKING_LEVEL)
            while len(self._packed_answers) >= MOST_PACKED:
                del self._packed_answers[next(iter(self._packed_answers))]
            self._packed_answers[key] = packed
        return self._packed_answers[key]
