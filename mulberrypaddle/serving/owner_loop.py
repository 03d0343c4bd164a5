"""Takes, renews and hands over the right to give orders to runners."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.replicas.ownership import (
    RENEW_SECONDS,
    OutageVerdict,
    OwnerRecord,
    Ownership,
    StoreSight,
    judge_outage,
)
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.store import Collection

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.peers import Peers
    from mulberrypaddle.serving.store import ObjectStore, StoredItem

# Name of the object that says who owns the groups.
DUTY_NAME = "groups"

# Pause between two looks at the duty.
LOOK_SECONDS = 0.25

# Silence of the owner after which the store is asked about it.
CLAIM_SILENCE_SECONDS = 0.6

# Pause between two reads of the object while no owner is heard, and routers
# for which it holds; more of them read less often each.
READ_SECONDS = 0.5
READING_ROUTERS = 12

# Time for a renewal, and for a look at the store on an owner's behalf. The
# store answers in 4 ms, in 0.25 s when it is slow; the lease leaves little.
RENEWAL_TIMEOUT_SECONDS = 0.7
PROBE_TIMEOUT_SECONDS = 0.5

# Age of an unanswered renewal at which the owner asks the others, takes their
# consent, and hands over to them.
ASK_AFTER_SECONDS = 0.25
CONSENT_AFTER_SECONDS = 0.5
HAND_OVER_AFTER_SECONDS = 1.0

# Age up to which a sight of the store counts.
SIGHT_SECONDS = 2.5

# Silence after which what a router told of the store no longer counts.
SILENT_SECONDS = 1.0

# Pause between two looks at the store for an owner that asks.
PROBE_SECONDS = 1.0

# Time for a connection that proves that the owner's process has ended.
CONNECT_SECONDS = 0.3


def boot_seconds() -> float:
    """Returns a monotonic time that also counts the VM's suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _ToldSight:
    """What another router told of the store.

    Attributes:
        heard_at_seconds: When it told so.
    """

    __slots__ = ("_seen_at_seconds", "_sight", "heard_at_seconds")

    def __init__(
        self,
        sight: StoreSight,
        *,
        seen_at_seconds: float,
        heard_at_seconds: float,
    ) -> None:
        self._sight = sight
        self._seen_at_seconds = seen_at_seconds
        self.heard_at_seconds = heard_at_seconds

    def sight_since(self, since_seconds: float) -> StoreSight:
        """Returns what was seen after a time; what was before says nothing."""
        if self._seen_at_seconds < since_seconds:
            return StoreSight.UNKNOWN
        return self._sight


