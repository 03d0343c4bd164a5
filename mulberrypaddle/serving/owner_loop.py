"""Takes, renews and gives up the duties of this router.

Each data centre's groups are a duty with an object of its own in the store. In
a small fleet one router takes them all. In a large one each data centre's relay
takes its own, and those of a data centre that has no router left.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.replicas.ownership import (
    RENEW_SECONDS,
    OutageVerdict,
    OwnerRecord,
    StoreSight,
    judge_outage,
)
from mulberrypaddle.serving.duty import Duty, HeardClaim, boot_seconds
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.store import Collection

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.peers import Peers
    from mulberrypaddle.serving.store import ObjectStore, StoredItem

# Pause between two looks at the duties.
LOOK_SECONDS = 0.25

# Silence of an owner after which the store is asked about its duty: the own
# one, and one of another data centre, whose own routers go first.
CLAIM_SILENCE_SECONDS = 0.6
FOREIGN_SILENCE_SECONDS = 2.0

# Pause between two reads of the objects while no owner is heard, and routers
# for which it holds; more of them read less often each.
READ_SECONDS = 0.5
READING_ROUTERS = 12

# Spread of the first tries of routers that start together, and how much longer
# those wait whose VMs have little to spare for a duty.
FIRST_TRY_SECONDS = 0.2
WEAK_WAIT_SECONDS = 0.5
WEAK_CAPACITY = 60

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
    """Keeps one router's view of the duties, and its hold on them.

    Attributes:
        duties: All duties, by data centre.
        on_taken: Called when this router has taken a duty.
    """

    def __init__(
        self, board: ServingBoard, store: ObjectStore, peers: Peers
    ) -> None:
        self._board = board
        self._store = store
        self._peers = peers
        self._read_next_at = 0.0
        self._served_at = 0.0
        self._failed_at = 0.0
        self._probed_at = 0.0
        self._probe: asyncio.Task[None] | None = None
        self._told_sights: dict[str, _ToldSight] = {}
        # Revision of the record up to which a process has handed a duty over,
        # by process and duty.
        self._resignations: dict[tuple[str, str], int] = {}
        self.duties = {name: Duty(name) for name in board.settings.data_centres}
        self.on_taken: Callable[[], None] = lambda: None

    @property
    def renewal_fails(self) -> bool:
        """Returns whether this router owns a duty and can't renew it."""
        return any(
            duty.unanswered_seconds() >= ASK_AFTER_SECONDS
            for duty in self.duties.values()
        )

    def holds(self) -> bool:
        """Returns whether this router may act on some duty now."""
        return any(duty.held() for duty in self.duties.values())

    def fences(self) -> dict[str, int]:
        """Returns the fence of each duty that is held now, by name."""
        return {
            name: duty.ownership.fence
            for name, duty in self.duties.items()
            if duty.held()
        }

    def next_epoch(self, name: str) -> int:
        """Returns an epoch above all that any owner of a duty gave before."""
        return self.duties[name].ownership.next_epoch()

    def claims(self) -> dict[str, tuple[str, int, int]]:
        """Returns own process, renewals and milliseconds left, by duty."""
        claims: dict[str, tuple[str, int, int]] = {}
        for name, duty in self.duties.items():
            left = duty.lease_left_seconds()
            if left > 0:
                claims[name] = (
                    self._peers.incarnation,
                    duty.ownership.renewals,
                    int(left * 1000),
                )
        return claims

    def resigned(self) -> dict[str, int]:
        """Returns up to which revision this process resigned, by duty."""
        return {
            name: duty.resigned_revision
            for name, duty in self.duties.items()
            if duty.resigned_revision
        }

    def take_beat(self, beat: Beat) -> None:
        """Takes what another router says of duties and of the store."""
        now = boot_seconds()
        for process, up_to in beat.resigned.items():
            for name, revision in up_to.items():
                key = (process, name)
                known = self._resignations.get(key, 0)
                self._resignations[key] = max(known, revision)
        if beat.asks_for_store and now - self._probed_at >= PROBE_SECONDS:
            self._probed_at = now
            self._probe = asyncio.ensure_future(self._look_at_store())
        self._told_sights[beat.node] = _ToldSight(
            StoreSight(beat.store_sight),
            seen_at_seconds=now - beat.store_sight_age_ms / 1000,
            heard_at_seconds=now,
        )
        for name, (incarnation, renewals, left_ms) in beat.claims.items():
            duty = self.duties.get(name)
            if duty is None or incarnation == self._peers.incarnation:
                continue
            duty.take_claim(
                HeardClaim(
                    incarnation,
                    renewals=renewals,
                    until_seconds=now + left_ms / 1000,
                )
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
        for duty in self.duties.values():
            waited_seconds = duty.unanswered_seconds()
            if waited_seconds >= CONSENT_AFTER_SECONDS:
                self._act_without_store(duty, waited_seconds)

    def _act_without_store(self, duty: Duty, waited_seconds: float) -> None:
        now = boot_seconds()
        since = now - waited_seconds
        sights = {
            node: told.sight_since(since)
            for node, told in self._told_sights.items()
            if now - told.heard_at_seconds <= SILENT_SECONDS
        }
        verdict = judge_outage(
            list(sights.values()), routers=self._peers.direct_routers()
        )
        if verdict is OutageVerdict.GO_ON:
            duty.ownership.consented(now)
            return
        if waited_seconds < HAND_OVER_AFTER_SECONDS or not duty.held():
            return
        if verdict is OutageVerdict.HAND_OVER:
            duty.resign()
            log_belief(
                "ownership_handed_over",
                duty=duty.name,
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
                self._store.list(Collection.DUTIES), PROBE_TIMEOUT_SECONDS
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
        """Looks after the duties until the task is cancelled."""
        wait_seconds = self._board.rng.uniform(0, FIRST_TRY_SECONDS)
        if self._board.settings.capacity < WEAK_CAPACITY:
            wait_seconds += WEAK_WAIT_SECONDS
        await asyncio.sleep(wait_seconds)
        while True:
            if not self._board.stopping:
                await self._look()
            await asyncio.sleep(LOOK_SECONDS)

    async def _give_back(self) -> None:
        """Hands duties of other data centres to their own routers."""
        if not self._peers.is_large:
            return
        for name, duty in self.duties.items():
            if name == self._board.settings.data_centre or not duty.held():
                continue
            if self._peers.relays_for(name):
                await self._give_up_one(duty)
                # Its own relay is about to take it.
                duty.heard_at_seconds = boot_seconds()

    async def give_up(self) -> None:
        """Hands the duties over, before the process ends or while it is slow.

        What can't be written is told to the other routers.
        """
        await asyncio.gather(
            *(
                self._give_up_one(duty)
                for duty in self.duties.values()
                if duty.held()
            )
        )

    async def _give_up_one(self, duty: Duty) -> None:
        record = self._own_record(duty.ownership.renewals, given_up=True)
        revision = duty.resign()
        result = await self._store.replace(
            Collection.DUTIES, duty.name, record.to_value(), revision=revision
        )
        log_belief(
            "ownership_given_up",
            duty=duty.name,
            written=isinstance(result, Success),
        )

    async def _look(self) -> None:
        await self._give_back()
        now = boot_seconds()
        due = [
            duty
            for duty in self.duties.values()
            if duty.owned and now - duty.sent_at_seconds >= RENEW_SECONDS
        ]
        await asyncio.gather(*(self._renew(duty) for duty in due))
        if now < self._read_next_at:
            return
        wanted = [duty for duty in self.duties.values() if self._wants(duty)]
        if not wanted:
            return
        pause = READ_SECONDS
        if not self._peers.relays.acts:
            pause *= max(1.0, self._board.live_routers / READING_ROUTERS)
        self._read_next_at = now + pause * self._board.rng.uniform(0.5, 1.0)
        await self._try_take(wanted)

    def _wants(self, duty: Duty) -> bool:
        """Returns whether this router should try to take a duty now."""
        if duty.owned or self._peers.should_stand_back():
            return False
        silence_seconds = boot_seconds() - duty.heard_at_seconds
        if silence_seconds < CLAIM_SILENCE_SECONDS:
            return False
        owns_some = any(other.owned for other in self.duties.values())
        if self._peers.is_large:
            if duty.name == self._board.settings.data_centre:
                return self._peers.may_lead()
            if self._peers.relays_for(duty.name):
                return False
            return owns_some and silence_seconds >= FOREIGN_SILENCE_SECONDS
        return owns_some or not self._others_own()

    def _others_own(self) -> bool:
        """Returns whether another router is heard that owns some duty."""
        now = boot_seconds()
        return any(
            not duty.owned
            and now - duty.heard_at_seconds < CLAIM_SILENCE_SECONDS
            for duty in self.duties.values()
        )

    async def _renew(self, duty: Duty) -> None:
        sent_at = boot_seconds()
        duty.sent_at_seconds = sent_at
        renewals = duty.ownership.renewals + 1
        if duty.unanswered_since_seconds is None:
            duty.unanswered_since_seconds = sent_at
        result = await self._write_renewal(duty, renewals)
        if not duty.owned:
            # Handed over while the answer was awaited.
            return
        if isinstance(result, Success):
            duty.renewed(
                result.unwrap().revision,
                renewals=renewals,
                sent_at_seconds=sent_at,
            )
            self._note_store(served=True)
            return
        problem = result.failure()
        if problem.kind is ErrorKind.CONFLICT:
            await self._settle_conflict(duty, sent_at)
            return
        self._note_store(served=False)
        log_belief("renewal_failed", duty=duty.name, reason=problem.detail)

    async def _write_renewal(
        self, duty: Duty, renewals: int
    ) -> Result[StoredItem, Problem]:
        try:
            return await asyncio.wait_for(
                self._store.replace(
                    Collection.DUTIES,
                    duty.name,
                    self._own_record(renewals).to_value(),
                    revision=duty.ownership.revision,
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

    async def _settle_conflict(self, duty: Duty, sent_at: float) -> None:
        """Finds out whether an own write whose answer was lost came first."""
        read = await self._store.read(Collection.DUTIES, duty.name)
        if not isinstance(read, Success) or not duty.owned:
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
            duty.renewed(
                item.revision,
                renewals=record.renewals,
                sent_at_seconds=sent_at - RENEW_SECONDS,
            )
            return
        duty.ownership.lost()
        self._observe(duty, item, record)
        log_belief(
            "ownership_lost",
            duty=duty.name,
            owner=record.node if record else "nobody",
        )

    async def _try_take(self, wanted: list[Duty]) -> None:
        listed = await self._store.list(Collection.DUTIES)
        self._note_store(served=isinstance(listed, Success))
        if not isinstance(listed, Success):
            return
        items = {item.name: item for item in listed.unwrap().items}
        self._learn_relays(items)
        for duty in wanted:
            if duty.owned:
                continue
            if not await self._try_take_one(duty, items.get(duty.name)):
                # Another router was faster; it will take the others too.
                break

    def _learn_relays(self, items: dict[str, StoredItem]) -> None:
        """Learns from the owners' records who relays for a data centre."""
        relays: dict[str, str] = {}
        for name, item in items.items():
            record = self._record_of(item)
            if record is not None and not record.given_up:
                relays[name] = record.address.rpartition(":")[0]
        self._peers.relays.take_told(relays)

    async def _try_take_one(self, duty: Duty, item: StoredItem | None) -> bool:
        """Takes a duty if its owner is gone.

        Returns:
            Whether other duties may be tried; not if another router was
            faster.
        """
        record = self._record_of(item)
        self._observe(duty, item, record)
        ended = record is not None and self._has_ended(
            record, duty=duty.name, revision=duty.ownership.revision
        )
        if not duty.may_take(owner_ended=ended):
            return True
        duty.ownership.renewals = 0
        value = self._own_record(0).to_value()
        sent_at = boot_seconds()
        duty.sent_at_seconds = sent_at
        if item is None:
            result = await self._store.create(
                Collection.DUTIES, duty.name, value
            )
        else:
            result = await self._store.replace(
                Collection.DUTIES, duty.name, value, revision=item.revision
            )
        if not isinstance(result, Success):
            # Whoever was faster is about to be heard.
            duty.heard_at_seconds = boot_seconds()
            log_belief(
                "ownership_not_taken",
                duty=duty.name,
                reason=result.failure().detail,
            )
            return False
        duty.taken(result.unwrap().revision, sent_at_seconds=sent_at)
        log_belief(
            "ownership_taken",
            duty=duty.name,
            fence=duty.ownership.fence,
            before=record.node if record else "nobody",
            ended=ended,
        )
        self.on_taken()
        return True

    def _has_ended(
        self, record: OwnerRecord, *, duty: str, revision: int
    ) -> bool:
        """Returns whether the owner is known to have ended or resigned."""
        if record.incarnation == self._peers.incarnation:
            return True
        # A later write of the same process is a new ownership.
        if self._resignations.get((record.incarnation, duty), 0) >= revision:
            return True
        if self._peers.has_ended(record.incarnation):
            return True
        # Of this VM it is another process than this one. A port that refuses
        # a connection proves nothing: a link that is cut may refuse too.
        host = record.address.rpartition(":")[0]
        return host == self._board.settings.ip

    def _observe(
        self, duty: Duty, item: StoredItem | None, record: OwnerRecord | None
    ) -> None:
        duty.ownership.observe(
            record,
            revision=item.revision if item else 0,
            now_seconds=boot_seconds(),
        )

    def _record_of(self, item: StoredItem | None) -> OwnerRecord | None:
        if item is None:
            return None
        return OwnerRecord.from_value(self._store.value_of(item))

    def _own_record(
        self, renewals: int, *, given_up: bool = False
    ) -> OwnerRecord:
        settings = self._board.settings
        return OwnerRecord(
            settings.node,
            incarnation=self._peers.incarnation,
            address=f"{settings.ip}:{settings.peer_port}",
            renewals=renewals,
            given_up=given_up,
        )
