"""Exchange of heartbeats between routers.

Heartbeats are datagrams with a router's counts (of requests in flight, queued
requests, demand and retries) and its observations of runners. In a small
fleet all routers send them to one another. In a large fleet each router sends
its heartbeat to the relay of its data centre (see `relays`), which returns
digests of the whole fleet.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import math
import uuid
from typing import TYPE_CHECKING, Any

from mulberrypaddle.core.value_checks import is_ip, shorten
from mulberrypaddle.dispatch.crash_attribution import CrashReport
from mulberrypaddle.dispatch.retry_budget import RetryCounts
from mulberrypaddle.serving.address_book import AddressBook
from mulberrypaddle.serving.announcements import record_leaving
from mulberrypaddle.serving.change_tracker import ChangeTracker
from mulberrypaddle.serving.collection_sync import CollectionSync
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.digest import (
    MAX_KNOWN_ADDRESSES,
    aggregate_data_centre,
    aggregate_fleet,
    aggregate_retry_counts,
    subtract_local,
)
from mulberrypaddle.serving.heartbeat import (
    SCOPE_DATA_CENTRE,
    SCOPE_FLEET,
    SCOPE_ROUTER,
    Heartbeat,
)
from mulberrypaddle.serving.local_heartbeat import make_local_heartbeat
from mulberrypaddle.serving.peer import PEER_TIMEOUT_SECONDS, DutyStatus, Peer
from mulberrypaddle.serving.recent_maximum import RecentMaximum
from mulberrypaddle.serving.relays import (
    MAX_MESH_ROUTERS,
    MAX_RELAY_INTERVAL_SECONDS,
    RELAY_FALLBACK_SECONDS,
    RelayRank,
    Relays,
    relay_interval_seconds,
)
from mulberrypaddle.serving.report_limiter import ReportLimiter
from mulberrypaddle.serving.store_watchers import StoreWatchers

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.feed import Feed

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Pause between two heartbeats: the head of a group frees a slot about as often.
HEARTBEAT_INTERVAL_SECONDS = 0.1

# Pause between two searches in a large fleet: by a member for a relay, and by a
# relay for routers that do not know it.
RELAY_SEARCH_SECONDS = 1.0

# Time without a heartbeat after which a router is forgotten. Until then it
# counts in the retry budget: it may have restarted, and the retries that it
# used lie within the budget's window.
PEER_EXPIRY_SECONDS = 10.0

# Name under which the counts of the rest of the fleet, from a digest, are kept.
FLEET_SOURCE = "fleet"

# Processes and VMs that are remembered: several times those of a large fleet,
# so that only processes that ended long ago are forgotten.
MAX_REMEMBERED_PROCESSES = 8_192


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives heartbeats, and applies the received ones.

    A member is a router in a large fleet that is not a relay.

    Attributes:
        incarnation: Id of this process.
        peers: Routers that sent heartbeats to this one directly, by address.
        relays: Known relays, and whether this router is one.
        collection_sync: Synchronizes collections with other routers.
        duty_status: Returns the duty status to send with heartbeats.
        collections_available: Whether a heartbeat came from a router that has
            collections and watches the store for others.
        is_fit: Returns whether this process runs promptly enough to hold
            duties.
        on_heartbeat: Called with each accepted heartbeat.
    """

    def __init__(self, board: Blackboard, feeds: list[Feed]) -> None:
        """Creates an exchange that sends nothing until `start` and `tick`.

        Args:
            board: Shared state of this router.
            feeds: Copies of the collections to synchronize with other routers.
        """
        settings = board.settings
        self._board = board
        self._feeds = {feed.collection.value: feed for feed in feeds}
        self._transport: asyncio.DatagramTransport | None = None
        self.incarnation = uuid.uuid4().hex[:12]
        self.peers: dict[str, Peer] = {}
        self._address_book = AddressBook(settings, self.peers, rng=board.rng)
        self.relays = Relays(
            settings.data_centre,
            ip=settings.ip,
            started_at_seconds=board.now(),
        )
        self.collection_sync = CollectionSync(
            self._feeds,
            address=(settings.ip, settings.peer_port),
            supervisor=board.supervisor,
        )
        self.duty_status: Callable[[], DutyStatus] = DutyStatus
        self.is_fit: Callable[[], bool] = lambda: True
        self.collections_available = False
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda heartbeat: None
        # Last summary of each other data centre, by its name. Only relays
        # receive them.
        self._summaries: dict[str, Peer] = {}
        # Incarnations that a later process on the same VM replaced.
        self._superseded: dict[str, None] = {}
        # Last known incarnation of each router, by the router's name.
        self._incarnations: dict[str, str] = {}
        self._store_watchers = StoreWatchers()
        self._recent_router_count = RecentMaximum(PEER_EXPIRY_SECONDS)
        # Size of the fleet that a digest or, in a small fleet, another router
        # reported last.
        self._reported_fleet_size = 0
        self._fleet_reported_at_seconds = -PEER_EXPIRY_SECONDS
        # Last heartbeat that was sent to the relay; None if none was since the
        # last change of role.
        self._last_sent: Heartbeat | None = None
        # Routers of this data centre that also act as its relay and whose
        # digests this router rejected: loop time of their last digest, by
        # address.
        self._rival_relays: dict[str, float] = {}
        self._change_tracker = ChangeTracker(self._feeds)
        self._sent_at_seconds = -MAX_RELAY_INTERVAL_SECONDS
        self._searched_at_seconds = -RELAY_SEARCH_SECONDS
        self._reported_addresses = ReportLimiter()

    async def start(self) -> None:
        """Opens the ports for datagrams and collections."""
        await self._open_datagrams()
        self.collection_sync.listen()

    async def _open_datagrams(self) -> None:
        """Opens the port for datagrams."""
        settings = self._board.settings
        await self._board.loop.create_datagram_endpoint(
            lambda: self, local_addr=(settings.ip, settings.peer_port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the datagram socket."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        """Opens the datagram socket again, which an error has closed."""
        log_state_change("datagram_socket_closed", reason=str(exc))
        self._transport = None
        supervisor = self._board.supervisor
        supervisor.start(
            "datagram socket",
            supervisor.keep_running("datagram socket", self._open_datagrams),
        )

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram was not delivered.

        Nothing else is done: the receiver is found to be down by its missing
        heartbeats.
        """
        _LOGGER.debug("datagram_refused", extra={"reason": str(exc)})

    def record_address(self, ip: str, data_centre: str) -> None:
        """Records the address of a router that the store or a digest listed.

        Nothing is recorded if it is no IP address: sending to it would close
        the socket.
        """
        if is_ip(ip):
            self._address_book.data_centre_by_ip[ip] = data_centre
        elif self._reported_addresses.is_new(shorten(ip), 0):
            _LOGGER.warning("unusable_address", extra={"peer": shorten(ip)})

    @property
    def uses_relays(self) -> bool:
        """Returns whether the fleet is so large that it uses relays."""
        return self._board.live_routers > MAX_MESH_ROUTERS

    @property
    def _is_member(self) -> bool:
        """Returns whether this router is in a large fleet and not a relay."""
        return self.uses_relays and not self.relays.is_relay

    # Receiving.

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Handles a heartbeat; an invalid datagram is logged and ignored."""
        try:
            heartbeat = Heartbeat.from_bytes(data)
        except ValueError as error:
            if self._reported_addresses.is_new(f"{addr[0]}: {error}", 0):
                _LOGGER.warning("unreadable_beat", extra={"reason": str(error)})
            return
        if heartbeat.incarnation == self.incarnation:
            return
        self._board.supervisor.run_step(
            "received heartbeat", functools.partial(self._handle, heartbeat)
        )

    def _handle(self, heartbeat: Heartbeat) -> None:
        """Applies a valid heartbeat of another router."""
        if not self._check_incarnation(heartbeat):
            return
        now = self._board.now()
        if heartbeat.scope == SCOPE_ROUTER:
            self._handle_router_heartbeat(heartbeat, now)
        elif heartbeat.scope == SCOPE_DATA_CENTRE:
            self._handle_summary(heartbeat, now)
        elif not self._handle_digest(heartbeat, now):
            return
        if heartbeat.watches:
            self._store_watchers.record(heartbeat.node, now)
            if any(heartbeat.revisions.values()):
                self.collections_available = True
        elif heartbeat.scope != SCOPE_FLEET:
            # The routers of a data centre must not all turn to the store as
            # soon as their relay misses a watcher.
            self._store_watchers.withdraw(heartbeat.node)
        for name, (age_ms, checksum) in heartbeat.ages.items():
            feed = self._feeds.get(name)
            if feed is None:
                continue
            feed.adopt_age(checksum, confirmed_at_seconds=now - age_ms / 1000)
            feed.compare_with(
                checksum, changed_revision=heartbeat.revisions.get(name, 0)
            )
        self.on_heartbeat(heartbeat)
        self.collection_sync.fetch_if_behind(heartbeat, now)

    def _check_incarnation(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a heartbeat is from the latest process of its VM.

        Records a new incarnation; heartbeats of the previous one are ignored
        from then on.
        """
        if heartbeat.incarnation in self._superseded:
            return False
        known = self._incarnations.get(heartbeat.node)
        if known == heartbeat.incarnation:
            return True
        if known is not None:
            self._superseded[known] = None
        # Moves the VM to the end, so that the one replaced longest ago is
        # forgotten first.
        self._incarnations.pop(heartbeat.node, None)
        self._incarnations[heartbeat.node] = heartbeat.incarnation
        for remembered in (self._superseded, self._incarnations):
            while len(remembered) > MAX_REMEMBERED_PROCESSES:
                del remembered[next(iter(remembered))]
        log_state_change(
            "router_heard",
            peer=heartbeat.node,
            incarnation=heartbeat.incarnation,
        )
        return True

    def is_superseded(self, incarnation: str) -> bool:
        """Returns whether a later process replaced this one on its VM.

        True only if heartbeats of the given process arrived before those of the
        other one: without them the order of the two is unknown.
        """
        return incarnation in self._superseded

    def _handle_router_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> None:
        """Handles a heartbeat that covers only its sender."""
        self.peers[heartbeat.ip] = Peer(heartbeat, now)
        self.relays.record_reported_relays(heartbeat.relays)
        if not self.uses_relays and heartbeat.fleet > self._board.live_routers:
            # The sender has known the fleet for longer. In a large fleet only
            # aggregates count, so that routers do not return one another's
            # counts forever.
            self._reported_fleet_size = heartbeat.fleet
            self._fleet_reported_at_seconds = now
        is_local = heartbeat.data_centre == self._board.settings.data_centre
        if self.uses_relays and not (is_local and self.relays.is_relay):
            self._send_referral(heartbeat, now)
        if is_local or not self.uses_relays:
            self._apply_counts(heartbeat.node, heartbeat, now)
        if heartbeat.claims:
            self._apply_opening_times(heartbeat)

    def _send_referral(self, heartbeat: Heartbeat, now: float) -> None:
        """Sends known relays and routers to a router that lacks its relay.

        Args:
            heartbeat: Heartbeat of the router that searches for its relay.
            now: Loop time in seconds.
        """
        if heartbeat.relays.get(heartbeat.data_centre) or heartbeat.ip == (
            self.relays.relay_ip(now)
        ):
            return
        if not self._address_book.allow_probe(heartbeat.ip, now):
            return
        answer = self._make_heartbeat(now)
        nearby = [
            ip
            for ip, peer in self.peers.items()
            if peer.heartbeat.data_centre == heartbeat.data_centre
            and ip != heartbeat.ip
        ]
        answer.known = self._board.rng.sample(
            nearby, min(MAX_KNOWN_ADDRESSES, len(nearby))
        )
        self._send(answer, [heartbeat.ip])

    def _handle_summary(self, heartbeat: Heartbeat, now: float) -> None:
        """Handles the summary of a data centre, sent by its relay."""
        self.relays.record_remote_relay(
            heartbeat.data_centre, _rank_of(heartbeat), now_seconds=now
        )
        self._summaries[heartbeat.data_centre] = Peer(heartbeat, now)
        if self.relays.is_relay:
            self._apply_counts(heartbeat.data_centre, heartbeat, now)
            self._change_tracker.apply(heartbeat.changes)

    def _apply_counts(
        self, name: str, heartbeat: Heartbeat, now: float
    ) -> None:
        """Applies the counts and observations of a router or data centre.

        Args:
            name: Name of the router or data centre.
            heartbeat: Its heartbeat or summary.
            now: Loop time in seconds.
        """
        board = self._board
        board.loads.apply_peer_report(name, heartbeat.loads, now_seconds=now)
        board.waiting_elsewhere[name] = heartbeat.waiting
        board.demand.apply_peer_report(name, heartbeat.demand)
        self._apply_observations(heartbeat, now)

    def _apply_observations(self, heartbeat: Heartbeat, now: float) -> None:
        """Applies reported failures, losses and stalls of runners."""
        board = self._board
        board.runner_health.apply_peer_report(
            failing=heartbeat.failing, silent=heartbeat.silent, now_seconds=now
        )
        answered_ages_seconds = {
            name: age_ms / 1000 for name, age_ms in heartbeat.cleared.items()
        }
        board.crashes.apply_peer_report(
            heartbeat.losses, answered_ages_seconds, now
        )
        board.crash_attribution.apply_peer_report(
            [
                CrashReport(name, age_seconds=age_ms / 1000, parts=parts)
                for name, (age_ms, parts) in heartbeat.crashes.items()
            ],
            answered_ages_seconds,
            now,
        )
        for runner_id, started_at_ms in heartbeat.leaving.items():
            record_leaving(board, (runner_id, started_at_ms), source="router")
        for runner_id, age_ms in heartbeat.stalled.items():
            board.runner_health.mark_suspected(runner_id, now - age_ms / 1000)

    def _apply_opening_times(self, heartbeat: Heartbeat) -> None:
        """Records when the next group of each model can serve requests."""
        self._board.next_group_opens_in_seconds = {
            model: left_ms / 1000
            for model, left_ms in heartbeat.opening.items()
        }

    def _handle_digest(self, heartbeat: Heartbeat, now: float) -> bool:
        """Handles a digest of the whole fleet from the local relay.

        Returns:
            Whether the sender was accepted as this data centre's relay.
        """
        board = self._board
        local_data_centre = board.settings.data_centre
        if heartbeat.data_centre != local_data_centre:
            return False
        if not self.relays.record_local_relay(
            _rank_of(heartbeat), successor=heartbeat.successor, now_seconds=now
        ):
            # A relay sends its digests to such rivals, so that they stop.
            self._rival_relays[heartbeat.ip] = now
            return False
        self.relays.record_reported_relays(heartbeat.relays)
        for ip in heartbeat.known:
            self.record_address(ip, local_data_centre)
        self._reported_fleet_size = heartbeat.routers
        self._fleet_reported_at_seconds = now
        if self.relays.is_relay:
            return True
        last_sent = self._last_sent
        board.loads.apply_peer_report(
            FLEET_SOURCE,
            subtract_local(
                heartbeat.loads, last_sent.loads if last_sent else {}
            ),
            now_seconds=now,
        )
        board.waiting_elsewhere = {
            FLEET_SOURCE: subtract_local(
                heartbeat.waiting, last_sent.waiting if last_sent else {}
            )
        }
        others = dict(heartbeat.demand)
        for model, slots in (last_sent.demand if last_sent else {}).items():
            others[model] = max(0.0, others.get(model, 0.0) - slots)
        board.demand.replace_peer_reports(FLEET_SOURCE, others)
        self._apply_observations(heartbeat, now)
        self._apply_opening_times(heartbeat)
        counts = aggregate_retry_counts([heartbeat])
        if last_sent is not None:
            for service, (
                first_attempts,
                retry_attempts,
            ) in last_sent.retries.items():
                if service in counts:
                    counts[service].add(
                        RetryCounts(-first_attempts, -retry_attempts)
                    )
        board.retries.allocate_unused(
            counts, routers=board.live_routers, now_seconds=now
        )
        self._change_tracker.apply(heartbeat.changes)
        return True

    # Sending.

    def tick(self) -> None:
        """Sends due heartbeats and forgets routers that fell silent.

        In a large fleet it also decides whether this router is a relay or a
        member. Called at intervals of `HEARTBEAT_INTERVAL_SECONDS`.
        """
        board = self._board
        now = board.now()
        self._expire_peers(now)
        board.live_routers = self._recent_router_count.update(
            self._estimate_router_count(now), now
        )
        if self._transport is None:
            return
        if not self.uses_relays:
            self.relays.is_relay = False
            self._allocate_retry_budget(now)
            self._send(self._make_heartbeat(now), self._mesh_targets(now))
            return
        was_relay = self.relays.is_relay
        settings = board.settings
        is_relay = self.relays.update_role(
            RelayRank(
                settings.ip,
                holds_duty=settings.data_centre in self.duty_status().claims,
                capacity=self._capacity(),
            ),
            fittest=self._is_best_candidate(now),
            now_seconds=now,
        )
        if is_relay != was_relay:
            self._reset_for_role(is_relay)
        interval_seconds = relay_interval_seconds(board.live_routers)
        # The ticks come a little late, so that half of one is allowed for.
        if now - self._sent_at_seconds < (
            interval_seconds - HEARTBEAT_INTERVAL_SECONDS / 2
        ):
            return
        self._sent_at_seconds = now
        if is_relay:
            self._send_aggregates(now)
            return
        heartbeat = self._make_heartbeat(now)
        self._last_sent = heartbeat
        self._send(heartbeat, self._member_targets(now))

    def _reset_for_role(self, is_relay: bool) -> None:
        """Drops counts that were received in the previous role.

        Relays keep the counts of each local router and each other data centre
        apart; members keep one count for the rest of the fleet.

        Args:
            is_relay: Whether this router is a relay from now on.
        """
        board = self._board
        log_state_change(
            "relay_begun" if is_relay else "relay_ended",
            data_centre=board.settings.data_centre,
        )
        board.waiting_elsewhere.clear()
        board.loads.drop_all_peers()
        board.demand.drop_peer_reports()
        self._last_sent = None

    def _expire_peers(self, now: float) -> None:
        """Forgets routers and data centres that have been silent too long."""
        board = self._board
        for ip, peer in list(self.peers.items()):
            if now - peer.received_at_seconds > PEER_EXPIRY_SECONDS:
                log_state_change("router_silent", peer=peer.heartbeat.node)
                self._drop_counts(peer.heartbeat.node)
                del self.peers[ip]
        for data_centre, peer in list(self._summaries.items()):
            if now - peer.received_at_seconds > PEER_EXPIRY_SECONDS:
                log_state_change("relay_silent", data_centre=data_centre)
                self._drop_counts(data_centre)
                del self._summaries[data_centre]
        board.loads.drop_stale_peers(now)

    def _drop_counts(self, name: str) -> None:
        """Drops the reported demand and queue of a router or data centre."""
        self._board.demand.remove_peer_report(name)
        self._board.waiting_elsewhere.pop(name, None)

    def _estimate_router_count(self, now: float) -> int:
        """Returns how many routers may be alive, this one included."""
        listed = self._address_book.count()
        count = listed
        if now - self._fleet_reported_at_seconds < PEER_EXPIRY_SECONDS:
            count = max(count, self._reported_fleet_size)
        if not self._summaries:
            return max(count, 1 + len(self.peers))
        remote = sum(
            peer.heartbeat.routers for peer in self._summaries.values()
        )
        return max(count, 1 + len(self._local_peers()) + remote)

    def should_yield_duties(self) -> bool:
        """Returns whether this router should release its duties to another.

        It should if it is too slow and another router is not. If all are slow,
        a slow holder is better than none.
        """
        now = self._board.now()
        if self.is_fit():
            return False
        candidates = (
            self._local_peers() if self.uses_relays else self.peers.values()
        )
        return any(
            peer.heartbeat.capacity > 0 and peer.is_fresh(now)
            for peer in candidates
        )

    def may_acquire_duty(self) -> bool:
        """Returns whether this router may acquire its data centre's duty.

        Only the relay may, so that not all routers call the store at once. If
        no relay has been active for a while, any router may.
        """
        silence_seconds = self.relays.silence_seconds(self._board.now())
        return self.relays.is_relay or silence_seconds >= RELAY_FALLBACK_SECONDS

    def has_remote_relay(self, data_centre: str) -> bool:
        """Returns whether the relay of another data centre is live."""
        return self.relays.has_active_relay(data_centre, self._board.now())

    def count_direct_routers(self) -> int:
        """Returns how many routers send heartbeats to this one, plus itself.

        In a large fleet these are the known routers of this data centre and,
        for a relay, one relay of each other data centre.
        """
        if not self.uses_relays:
            return self._board.live_routers
        return 1 + len(self._local_peers()) + len(self._summaries)

    def _local_peers(self) -> list[Peer]:
        """Returns the unexpired routers of the local data centre."""
        local_data_centre = self._board.settings.data_centre
        return [
            peer
            for peer in self.peers.values()
            if peer.heartbeat.data_centre == local_data_centre
        ]

    def _allocate_retry_budget(self, now: float) -> dict[str, RetryCounts]:
        """Allocates this router's part of the fleet's unused retry budget.

        Routers that fell silent count until they expire: their attempts still
        lie within the window of the budget.

        Returns:
            First attempts and retries of the other routers, by service.
        """
        others = aggregate_retry_counts(
            peer.heartbeat
            for peer in [*self.peers.values(), *self._summaries.values()]
        )
        self._board.retries.allocate_unused(
            others, routers=self._board.live_routers, now_seconds=now
        )
        return others

    def _send_aggregates(self, now: float) -> None:
        """Sends the digest to local routers and the summary to other relays."""
        self._allocate_retry_budget(now)
        changes = self._change_tracker.changes_since_last_digest()
        local = self._local_peers()
        summary = aggregate_data_centre(
            self._make_heartbeat(now), local, now_seconds=now
        )
        summary.changes = changes
        self._send(summary, sorted(self.relays.remote_relays().values()))
        digest = aggregate_fleet(
            self._make_heartbeat(now),
            local,
            list(self._summaries.values()),
            now_seconds=now,
        )
        self._apply_opening_times(digest)
        digest.routers = self._board.live_routers
        digest.watches = summary.watches or self.has_active_watcher(now)
        digest.changes = changes
        targets = {peer.heartbeat.ip for peer in local}
        targets.update(self._rival_relay_ips(now))
        if now - self._searched_at_seconds >= RELAY_SEARCH_SECONDS:
            # Routers of this data centre that do not know this relay may act as
            # relays too.
            self._searched_at_seconds = now
            unknown = (
                self._address_book.candidate_ips(local_only=True) - targets
            )
            targets.update(self._address_book.select_probes(unknown, now))
        self._send(digest, sorted(targets))

    def _rival_relay_ips(self, now: float) -> set[str]:
        """Returns addresses of routers that may also act as this one's relay.

        These are the senders of recent digests that this router rejected, since
        it or its relay outranks them, and the relay of this data centre that
        other routers or the store named.
        """
        rivals = {
            ip
            for ip, received_at_seconds in self._rival_relays.items()
            if now - received_at_seconds <= PEER_TIMEOUT_SECONDS
        }
        reported_ip = self.relays.reported_relay_ip()
        return {*rivals, reported_ip} if reported_ip else rivals

    def _is_best_candidate(self, now: float) -> bool:
        """Returns whether no live router here has more capacity for duties.

        Ties are broken by address.
        """
        settings = self._board.settings
        own_key = (self._capacity(), settings.ip)
        for ip, peer in self.peers.items():
            if peer.heartbeat.data_centre != settings.data_centre:
                continue
            if peer.is_fresh(now) and (peer.heartbeat.capacity, ip) > own_key:
                return False
        return True

    def _capacity(self) -> int:
        """Returns the capacity for duties; 0 while stopping or unfit."""
        if self._board.stopping or not self.is_fit():
            return 0
        return self._board.settings.capacity

    def _send(self, heartbeat: Heartbeat, ips: list[str]) -> None:
        """Sends a message to all given addresses but this router's."""
        if self._transport is None:
            return
        data = heartbeat.to_bytes()
        for ip in ips:
            if ip != self._board.settings.ip:
                address = (ip, self._board.settings.peer_port)
                self._transport.sendto(data, address)

    def _mesh_targets(self, now: float) -> list[str]:
        """Returns where to send heartbeats in a small fleet, without relays.

        These are all live routers, and some known addresses that sent no
        heartbeat lately, in case a router runs there.
        """
        fresh = [ip for ip, peer in self.peers.items() if peer.is_fresh(now)]
        return fresh + self._address_book.select_probes(
            self._address_book.candidate_ips(local_only=False) - set(fresh), now
        )

    def _member_targets(self, now: float) -> list[str]:
        """Returns where a member of a large fleet sends heartbeats.

        That is the local relay. Without a live one these are the relay that
        other routers or the store named and the successor that the last relay
        named, and every `RELAY_SEARCH_SECONDS` some routers that may know the
        relay.
        """
        relay = self.relays.relay_ip(now)
        if relay:
            return [relay]
        likely = [
            ip
            for ip in (self.relays.reported_relay_ip(), self.relays.successor)
            if ip and ip != self._board.settings.ip
        ]
        if now - self._searched_at_seconds < RELAY_SEARCH_SECONDS:
            return likely
        self._searched_at_seconds = now
        return likely + self._address_book.select_probes(
            self._address_book.candidate_ips(local_only=True) - set(likely), now
        )

    # Watches on the store.

    def has_active_watcher(self, now: float, *, before: str = "") -> bool:
        """Returns whether a live router watches the store for others.

        Args:
            now: Loop time in seconds.
            before: If given, only routers whose names sort before it count.
        """
        return self._store_watchers.has_active(
            now, is_member=self._is_member, before=before
        )

    def active_watchers(self, now: float) -> list[str]:
        """Returns the routers that are believed to watch the store for others.

        Args:
            now: Loop time in seconds.
        """
        return sorted(
            self._store_watchers.active(now, is_member=self._is_member)
        )

    def _make_heartbeat(self, now: float) -> Heartbeat:
        """Returns the current heartbeat of this router alone."""
        known = list(self.peers)
        if self.uses_relays:
            known = [ip for ip in known if self._address_book.is_local(ip)]
        if len(known) > MAX_KNOWN_ADDRESSES:
            known = self._board.rng.sample(known, MAX_KNOWN_ADDRESSES)
        heartbeat = make_local_heartbeat(
            self._board,
            duty_status=self.duty_status(),
            incarnation=self.incarnation,
            capacity=self._capacity(),
            revisions={
                name: feed.changed_revision
                for name, feed in self._feeds.items()
            },
            known=known,
            relays=self.relays.all_relays(now),
            now_seconds=now,
        )
        heartbeat.versions = {
            name: feed.version
            for name, feed in self._feeds.items()
            if feed.version
        }
        heartbeat.ages = {
            name: (math.ceil(feed.age_seconds() * 1000), feed.checksum)
            for name, feed in self._feeds.items()
            if feed.confirmed_at_seconds is not None
        }
        return heartbeat


def _rank_of(heartbeat: Heartbeat) -> RelayRank:
    """Returns the rank of the relay that sent a summary or digest.

    Args:
        heartbeat: The summary or digest.
    """
    lease = heartbeat.claims.get(heartbeat.data_centre)
    return RelayRank(
        heartbeat.ip,
        holds_duty=lease is not None and lease[0] == heartbeat.incarnation,
        capacity=heartbeat.capacity,
    )