class OwnerLoop:
    """Keeps one router's view of the duty, and its hold on it.

    Attributes:
        ownership: What is known of the duty, and the right to it.
        resigned_revision: Revision of the record up to which this process has
            handed the duty over; 0 if it never has.
        on_taken: Called when this router has taken the duty.
    """

    def __init__(
        self, board: ServingBoard, store: ObjectStore, peers: Peers
    ) -> None:
        self._board = board
        self._store = store
        self._peers = peers
        self._heard_at = 0.0
        self._heard: tuple[str, int, float] | None = None
        self._read_next_at = 0.0
        self._sent_at = 0.0
        self._unanswered_since: float | None = None
        self._served_at = 0.0
        self._failed_at = 0.0
        self._probed_at = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._told_sights: dict[str, _ToldSight] = {}
        # Revision of the record up to which each process has resigned.
        self._resignations: dict[str, int] = {}
        self.resigned_revision = 0
        self.ownership = Ownership()
        self.on_taken: Callable[[], None] = lambda: None

    def _unanswered_seconds(self) -> float:
        """Returns how long the owner has waited for a renewal; 0 if not."""
        if self.ownership.fence == 0 or self._unanswered_since is None:
            return 0.0
        return boot_seconds() - self._unanswered_since

    @property
    def renewal_fails(self) -> bool:
        """Returns whether this router owns the duty and can't renew."""
        return self._unanswered_seconds() >= ASK_AFTER_SECONDS

    def holds(self) -> bool:
        """Returns whether this router may give orders now."""
        return self.ownership.holds(boot_seconds())

    def take_beat(self, beat: Beat) -> None:
        """Takes what another router says of its ownership."""
        now = boot_seconds()
        if beat.resigned_revision:
            self._resignations[beat.incarnation] = beat.resigned_revision
        if beat.asks_for_store and now - self._probed_at >= PROBE_SECONDS:
            self._probed_at = now
            self._probe = asyncio.ensure_future(self._look_at_store())
        self._told_sights[beat.node] = _ToldSight(
            StoreSight(beat.store_sight),
            seen_at_seconds=now - beat.store_sight_age_ms / 1000,
            heard_at_seconds=now,
        )
        if beat.renewals < 0:
            return
        self._heard_at = now
        self._heard = (
            beat.incarnation,
            beat.renewals,
            now + beat.lease_left / 1000,
        )

    def store_sight(self) -> StoreSight:
        """Returns what this router lately saw of the store."""
        if self.sight_age_seconds() > SIGHT_SECONDS:
            return StoreSight.UNKNOWN
        if self._served_at > self._failed_at:
            return StoreSight.SERVED
        return StoreSight.FAILED

    def sight_age_seconds(self) -> float:
        """Returns how long ago the store was last seen."""
        return boot_seconds() - max(self._served_at, self._failed_at)

    def tick(self) -> None:
        """Acts on what the others see, while renewals fail."""
        now = boot_seconds()
        waited_seconds = self._unanswered_seconds()
        if waited_seconds < CONSENT_AFTER_SECONDS:
            return
        since = now - waited_seconds
        sights = {
            node: told.sight_since(since)
            for node, told in self._told_sights.items()
            if now - told.heard_at_seconds <= SILENT_SECONDS
        }
        verdict = judge_outage(
            list(sights.values()), routers=self._board.live_routers
        )
        if verdict is OutageVerdict.GO_ON:
            self.ownership.consented(now)
            return
        if waited_seconds < HAND_OVER_AFTER_SECONDS or not self.holds():
            return
        if verdict is OutageVerdict.HAND_OVER:
            self.resigned_revision = self.ownership.revision
            self.ownership.lost()
            log_belief(
                "ownership_handed_over",
                reason="others reach the store",
                who=[
                    node
                    for node, sight in sights.items()
                    if sight is StoreSight.SERVED
                ],
                waited_seconds=round(waited_seconds, 2),
            )

    async def _look_at_store(self) -> None:
        try:
            read = await asyncio.wait_for(
                self._store.read(Collection.DUTIES, DUTY_NAME),
                PROBE_TIMEOUT_SECONDS,
            )
        except TimeoutError:
            self._note_store(served=False)
            return
        self._note_store(served=isinstance(read, Success))

    def _note_store(self, *, served: bool) -> None:
        if served:
            self._served_at = boot_seconds()
        else:
            self._failed_at = boot_seconds()

    async def run(self) -> None:
        """Looks after the duty until the task is cancelled."""
        # Routers start together; their first tries are spread a little.
        await asyncio.sleep(self._board.rng.uniform(0, 0.2))
        while True:
            if not self._board.stopping:
                await self._look()
            await asyncio.sleep(LOOK_SECONDS)

    async def give_up(self) -> None:
        """Hands the duty over, before the process ends."""
        if not self.holds():
            return
        record = self._own_record(given_up=True)
        revision = self.ownership.revision
        self.ownership.lost()
        self.resigned_revision = revision
        result = await self._store.replace(
            Collection.DUTIES, DUTY_NAME, record.to_value(), revision=revision
        )
        log_belief("ownership_given_up", written=isinstance(result, Success))

    async def _look(self) -> None:
        now = boot_seconds()
        if self.ownership.fence > 0:
            if now - self._sent_at >= RENEW_SECONDS:
                await self._renew()
            return
        if now - self._heard_at < CLAIM_SILENCE_SECONDS:
            return
        if now < self._read_next_at:
            return
        pause = READ_SECONDS * max(
            1.0, self._board.live_routers / READING_ROUTERS
        )
        self._read_next_at = now + pause * self._board.rng.uniform(0.5, 1.0)
        await self._try_take()

    async def _renew(self) -> None:
        sent_at = boot_seconds()
        self._sent_at = sent_at
        renewals = self.ownership.renewals + 1
        if self._unanswered_since is None:
            self._unanswered_since = sent_at
        result = await self._write_renewal(renewals)
        if self.ownership.fence == 0:
            # Handed over while the answer was awaited.
            return
        if isinstance(result, Success):
            self._unanswered_since = None
            self.ownership.renewals = renewals
            self.ownership.renewed(
                result.unwrap().revision, sent_at_seconds=sent_at
            )
            self._note_store(served=True)
            return
        problem = result.failure()
        if problem.kind is ErrorKind.CONFLICT:
            await self._settle_conflict(sent_at)
            return
        self._note_store(served=False)
        log_belief("renewal_failed", reason=problem.detail)

    async def _write_renewal(
        self, renewals: int
    ) -> Result[StoredItem, Problem]:
        try:
            return await asyncio.wait_for(
                self._store.replace(
                    Collection.DUTIES,
                    DUTY_NAME,
                    self._own_record(renewals=renewals).to_value(),
                    revision=self.ownership.revision,
                ),
                RENEWAL_TIMEOUT_SECONDS,
            )
        except TimeoutError:
            # It may yet take effect; the next renewal then meets a conflict.
            return Failure(
                Problem(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"no answer in {RENEWAL_TIMEOUT_SECONDS} s",
                    ran=Ran.UNKNOWN,
                )
            )

    async def _settle_conflict(self, sent_at: float) -> None:
        """Finds out whether an own write whose answer was lost came first."""
        read = await self._store.read(Collection.DUTIES, DUTY_NAME)
        if not isinstance(read, Success):
            return
        item = read.unwrap()
        record = self._record_of(item)
        if (
            item is not None
            and record is not None
            and record.incarnation == self._peers.incarnation
            and not record.given_up
        ):
            # An earlier renewal took effect; its lease runs from its sending,
            # which was at least one renewal before.
            self._unanswered_since = None
            self.ownership.renewals = record.renewals
            self.ownership.renewed(
                item.revision, sent_at_seconds=sent_at - RENEW_SECONDS
            )
            return
        self.ownership.lost()
        self._observe(item, record)
        log_belief("ownership_lost", owner=record.node if record else "nobody")

    async def _try_take(self) -> None:
        read = await self._store.read(Collection.DUTIES, DUTY_NAME)
        self._note_store(served=isinstance(read, Success))
        if not isinstance(read, Success):
            return
        item = read.unwrap()
        record = self._record_of(item)
        self._observe(item, record)
        if self._heard is not None:
            incarnation, renewals, until = self._heard
            self.ownership.observe_claim(
                incarnation, renewals=renewals, until_seconds=until
            )
        now = boot_seconds()
        ended = record is not None and await self._has_ended(
            record, self.ownership.revision
        )
        if not self.ownership.may_take(now, owner_ended=ended):
            return
        self.ownership.renewals = 0
        value = self._own_record().to_value()
        sent_at = boot_seconds()
        self._sent_at = sent_at
        if item is None:
            result = await self._store.create(
                Collection.DUTIES, DUTY_NAME, value
            )
        else:
            result = await self._store.replace(
                Collection.DUTIES, DUTY_NAME, value, revision=item.revision
            )
        if not isinstance(result, Success):
            log_belief("ownership_not_taken", reason=result.failure().detail)
            return
        self._unanswered_since = None
        self.ownership.taken(result.unwrap().revision, sent_at_seconds=sent_at)
        log_belief(
            "ownership_taken",
            fence=self.ownership.fence,
            before=record.node if record else "nobody",
            ended=ended,
        )
        self.on_taken()

    async def _has_ended(self, record: OwnerRecord, revision: int) -> bool:
        """Returns whether the owner is known to have ended or resigned."""
        if record.incarnation == self._peers.incarnation:
            return True
        # A later write of the same process is a new ownership.
        if self._resignations.get(record.incarnation, 0) >= revision:
            return True
        heard = self._peers.incarnation_of(record.node)
        if heard is not None and heard != record.incarnation:
            return True
        host, _, port = record.address.rpartition(":")
        if host == self._board.settings.ip:
            # This VM runs one router, and it is another process.
            return True
        try:
            _, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_SECONDS
            )
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError, TimeoutError):
            return False
        writer.close()
        return False

    def _observe(
        self, item: StoredItem | None, record: OwnerRecord | None
    ) -> None:
        self.ownership.observe(
            record,
            revision=item.revision if item else 0,
            now_seconds=boot_seconds(),
        )

    def _record_of(self, item: StoredItem | None) -> OwnerRecord | None:
        if item is None:
            return None
        return OwnerRecord.from_value(self._store.value_of(item))

    def _own_record(
        self, *, renewals: int = 0, given_up: bool = False
    ) -> OwnerRecord:
        settings = self._board.settings
        return OwnerRecord(
            settings.node,
            incarnation=self._peers.incarnation,
            address=f"{settings.ip}:{settings.peer_port}",
            renewals=renewals,
            given_up=given_up,
        )
