"""Beats between the routers of a deployment: small counts in datagrams.

A few routers send their beats to one another. In a large fleet each sends its
own to the relay of its data centre (see `relays`), which answers with a digest.
"""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from mulberrypaddle.dispatch.retry_budget import RetryCounts
from mulberrypaddle.serving.addresses import Addresses
from mulberrypaddle.serving.beat import (
    SCOPE_DATA_CENTRE,
    SCOPE_ROUTER,
    Beat,
)
from mulberrypaddle.serving.catch_up import CatchUp
from mulberrypaddle.serving.changes import ChangeTracker
from mulberrypaddle.serving.digest import (
    MOST_KNOWN,
    sum_data_centre,
    sum_fleet,
    sum_retries,
    without_own,
)
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.highest import HighestOf
from mulberrypaddle.serving.own_beat import make_own_beat
from mulberrypaddle.serving.peer import SILENT_SECONDS, Claim, Peer
from mulberrypaddle.serving.relays import (
    LONE_SILENCE_SECONDS,
    MOST_IN_MESH,
    RelayRank,
    Relays,
)
from mulberrypaddle.serving.watchers import Watchers

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.feed import Feed

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Pause between two beats: a head frees a slot about as often.
BEAT_SECONDS = 0.1

# Pause between two beats to a relay, and between two of its digests.
RELAY_SECONDS = 0.2

# Pause between two beats to other routers while no relay is heard.
LOST_SECONDS = 1.0

# Silence after which it no longer shares in budgets: it may have restarted,
# and what it used lies in the window of the bound.
FORGOTTEN_SECONDS = 10.0

# Name under which the rest of the fleet is counted, as a digest sums it up.
FLEET = "fleet"


