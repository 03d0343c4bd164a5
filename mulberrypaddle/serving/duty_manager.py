"""Acquires, renews and releases the leases of this router's duties.

A duty is the leadership of one data centre's groups, held by a lease on an
object in the store; the router that holds it is the duty's owner. In a small
fleet one router acquires all duties. In a large one the relay of each data
centre acquires the duty of its own data centre, and a router that already owns
one also acquires the duties of data centres without a live relay.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.replicas.ownership import (
    RENEWAL_INTERVAL_SECONDS,
    OutageDecision,
    OwnerRecord,
    StoreReachability,
    decide_on_outage,
)
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.duty import Duty, OwnerClaim, boottime_seconds
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.store_era import era_of, is_restored_between

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.heartbeat import Heartbeat
    from mulberrypaddle.serving.peer_exchange import PeerExchange
    from mulberrypaddle.serving.store import Listing, ObjectStore, StoredItem

# Pause between two checks of the duties.
CHECK_INTERVAL_SECONDS = 0.25

# Time without a claim of a duty's owner after which this router reads the lease
# from the store and may try to acquire it. The longer time applies to duties of
# other data centres in a large fleet: the routers there have priority.
OWNER_SILENCE_SECONDS = 0.6
REMOTE_OWNER_SILENCE_SECONDS = 2.0

# Longest pause between two reads of the leases from the store while some owner
# is silent. In fleets of more than READ_INTERVAL_ROUTERS routers it grows in
# proportion to their number, except for relays.
READ_INTERVAL_SECONDS = 0.5
READ_INTERVAL_ROUTERS = 12

# Random delay of a router's first attempt to acquire duties, so that routers
# which start together do not collide, and the extra delay on VMs whose
# configured capacity for duties is below LOW_CAPACITY.
FIRST_ATTEMPT_SPREAD_SECONDS = 0.2
LOW_CAPACITY_DELAY_SECONDS = 0.5
LOW_CAPACITY = 60

# Timeouts of a renewal, and of a probe of the store on an owner's behalf. The
# store answers in 4 ms, in 0.25 s when it is slow; the lease leaves no time for
# much longer timeouts.
RENEWAL_TIMEOUT_SECONDS = 0.7
PROBE_TIMEOUT_SECONDS = 0.5

# Time that a renewal has been pending after which the owner asks the other
# routers to probe the store, after which it may extend the lease if they can't
# reach the store either, and after which it resigns if one of them can.
ASK_PEERS_AFTER_SECONDS = 0.25
CONSENT_AFTER_SECONDS = 0.5
HAND_OVER_AFTER_SECONDS = 1.0

# Time for which an owner tries to renew once more after it has learned that
# other routers reach the store: the store may have come back for all.
LAST_RENEWAL_SECONDS = 0.6

# Age up to which the result of the last call to the store is reported to other
# routers.
MAX_OBSERVATION_AGE_SECONDS = 2.5

# Time without a heartbeat of a router after which its last report about the
# store is ignored.
PEER_SILENCE_SECONDS = 1.0

# Least time between two probes of the store on behalf of owners.
PROBE_INTERVAL_SECONDS = 1.0


class _PeerObservation:
    """Whether another router reached the store, as it last reported.

    Attributes:
        received_at_seconds: When the report was received.
    """

    __slots__ = ("_observed_at_seconds", "_reachability", "received_at_seconds")

    def __init__(
        self,
        reachability: StoreReachability,
        *,
        observed_at_seconds: float,
        received_at_seconds: float,
    ) -> None:
        self._reachability = reachability
        self._observed_at_seconds = observed_at_seconds
        self.received_at_seconds = received_at_seconds

    def reachability_since(self, since_seconds: float) -> StoreReachability:
        """Returns the reported result; UNKNOWN if it is older than a time."""
        if self._observed_at_seconds < since_seconds:
            return StoreReachability.UNKNOWN
        return self._reachability


def _is_refused(result: Result[StoredItem, Problem]) -> bool:
    """Returns whether a write was refused since its object is another one.

    The object is missing if it was created after the copy from which the store
    was restored.
    """
    return not isinstance(result, Success) and result.failure().kind in (
        ErrorKind.CONFLICT,
        ErrorKind.NOT_FOUND,
    )


def _is_undone(item: StoredItem | None, record: OwnerRecord | None) -> bool:
    """Returns whether a lease object proves nothing since a restore.

    It is absent, or its record was sent in an earlier era.

    Args:
        item: The lease object; None if there is none.
        record: Its content; None if it is absent or invalid.
    """
    if item is None:
        return True
    return record is not None and record.was_sent_before(item.revision)


def _find_item(listing: Listing, name: str) -> StoredItem | None:
    """Returns an object of a list; None if there is none of that name."""
    for item in listing.items:
        if item.name == name:
            return item
    return None


class DutyManager:
    """Tracks the owners of all duties, and renews this router's leases.

    Attributes:
        duties: All duties, by data centre.
        on_acquired: Called each time this router has acquired a duty.
    """

    def __init__(
        self, board: Blackboard, store: ObjectStore, peers: PeerExchange
    ) -> None:
        self._board = board
        self._store = store
        self._peers = peers
        # Times are by `boottime_seconds`; 0.0 is before the first such event.
        self._next_read_at_seconds = 0.0
        self._store_reached_at_seconds = 0.0
        self._store_failed_at_seconds = 0.0
        self._probed_at_seconds = 0.0
        # Last report about the store of each other router, by its name.
        self._peer_observations: dict[str, _PeerObservation] = {}
        # Revision of the lease object up to which a process has resigned from
        # a duty, by process and duty.
        self._resigned_revisions: dict[tuple[str, str], int] = {}
        self.duties = {name: Duty(name) for name in board.settings.data_centres}
        self.on_acquired: Callable[[], None] = lambda: None

    @property
    def renewal_overdue(self) -> bool:
        """Returns whether a renewal is pending for too long.

        Other routers are then asked to probe the store.
        """
        return any(
            duty.renewal_pending_seconds() >= ASK_PEERS_AFTER_SECONDS
            for duty in self.duties.values()
        )

    def holds_any_lease(self) -> bool:
        """Returns whether this router holds a valid lease on some duty."""
        return any(duty.holds_lease() for duty in self.duties.values())

    @property
    def first_duty(self) -> Duty:
        """Returns the first duty by name; its owner serves the whole fleet."""
        return self.duties[min(self.duties)]

    def holds_first_duty(self) -> bool:
        """Returns whether this router holds the first duty by name.

        At most one router of the fleet does.
        """
        return self.first_duty.holds_lease()

    def fences(self) -> dict[str, int]:
        """Returns the fencing token of each duty that this router holds."""
        return {
            name: duty.ownership.fencing_token
            for name, duty in self.duties.items()
            if duty.holds_lease()
        }

    def next_epoch(self, name: str) -> int:
        """Returns an epoch for a new group, higher than any issued before."""
        return self.duties[name].ownership.next_epoch()

    def claims(self) -> dict[str, tuple[str, int, int]]:
        """Returns this router's valid leases, to be sent in heartbeats.

        Returns:
            Id of this process, the number of its record and the milliseconds
            left on the lease, by duty.
        """
        claims: dict[str, tuple[str, int, int]] = {}
        for name, duty in self.duties.items():
            left_seconds = duty.lease_left_seconds()
            if left_seconds > 0:
                claims[name] = (
                    self._peers.incarnation,
                    duty.ownership.renewals,
                    int(left_seconds * 1000),
                )
        return claims

    def resigned(self) -> dict[str, int]:
        """Returns the revision up to which this process resigned, by duty.

        Duties that it never resigned from are left out.
        """
        return {
            name: duty.resigned_revision
            for name, duty in self.duties.items()
            if duty.resigned_revision
        }

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records the leases, resignations and store access in a heartbeat.

        If the sender asks for it, this router probes the store.
        """
        now = boottime_seconds()
        for process, revisions in heartbeat.resigned.items():
            for name, revision in revisions.items():
                key = (process, name)
                known = self._resigned_revisions.get(key, 0)
                self._resigned_revisions[key] = max(known, revision)
        if (
            heartbeat.asks_for_store
            and now - self._probed_at_seconds >= PROBE_INTERVAL_SECONDS
        ):
            self._probed_at_seconds = now
            self._board.supervisor.start("store probe", self._probe_store())
        self._peer_observations[heartbeat.node] = _PeerObservation(
            StoreReachability(heartbeat.store_sight),
            observed_at_seconds=now - heartbeat.store_sight_age_ms / 1000,
            received_at_seconds=now,
        )
        for name, (incarnation, renewals, left_ms) in heartbeat.claims.items():
            duty = self.duties.get(name)
            if duty is None or incarnation == self._peers.incarnation:
                continue
            duty.record_claim(
                OwnerClaim(
                    incarnation,
                    renewals=renewals,
                    lease_end_seconds=now + left_ms / 1000,
                )
            )

    def store_reachability(self) -> StoreReachability:
        """Returns the result of this router's last call to the store.

        UNKNOWN if that call is too long ago.
        """
        if self.store_call_age_seconds() > MAX_OBSERVATION_AGE_SECONDS:
            return StoreReachability.UNKNOWN
        if self._store_reached_at_seconds > self._store_failed_at_seconds:
            return StoreReachability.REACHABLE
        return StoreReachability.UNREACHABLE

    def store_call_age_seconds(self) -> float:
        """Returns how long ago the last call to the store ended."""
        return boottime_seconds() - max(
            self._store_reached_at_seconds, self._store_failed_at_seconds
        )

    def tick(self) -> None:
        """Handles leases whose renewal is pending for too long.

        Depending on the reports of other routers, such a lease is extended or
        this router resigns from the duty.
        """
        for duty in self.duties.values():
            waited_seconds = duty.renewal_pending_seconds()
            if waited_seconds >= CONSENT_AFTER_SECONDS:
                self._handle_renewal_outage(duty, waited_seconds)

    def _handle_renewal_outage(self, duty: Duty, waited_seconds: float) -> None:
        """Extends the lease or resigns, depending on other routers' reports.

        The lease is extended if they cannot reach the store either; this router
        resigns if one of them can and one more renewal fails.

        Args:
            duty: Duty whose renewal is pending.
            waited_seconds: How long the renewal has been pending. Only reports
                about calls to the store since then count.
        """
        now = boottime_seconds()
        since_seconds = now - waited_seconds
        reports = {
            node: observation.reachability_since(since_seconds)
            for node, observation in self._peer_observations.items()
            if now - observation.received_at_seconds <= PEER_SILENCE_SECONDS
        }
        verdict = decide_on_outage(
            list(reports.values()), routers=self._peers.count_direct_routers()
        )
        if verdict is OutageDecision.GO_ON:
            duty.ownership.extend_by_consent(now)
            return
        if verdict is OutageDecision.HAND_OVER:
            if duty.others_reached_at_seconds is None:
                duty.others_reached_at_seconds = now
                # The next check renews.
                duty.last_write_at_seconds = 0.0
            if now - duty.others_reached_at_seconds < LAST_RENEWAL_SECONDS:
                return
        if waited_seconds < HAND_OVER_AFTER_SECONDS or not duty.holds_lease():
            return
        if verdict is OutageDecision.HAND_OVER:
            duty.resign()
            log_state_change(
                "ownership_handed_over",
                duty=duty.name,
                reason="other routers reach the store",
                who=[
                    node
                    for node, report in reports.items()
                    if report is StoreReachability.REACHABLE
                ],
                waited_seconds=round(waited_seconds, 2),
            )

    async def _probe_store(self) -> None:
        """Calls the store and records whether it answered."""
        try:
            read = await asyncio.wait_for(
                self._store.list(Collection.DUTIES), PROBE_TIMEOUT_SECONDS
            )
        except TimeoutError:
            self._record_store_result(reachable=False)
            return
        self._record_store_result(reachable=isinstance(read, Success))

    def _record_store_result(self, *, reachable: bool) -> None:
        """Records the time and the result of a call to the store."""
        if reachable:
            self._store_reached_at_seconds = boottime_seconds()
        else:
            self._store_failed_at_seconds = boottime_seconds()

    async def run(self) -> None:
        """Acquires and renews leases of duties until the task is cancelled."""
        wait_seconds = self._board.rng.uniform(0, FIRST_ATTEMPT_SPREAD_SECONDS)
        if self._board.settings.capacity < LOW_CAPACITY:
            wait_seconds += LOW_CAPACITY_DELAY_SECONDS
        await asyncio.sleep(wait_seconds)
        while True:
            if not self._board.stopping:
                await self._renew_and_acquire()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _release_remote_duties(self) -> None:
        """Releases duties of other data centres that have a live relay.

        That relay then acquires the duty. In a small fleet nothing happens: one
        router owns all duties.
        """
        if not self._peers.uses_relays:
            return
        for name, duty in self.duties.items():
            if (
                name == self._board.settings.data_centre
                or not duty.holds_lease()
            ):
                continue
            if self._peers.has_remote_relay(name):
                await self._release(duty)
                # The relay of that data centre is about to acquire it.
                duty.owner_seen_at_seconds = boottime_seconds()

    async def release_all(self, *, only: str | None = None) -> None:
        """Releases the duties that this router holds, or only one of them.

        Called when the process ends, or is too slow to form and repair groups
        of runners, or when the platform knows of a later holder.

        Other routers learn of it from the store or, if the write fails, from
        the resignations in this router's heartbeats.
        """
        await asyncio.gather(
            *(
                self._release(duty)
                for duty in self.duties.values()
                if duty.holds_lease() and only in (None, duty.name)
            )
        )

    async def _release(self, duty: Duty) -> None:
        """Resigns from a duty, then marks its lease object as released."""
        record = self._make_record(
            duty.ownership.next_renewals(boottime_seconds()),
            era=era_of(duty.ownership.revision),
            given_up=True,
        )
        lease_end_seconds = boottime_seconds() + duty.lease_left_seconds()
        revision = duty.resign()
        result = await self._store.replace(
            Collection.DUTIES, duty.name, record.to_value(), revision=revision
        )
        if _is_refused(result):
            result = await self._release_restored(
                duty,
                result,
                revision=revision,
                lease_end_seconds=lease_end_seconds,
            )
        log_state_change(
            "ownership_given_up",
            duty=duty.name,
            written=isinstance(result, Success),
        )

    async def _release_restored(
        self,
        duty: Duty,
        refusal: Result[StoredItem, Problem],
        *,
        revision: int,
        lease_end_seconds: float,
    ) -> Result[StoredItem, Problem]:
        """Releases a lease that a restore has undone and that still runs.

        Args:
            duty: The duty that this router has resigned from.
            refusal: Result of the release, which was refused.
            revision: Revision of this router's last write of the lease.
            lease_end_seconds: When the lease ends, by `boottime_seconds`.

        Returns:
            The result of the release; `refusal` if no restore explains it.
        """
        listed = await self._store.list(Collection.DUTIES)
        if not isinstance(listed, Success):
            return refusal
        listing = listed.unwrap()
        item = _find_item(listing, duty.name)
        record = self._decode_record(item)
        now = boottime_seconds()
        if (
            duty.owned
            or now >= lease_end_seconds
            or not is_restored_between(revision, listing.revision)
            or not _is_undone(item, record)
        ):
            return refusal
        return await self._write_claim(
            duty,
            item,
            renewals=duty.ownership.next_renewals(now),
            list_revision=listing.revision,
            given_up=True,
        )

    async def _renew_and_acquire(self) -> None:
        """Renews leases that are due, and tries to acquire ownerless duties."""
        await self._release_remote_duties()
        now = boottime_seconds()
        due = [
            duty
            for duty in self.duties.values()
            if duty.owned
            and now - duty.last_write_at_seconds >= RENEWAL_INTERVAL_SECONDS
        ]
        await asyncio.gather(*(self._renew(duty) for duty in due))
        if now < self._next_read_at_seconds:
            return
        candidates = [
            duty
            for duty in self.duties.values()
            if self._should_try_acquire(duty)
        ]
        if not candidates:
            return
        pause_seconds = READ_INTERVAL_SECONDS
        if not self._peers.relays.is_relay:
            pause_seconds *= max(
                1.0, self._board.live_routers / READ_INTERVAL_ROUTERS
            )
        self._next_read_at_seconds = (
            now + pause_seconds * self._board.rng.uniform(0.5, 1.0)
        )
        await self._try_acquire(candidates)

    def _should_try_acquire(self, duty: Duty) -> bool:
        """Returns whether this router should try to acquire a duty now."""
        if duty.owned or self._peers.should_yield_duties():
            return False
        silence_seconds = boottime_seconds() - duty.owner_seen_at_seconds
        if silence_seconds < OWNER_SILENCE_SECONDS:
            return False
        owns_some = any(other.owned for other in self.duties.values())
        if self._peers.uses_relays:
            if duty.name == self._board.settings.data_centre:
                return self._peers.may_acquire_duty()
            if self._peers.has_remote_relay(duty.name):
                return False
            return owns_some and silence_seconds >= REMOTE_OWNER_SILENCE_SECONDS
        return owns_some or not self._has_other_active_owner()

    def _has_other_active_owner(self) -> bool:
        """Returns whether another router sent a claim of any duty lately."""
        now = boottime_seconds()
        return any(
            not duty.owned
            and now - duty.owner_seen_at_seconds < OWNER_SILENCE_SECONDS
            for duty in self.duties.values()
        )

    async def _renew(self, duty: Duty) -> None:
        """Renews the lease of a duty and records the result."""
        sent_at_seconds = boottime_seconds()
        duty.last_write_at_seconds = sent_at_seconds
        renewals = duty.ownership.next_renewals(sent_at_seconds)
        if duty.renewal_pending_since_seconds is None:
            duty.renewal_pending_since_seconds = sent_at_seconds
            duty.others_reached_at_seconds = None
        result = await self._write_renewal(duty, renewals)
        if not duty.owned:
            # This router resigned while it waited for the answer.
            return
        if isinstance(result, Success):
            duty.record_renewed(
                result.unwrap().revision,
                renewals=renewals,
                sent_at_seconds=sent_at_seconds,
            )
            self._record_store_result(reachable=True)
            return
        problem = result.failure()
        if _is_refused(result):
            await self._resolve_conflict(duty)
            return
        self._record_store_result(reachable=False)
        log_state_change(
            "renewal_failed", duty=duty.name, reason=problem.detail
        )

    async def _write_renewal(
        self, duty: Duty, renewals: int
    ) -> Result[StoredItem, Problem]:
        """Writes one renewal; fails if the store does not answer in time."""
        revision = duty.ownership.revision
        record = self._make_record(renewals, era=era_of(revision))
        return await self._await_renewal(
            self._store.replace(
                Collection.DUTIES,
                duty.name,
                record.to_value(),
                revision=revision,
            )
        )

    async def _await_renewal(
        self, write: Coroutine[Any, Any, Result[StoredItem, Problem]]
    ) -> Result[StoredItem, Problem]:
        """Awaits a write that renews a lease, for a limited time."""
        try:
            return await asyncio.wait_for(write, RENEWAL_TIMEOUT_SECONDS)
        except TimeoutError:
            # The write may still take effect; the next renewal then fails with
            # a conflict.
            return Failure(
                Problem(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"renewal timed out after {RENEWAL_TIMEOUT_SECONDS} s",
                    ran=Ran.UNKNOWN,
                )
            )

    async def _resolve_conflict(self, duty: Duty) -> None:
        """Handles a renewal that was refused because of its revision.

        Either an earlier renewal of this router took effect although its
        answer was lost, or the store was restored, or another router acquired
        the duty.
        """
        listed = await self._store.list(Collection.DUTIES)
        if not isinstance(listed, Success) or not duty.owned:
            return
        listing = listed.unwrap()
        item = _find_item(listing, duty.name)
        record = self._decode_record(item)
        restored = is_restored_between(
            duty.ownership.revision, listing.revision
        )
        if (
            item is not None
            and record is not None
            and not restored
            and not record.given_up
            and not record.was_sent_before(item.revision)
            and record.incarnation == self._peers.incarnation
        ):
            # The lease runs from when the earlier renewal was sent, and may
            # have ended since.
            duty.record_renewed(
                item.revision,
                renewals=record.renewals,
                sent_at_seconds=duty.ownership.sent_at_seconds(record.renewals),
            )
            # The next check renews it.
            duty.last_write_at_seconds = 0.0
            return
        if duty.holds_lease() and self._may_reassert(item, record):
            await self._reassert(duty, item, list_revision=listing.revision)
            return
        self._lose(duty, item, record, list_revision=listing.revision)

    def _may_reassert(
        self, item: StoredItem | None, record: OwnerRecord | None
    ) -> bool:
        """Returns whether a valid lease may be written to the store again.

        Another router can't have acquired the duty while the lease was valid,
        unless the store's record is one of the present era.

        Args:
            item: The lease object; None if there is none.
            record: Its content; None if it is absent or invalid.
        """
        if _is_undone(item, record):
            return True
        # An earlier reassertion took effect although its answer was lost.
        return (
            record is not None
            and record.incarnation == self._peers.incarnation
            and not record.given_up
        )

    async def _reassert(
        self, duty: Duty, item: StoredItem | None, *, list_revision: int
    ) -> None:
        """Writes this router's lease to a store that doesn't have it.

        Without an answer the lease runs on to its end, and the next renewal
        leads here again.

        Args:
            duty: The duty, on which this router holds a valid lease.
            item: Its lease object as just read; None if there is none.
            list_revision: Revision of the list in which it was read.
        """
        sent_at_seconds = boottime_seconds()
        duty.last_write_at_seconds = sent_at_seconds
        renewals = duty.ownership.next_renewals(sent_at_seconds)
        result = await self._await_renewal(
            self._write_claim(
                duty, item, renewals=renewals, list_revision=list_revision
            )
        )
        if not isinstance(result, Success):
            problem = result.failure()
            if not duty.owned:
                return
            if _is_refused(result):
                self._lose(duty, None, None, list_revision=list_revision)
                return
            log_state_change(
                "renewal_failed", duty=duty.name, reason=problem.detail
            )
            return
        resigned = not duty.owned
        duty.record_acquired(
            result.unwrap().revision,
            renewals=renewals,
            sent_at_seconds=sent_at_seconds,
        )
        log_state_change(
            "ownership_reasserted",
            duty=duty.name,
            fence=duty.ownership.fencing_token,
            absent=item is None,
        )
        self._record_store_result(reachable=True)
        if resigned or self._board.stopping:
            await self._release(duty)
            return
        self.on_acquired()

    def _lose(
        self,
        duty: Duty,
        item: StoredItem | None,
        record: OwnerRecord | None,
        *,
        list_revision: int,
    ) -> None:
        """Records that this router has lost a duty.

        Args:
            duty: The duty.
            item: Its lease object as just read; None if it is unknown.
            record: Content of the object; None if it is unknown or invalid.
            list_revision: Revision of the list in which the object was read.
        """
        restored = is_restored_between(duty.ownership.revision, list_revision)
        duty.ownership.record_lost()
        if item is not None:
            self._observe_record(duty, item, record)
        log_state_change(
            "ownership_lost",
            duty=duty.name,
            owner=record.node if record else "nobody",
            restored=restored,
        )

    async def _try_acquire(self, candidates: list[Duty]) -> None:
        """Reads all leases from the store and tries to acquire some.

        Args:
            candidates: Duties to acquire if their lease is free.
        """
        listed = await self._store.list(Collection.DUTIES)
        self._record_store_result(reachable=isinstance(listed, Success))
        if not isinstance(listed, Success):
            return
        listing = listed.unwrap()
        items = {item.name: item for item in listing.items}
        self._record_relays(items)
        for duty in candidates:
            if self._board.stopping:
                return
            if duty.owned:
                continue
            if not await self._try_acquire_one(
                duty, items.get(duty.name), list_revision=listing.revision
            ):
                # Another router was faster and will acquire the rest too.
                break

    def _record_relays(self, items: dict[str, StoredItem]) -> None:
        """Records the addresses of relays, as named by the lease objects.

        In a large fleet the owner of a data centre's duty is its relay.
        """
        relays: dict[str, str] = {}
        for name, item in items.items():
            record = self._decode_record(item)
            if record is not None and not record.given_up:
                relays[name] = record.address.rpartition(":")[0]
        self._peers.relays.record_reported_relays(relays)

    async def _try_acquire_one(
        self, duty: Duty, item: StoredItem | None, *, list_revision: int
    ) -> bool:
        """Acquires a duty if its lease ended or its owner is gone.

        Args:
            duty: The duty.
            item: Its lease object as just read; None if there is none.
            list_revision: Revision of the list in which it was read.

        Returns:
            Whether to go on with other duties; False if the write failed,
            usually because another router was faster.
        """
        record = self._decode_record(item)
        if item is None:
            duty.ownership.observe_absence(
                revision=list_revision, now_seconds=boottime_seconds()
            )
        else:
            self._observe_record(duty, item, record)
        owner_ended = record is not None and self._has_owner_ended(
            record, duty=duty.name, revision=duty.ownership.revision
        )
        if not duty.may_acquire(owner_ended=owner_ended):
            return True
        sent_at_seconds = boottime_seconds()
        renewals = duty.ownership.next_renewals(sent_at_seconds)
        duty.last_write_at_seconds = sent_at_seconds
        result = await self._write_claim(
            duty, item, renewals=renewals, list_revision=list_revision
        )
        if not isinstance(result, Success):
            # The router that was faster is about to send a claim.
            duty.owner_seen_at_seconds = boottime_seconds()
            log_state_change(
                "ownership_not_taken",
                duty=duty.name,
                reason=result.failure().detail,
            )
            return False
        duty.record_acquired(
            result.unwrap().revision,
            renewals=renewals,
            sent_at_seconds=sent_at_seconds,
        )
        log_state_change(
            "ownership_taken",
            duty=duty.name,
            fence=duty.ownership.fencing_token,
            before=record.node if record else "nobody",
            ended=owner_ended,
        )
        if self._board.stopping:
            # `release_all` was called while this router wrote the lease.
            await self._release(duty)
            return False
        self.on_acquired()
        return True

    async def _write_claim(
        self,
        duty: Duty,
        item: StoredItem | None,
        *,
        renewals: int,
        list_revision: int,
        given_up: bool = False,
    ) -> Result[StoredItem, Problem]:
        """Writes this router's record, if nothing changed since a list.

        Args:
            duty: The duty.
            item: Its lease object in the list; None if there was none.
            renewals: Number of the record to be written.
            list_revision: Revision of the list.
            given_up: Whether this router releases the duty by the write.
        """
        era = era_of(list_revision)
        value = self._make_record(
            renewals, era=era, given_up=given_up
        ).to_value()
        if item is not None:
            return await self._store.replace(
                Collection.DUTIES, duty.name, value, revision=item.revision
            )
        result = await self._store.create(Collection.DUTIES, duty.name, value)
        if isinstance(result, Success):
            revision = result.unwrap().revision
            if era_of(revision) != era:
                # The absence was read before a restore.
                return Failure(
                    Problem(
                        ErrorKind.CONFLICT,
                        f"created in era {era_of(revision)}, sent in era {era}",
                    )
                )
        return result

    def _has_owner_ended(
        self, record: OwnerRecord, *, duty: str, revision: int
    ) -> bool:
        """Returns whether the owner's process has surely ended or resigned.

        Args:
            record: Content of the lease object.
            duty: Name of the duty.
            revision: Revision of the lease object.
        """
        if record.was_sent_before(revision):
            return False
        if record.incarnation == self._peers.incarnation:
            return True
        # A write of that process after its resignation is a new ownership.
        if (
            self._resigned_revisions.get((record.incarnation, duty), 0)
            >= revision
        ):
            return True
        if self._peers.is_superseded(record.incarnation):
            return True
        # Another process on this VM has ended, since this one runs now. For an
        # owner on another VM a refused connection would prove nothing: a
        # partitioned link may refuse connections too.
        host = record.address.rpartition(":")[0]
        return host == self._board.settings.ip

    def _observe_record(
        self, duty: Duty, item: StoredItem, record: OwnerRecord | None
    ) -> None:
        """Records the state of a lease object that was just read."""
        duty.ownership.observe(
            record, revision=item.revision, now_seconds=boottime_seconds()
        )

    def _decode_record(self, item: StoredItem | None) -> OwnerRecord | None:
        """Returns the content of a lease object; None if absent or invalid."""
        if item is None:
            return None
        return OwnerRecord.from_value(self._store.value_of(item))

    def _make_record(
        self, renewals: int, *, era: int, given_up: bool = False
    ) -> OwnerRecord:
        """Returns the content that this router writes to a lease object.

        Args:
            renewals: Number of the record among those of this process.
            era: Era of the store that this router knows.
            given_up: Whether this router releases the duty by the write.
        """
        settings = self._board.settings
        return OwnerRecord(
            settings.node,
            incarnation=self._peers.incarnation,
            address=f"{settings.ip}:{settings.peer_port}",
            renewals=renewals,
            era=era,
            given_up=given_up,
        )