class Peers(asyncio.DatagramProtocol):
    """Exchanges beats with the other routers.

    Attributes:
        incarnation: Id of this process.
        peers: Routers that spoke for themselves, by address.
        relays: Which routers sum up for others.
        catch_up: Hands collections on and fetches them.
        claim: Returns what this router says of its duties.
        collections_heard: Whether a router was heard that has collections
            and watches the store for others.
        fit: Returns whether this router should have duties.
        on_beat: Takes each beat.
    """

    def __init__(self, board: ServingBoard, feeds: list[Feed]) -> None:
        settings = board.settings
        self._board = board
        self._feeds = {feed.collection.value: feed for feed in feeds}
        self._transport: asyncio.DatagramTransport | None = None
        self.incarnation = uuid.uuid4().hex[:12]
        self.peers: dict[str, Peer] = {}
        self._addresses = Addresses(settings, self.peers, rng=board.rng)
        self.relays = Relays(
            settings.data_centre,
            ip=settings.ip,
            started_at_seconds=board.now(),
        )
        self.catch_up = CatchUp(
            self._feeds, address=(settings.ip, settings.peer_port)
        )
        self.claim: Callable[[], Claim] = Claim
        self.fit: Callable[[], bool] = lambda: True
        self.collections_heard = False
        self.on_beat: Callable[[Beat], None] = lambda beat: None
        # Sums of the other data centres, for a relay.
        self._summaries: dict[str, Peer] = {}
        # Processes that another one of the same VM has followed.
        self._ended: set[str] = set()
        self._processes: dict[str, str] = {}
        self._watchers = Watchers()
        self._most_routers = HighestOf(FORGOTTEN_SECONDS)
        self._known_fleet = 0
        self._known_fleet_at = -FORGOTTEN_SECONDS
        # The last beat that was sent to the relay.
        self._told: Beat | None = None
        # Routers that relay for the same data centre, and when they were heard.
        self._rivals: dict[str, float] = {}
        self._changes = ChangeTracker(self._feeds)
        self._sent_at = -RELAY_SECONDS
        self._lost_sent_at = -LOST_SECONDS

    async def start(self) -> None:
        """Opens the port for other routers."""
        settings = self._board.settings
        address = (settings.ip, settings.peer_port)
        await self._board.loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self.catch_up.listen()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Learns that a datagram found no listener; silence tells it too."""
        _LOGGER.debug("datagram_refused", extra={"reason": str(exc)})

    def learn_address(self, ip: str, data_centre: str) -> None:
        """Learns where a router is."""
        self._addresses.listed[ip] = data_centre

    @property
    def is_large(self) -> bool:
        """Returns whether the fleet is too large for all to tell all."""
        return self._board.live_routers > MOST_IN_MESH

    # What others tell.

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Takes a beat."""
        try:
            beat = Beat.from_bytes(data)
            if beat.incarnation != self.incarnation:
                self._take(beat)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # Foreign bytes, or a field that holds what it should not.
            _LOGGER.warning("unreadable_beat", extra={"reason": str(error)})

    def _take(self, beat: Beat) -> None:
        if not self._note_process(beat):
            return
        now = self._board.now()
        if beat.scope == SCOPE_ROUTER:
            self._take_router(beat, now)
        elif beat.scope == SCOPE_DATA_CENTRE:
            self._take_summary(beat, now)
        elif not self._take_digest(beat, now):
            return
        if beat.watches:
            self._watchers.take(beat.node, now)
            if any(beat.revisions.values()):
                self.collections_heard = True
        self.on_beat(beat)
        self.catch_up.compare(beat, now)

    def _note_process(self, beat: Beat) -> bool:
        """Returns whether a beat comes from the last process of its VM."""
        if beat.incarnation in self._ended:
            return False
        known = self._processes.get(beat.node)
        if known == beat.incarnation:
            return True
        if known is not None:
            self._ended.add(known)
        self._processes[beat.node] = beat.incarnation
        log_belief("router_heard", peer=beat.node, incarnation=beat.incarnation)
        return True

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether another process followed one on its VM.

        Only a process that was itself heard before the other one counts: of
        one that was never heard, nobody can say which of them is the later.
        """
        return incarnation in self._ended

    def _take_router(self, beat: Beat, now: float) -> None:
        self.peers[beat.ip] = Peer(beat, now)
        self.relays.take_told(beat.relays)
        if not self.is_large and beat.fleet > self._board.live_routers:
            # It knows the fleet for longer. Once large, only sums count, so
            # that routers don't echo one another's counts.
            self._known_fleet = beat.fleet
            self._known_fleet_at = now
        own = beat.data_centre == self._board.settings.data_centre
        if self.is_large and not (own and self.relays.acts):
            self._refer(beat, now)
        if own or not self.is_large:
            self._take_counts(beat.node, beat, now)
        if beat.claims:
            self._take_opening(beat)

    def _refer(self, beat: Beat, now: float) -> None:
        """Tells a router that looks for its relay which one that is."""
        if beat.relays.get(beat.data_centre) or beat.ip == (
            self.relays.relay_ip(now)
        ):
            return
        if not self._addresses.may_knock(beat.ip, now):
            return
        answer = self._make_beat(now)
        near = [
            ip
            for ip, peer in self.peers.items()
            if peer.beat.data_centre == beat.data_centre and ip != beat.ip
        ]
        answer.known = self._board.rng.sample(near, min(MOST_KNOWN, len(near)))
        self._send(answer, [beat.ip])

    def _take_summary(self, beat: Beat, now: float) -> None:
        """Takes the sum of another data centre, as its relay tells it."""
        self.relays.take_other(
            beat.data_centre, _rank_of(beat), now_seconds=now
        )
        self._summaries[beat.data_centre] = Peer(beat, now)
        if self.relays.acts:
            self._take_counts(beat.data_centre, beat, now)
            self._changes.take(beat.changes)

    def _take_counts(self, name: str, beat: Beat, now: float) -> None:
        """Takes counts and sightings of one router or one data centre."""
        board = self._board
        board.loads.take_peer(name, beat.loads, now_seconds=now)
        board.waiting_elsewhere[name] = beat.waiting
        board.demand.take_peer(name, beat.demand)
        self._take_sightings(beat, now)

    def _take_sightings(self, beat: Beat, now: float) -> None:
        board = self._board
        board.soundness.take_peer(
            failing=beat.failing, silent=beat.silent, now_seconds=now
        )
        board.crashes.take_peer(beat.losses, now)
        for runner_id, age_ms in beat.stalled.items():
            board.soundness.suspect(runner_id, now - age_ms / 1000)

    def _take_opening(self, beat: Beat) -> None:
        self._board.opening_in = {
            model: left_ms / 1000 for model, left_ms in beat.opening.items()
        }

    def _take_digest(self, beat: Beat, now: float) -> bool:
        """Takes what the relay of the own data centre says of all.

        Returns:
            Whether it was taken.
        """
        board = self._board
        own = board.settings.data_centre
        if beat.data_centre != own:
            return False
        if not self.relays.take_own(
            _rank_of(beat), successor=beat.successor, now_seconds=now
        ):
            # Told of this one, it stops.
            self._rivals[beat.ip] = now
            return False
        self.relays.take_told(beat.relays)
        for ip in beat.known:
            self.learn_address(ip, own)
        self._known_fleet = beat.routers
        self._known_fleet_at = now
        if self.relays.acts:
            return True
        told = self._told
        board.loads.take_peer(
            FLEET,
            without_own(beat.loads, told.loads if told else {}),
            now_seconds=now,
        )
        board.waiting_elsewhere = {
            FLEET: without_own(beat.waiting, told.waiting if told else {})
        }
        others = dict(beat.demand)
        for model, slots in (told.demand if told else {}).items():
            others[model] = max(0.0, others.get(model, 0.0) - slots)
        board.demand.take_only(FLEET, others)
        self._take_sightings(beat, now)
        self._take_opening(beat)
        counts = sum_retries([beat])
        if told is not None:
            for service, (firsts, repeats) in told.retries.items():
                if service in counts:
                    counts[service].add(RetryCounts(-firsts, -repeats))
        board.retries.lend(counts, routers=board.live_routers, now_seconds=now)
        self._changes.take(beat.changes)
        return True

    # What this router tells.

    def tick(self) -> None:
        """Sends what is due and forgets the silent routers."""
        board = self._board
        now = board.now()
        self._forget(now)
        board.live_routers = self._most_routers.take(self._count_now(now), now)
        if self._transport is None:
            return
        if not self.is_large:
            self.relays.acts = False
            self._lend_retries(now)
            self._send(self._make_beat(now), self._mesh_targets(now))
            return
        acted = self.relays.acts
        settings = board.settings
        acts = self.relays.decide(
            RelayRank(
                settings.ip,
                owns=settings.data_centre in self.claim().claims,
                capacity=self._capacity(),
            ),
            fittest=self._is_fittest(now),
            now_seconds=now,
        )
        if acts != acted:
            self._change_part(acts)
        if now - self._sent_at < RELAY_SECONDS:
            return
        self._sent_at = now
        if acts:
            self._send_sums(now)
            return
        beat = self._make_beat(now)
        self._told = beat
        self._send(beat, self._member_targets(now))

    def _change_part(self, acts: bool) -> None:
        """Forgets what was told in the other part, of relay or of member."""
        board = self._board
        log_belief(
            "relay_begun" if acts else "relay_ended",
            data_centre=board.settings.data_centre,
        )
        board.waiting_elsewhere.clear()
        board.loads.drop_peers()
        board.demand.drop_peers()
        self._told = None

    def _forget(self, now: float) -> None:
        board = self._board
        for ip, peer in list(self.peers.items()):
            if now - peer.heard_at_seconds > FORGOTTEN_SECONDS:
                log_belief("router_silent", peer=peer.beat.node)
                self._drop_counts(peer.beat.node)
                del self.peers[ip]
        for data_centre, peer in list(self._summaries.items()):
            if now - peer.heard_at_seconds > FORGOTTEN_SECONDS:
                log_belief("relay_silent", data_centre=data_centre)
                self._drop_counts(data_centre)
                del self._summaries[data_centre]
        board.loads.forget_stale(now)

    def _drop_counts(self, name: str) -> None:
        self._board.demand.drop_peer(name)
        self._board.waiting_elsewhere.pop(name, None)

    def _count_now(self, now: float) -> int:
        """Returns how many routers may be alive, this one counted."""
        listed = self._addresses.count()
        count = listed
        if now - self._known_fleet_at < FORGOTTEN_SECONDS:
            count = max(count, self._known_fleet)
        if not self._summaries:
            return max(count, 1 + len(self.peers))
        sums = sum(peer.beat.routers for peer in self._summaries.values())
        return max(count, 1 + len(self._local()) + sums)

    def should_stand_back(self) -> bool:
        """Returns whether this router is unfit for duties and another is fit.

        Where all are slow, a slow one is better than none.
        """
        now = self._board.now()
        if self.fit():
            return False
        candidates = self._local() if self.is_large else self.peers.values()
        return any(
            peer.beat.capacity > 0 and peer.is_fresh(now) for peer in candidates
        )

    def may_lead(self) -> bool:
        """Returns whether this router may take its data centre's duty.

        That is its relay, so that not all ask the store at once; any router
        if there is no relay.
        """
        silence = self.relays.silence_seconds(self._board.now())
        return self.relays.acts or silence >= LONE_SILENCE_SECONDS

    def relays_for(self, data_centre: str) -> bool:
        """Returns whether a relay of another data centre is heard."""
        return self.relays.heard_for(data_centre, self._board.now())

    def direct_routers(self) -> int:
        """Returns the routers that tell this one of themselves, and itself."""
        if not self.is_large:
            return self._board.live_routers
        return 1 + len(self._local()) + len(self._summaries)

    def _local(self) -> list[Peer]:
        """Returns the routers of the own data centre that are remembered."""
        own = self._board.settings.data_centre
        return [
            peer for peer in self.peers.values() if peer.beat.data_centre == own
        ]

    def _lend_retries(self, now: float) -> dict[str, RetryCounts]:
        """Lends what the fleet leaves unused; returns the others' counts.

        Routers that fell silent count on until they are forgotten: what they
        have sent still lies in the window.
        """
        others = sum_retries(
            peer.beat
            for peer in [*self.peers.values(), *self._summaries.values()]
        )
        self._board.retries.lend(
            others, routers=self._board.live_routers, now_seconds=now
        )
        return others

    def _send_sums(self, now: float) -> None:
        """Tells the own data centre of all, and the other relays of it."""
        self._lend_retries(now)
        changes = self._changes.since_last()
        local = self._local()
        summary = sum_data_centre(self._make_beat(now), local, now_seconds=now)
        summary.changes = changes
        self._send(summary, sorted(self.relays.others().values()))
        digest = sum_fleet(
            self._make_beat(now),
            local,
            list(self._summaries.values()),
            now_seconds=now,
        )
        self._take_opening(digest)
        digest.routers = self._board.live_routers
        digest.watches = summary.watches or self.watcher_heard(now)
        digest.changes = changes
        targets = {peer.beat.ip for peer in local}
        targets.update(self._rivals_heard(now))
        if now - self._lost_sent_at >= LOST_SECONDS:
            # Routers nearby that don't know this one may relay, too.
            self._lost_sent_at = now
            unknown = self._addresses.known(large=True) - targets
            targets.update(self._addresses.knocks(unknown, now))
        self._send(digest, sorted(targets))

    def _rivals_heard(self, now: float) -> set[str]:
        """Returns others that relay here, and who is said to."""
        rivals = {
            ip
            for ip, heard_at in self._rivals.items()
            if now - heard_at <= SILENT_SECONDS
        }
        told = self.relays.told_ip()
        return {*rivals, told} if told else rivals

    def _is_fittest(self, now: float) -> bool:
        """Returns whether no router nearby that is heard is fitter."""
        settings = self._board.settings
        own = (self._capacity(), settings.ip)
        for ip, peer in self.peers.items():
            if peer.beat.data_centre != settings.data_centre:
                continue
            if peer.is_fresh(now) and (peer.beat.capacity, ip) > own:
                return False
        return True

    def _capacity(self) -> int:
        if self._board.stopping or not self.fit():
            return 0
        return self._board.settings.capacity

    def _send(self, beat: Beat, ips: list[str]) -> None:
        if self._transport is None:
            return
        data = beat.to_bytes()
        for ip in ips:
            if ip != self._board.settings.ip:
                address = (ip, self._board.settings.peer_port)
                self._transport.sendto(data, address)

    def _mesh_targets(self, now: float) -> list[str]:
        heard = [ip for ip, peer in self.peers.items() if peer.is_fresh(now)]
        return heard + self._addresses.knocks(
            self._addresses.known(large=False) - set(heard), now
        )

    def _member_targets(self, now: float) -> list[str]:
        """Returns the relay; without one, who may be it, or know it."""
        relay = self.relays.relay_ip(now)
        if relay:
            return [relay]
        likely = [
            ip
            for ip in (self.relays.told_ip(), self.relays.successor)
            if ip and ip != self._board.settings.ip
        ]
        if now - self._lost_sent_at < LOST_SECONDS:
            return likely
        self._lost_sent_at = now
        return likely + self._addresses.knocks(
            self._addresses.known(large=True) - set(likely), now
        )

    # Who watches the store.

    def watcher_heard(self, now: float, *, before: str = "") -> bool:
        """Returns whether a router that watches for others is heard.

        Args:
            now: Loop time in seconds.
            before: If given, only routers whose names come before it count.
        """
        relies = self.is_large and not self.relays.acts
        return self._watchers.heard(now, relies=relies, before=before)

    def _make_beat(self, now: float) -> Beat:
        known = list(self.peers)
        if self.is_large:
            known = [ip for ip in known if self._addresses.is_local(ip)]
        if len(known) > MOST_KNOWN:
            known = self._board.rng.sample(known, MOST_KNOWN)
        return make_own_beat(
            self._board,
            claim=self.claim(),
            incarnation=self.incarnation,
            capacity=self._capacity(),
            revisions={
                name: feed.changed_revision
                for name, feed in self._feeds.items()
            },
            known=known,
            relays=self.relays.all(now),
            now_seconds=now,
        )


def _rank_of(beat: Beat) -> RelayRank:
    """Returns the rank of a router that sent a sum."""
    claim = beat.claims.get(beat.data_centre)
    return RelayRank(
        beat.ip,
        owns=claim is not None and claim[0] == beat.incarnation,
        capacity=beat.capacity,
    )
