"""The controller that keeps this router's membership and lease."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer, keys
from mulberrypaddle.blackboard.tables import Health, Membership
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.membership.lease import Lease
from mulberrypaddle.controllers.membership.liveness import Liveness
from mulberrypaddle.controllers.membership.options import (
    DEAD_SECONDS,
    HANDOVER_SECONDS,
    HOLDERS,
    LEASE_SECONDS,
    LEAVE_SECONDS,
    MANY_MEMBERS,
    MAX_TURNS,
    MAX_WRITE_BACKOFF_SECONDS,
    MIN_WRITE_BACKOFF_SECONDS,
    REACHABLE_SECONDS,
    REJOIN_SECONDS,
    RENEW_SECONDS,
    TURN_SECONDS,
    MembershipOptions,
)
from mulberrypaddle.controllers.membership.outage import OutageRound
from mulberrypaddle.controllers.membership.record import (
    change_record,
    members_of,
    rank_holders,
    stopped_entries,
    to_member,
)
from mulberrypaddle.controllers.membership.settlement import Settlement
from mulberrypaddle.controllers.membership.store_access import RecordStore
from mulberrypaddle.core import invariants
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.peers.proto.membership_pb2 import (
    ConfirmOutage,
    LeaseRenewed,
    MemberEntry,
    MembershipRecord,
    OutageConfirmed,
    RenewLease,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.blackboard.tables import Member

RECORD_PREFIX = "members/"
_NEVER = float("-inf")


class FleetMembership(Controller):
    """Joins, renews, removes the dead and leaves.

    The record of a region is written only when its members change. A lease
    is a proof that this router's epoch was the latest at some time; lease
    holders get it by reading the record, the others from a lease holder.

    Attributes:
        left: Whether a stopping router may exit as far as duties go.
    """

    name = "membership"
    message_types = (RenewLease, LeaseRenewed, ConfirmOutage, OutageConfirmed)

    def __init__(
        self,
        context: Context,
        *,
        region: str,
        peer_address: str,
        options: MembershipOptions | None = None,
    ) -> None:
        super().__init__(context)
        self.left = False
        self._options = options or MembershipOptions()
        self._own = MemberEntry(
            member_id=context.member_id,
            incarnation=context.incarnation,
            address=peer_address,
            data_centre=context.data_centre,
        )
        self._record = MembershipRecord()
        self._members: dict[str, MemberEntry] = {}
        self._ranked: list[str] = []
        self._shown_members: dict[str, Member] = {}
        self._shown_departed: dict[str, Member] = {}
        self._version = 0
        self._loaded = False
        self._started_seconds = context.now_seconds()
        self._store = RecordStore(
            context, RECORD_PREFIX + region, self._record_seen
        )
        self._lease = Lease(self._options)
        self._settlement = Settlement(self._own)
        self._liveness = Liveness(self._own)
        self._round = OutageRound(self._own)
        self._writes = 0
        self._attempts = 0
        self._next_write_seconds = 0.0
        self._next_renewal_seconds = 0.0
        self._store_heard_seconds = _NEVER
        self._outage_asked_seconds = _NEVER
        self._stop_seconds: float | None = None

    # Steps.

    def step(self, now_seconds: float) -> None:
        """Reads, writes and renews whatever is due."""
        self._settlement.prune(now_seconds)
        if self._needs_store(now_seconds):
            self._store.read_if_due(now_seconds)
        self._change_record(now_seconds)
        self._renew(now_seconds)
        self._go_on_through_outage(now_seconds)
        self._publish(now_seconds)

    def woke_up(self, gap_seconds: float, now_seconds: float) -> None:
        """Voids the lease and gives every member a fresh start."""
        if not self._options.distrust_pause:
            return
        self._lease.void(now_seconds)
        self._round.reset()
        self._store.distrust(now_seconds)
        self._liveness.reset(now_seconds)
        self._publish(now_seconds)
        self.context.decide(
            "membership",
            subject=self._own.member_id,
            outcome="lease_void",
            reason="pause",
            gap_seconds=f"{gap_seconds:.1f}",
        )

    def stop(self, now_seconds: float) -> None:
        """Begins to leave; duties are handed over first."""
        if self._stop_seconds is None:
            self._stop_seconds = now_seconds
        self._publish(now_seconds)

    # The record.

    def _is_listed(self) -> bool:
        return self._members.get(self._own.member_id) == self._own

    def _is_superseded(self) -> bool:
        entry = self._members.get(self._own.member_id)
        return entry is not None and entry.incarnation > self._own.incarnation

    def _holders(self) -> list[str]:
        return self._ranked[:HOLDERS]

    def _needs_store(self, now_seconds: float) -> bool:
        if not self._is_listed() or self._own.member_id in self._holders():
            return True
        if now_seconds - self._outage_asked_seconds < REACHABLE_SECONDS:
            return True
        left_seconds = self._lease.until_seconds - now_seconds
        return left_seconds < LEASE_SECONDS / 2 or self._stops_acting(
            now_seconds
        )

    def _record_seen(
        self, record: MembershipRecord, version: int, sent_seconds: float
    ) -> None:
        now_seconds = self.context.now_seconds()
        self._loaded = True
        self._adopt(record, version, now_seconds)
        if record.epoch == self._record.epoch:
            self._lease.prove(sent_seconds, LEASE_SECONDS, now_seconds)
        self._publish(now_seconds)

    def _adopt(
        self, record: MembershipRecord, version: int, now_seconds: float
    ) -> None:
        """Takes a record if it is a later one."""
        if record.epoch <= self._record.epoch:
            return
        previous_epoch = self._record.epoch
        was_listed = self._is_listed()
        was_holder = self._own.member_id in self._holders()
        self._record = record
        self._version = version
        self._members = members_of(record)
        self._ranked = rank_holders(record)
        self._show_members()
        self._lease.drop_outage()
        self._round.reset()
        self._liveness.track(self._members, now_seconds)
        if not was_holder:
            self._liveness.reset(now_seconds)
        if self._is_listed():
            self._attempts = 0
        elif was_listed:
            self._next_write_seconds = (
                now_seconds + REJOIN_SECONDS * self.context.rng.uniform(1, 2)
            )
        if self._options.settle_wait:
            self._settlement.adopt(
                record,
                previous_epoch=previous_epoch,
                now_seconds=now_seconds,
            )
        self.context.decide(
            "membership",
            subject=f"epoch-{record.epoch}",
            outcome=",".join(sorted(self._members)),
            reason="record_changed",
        )

    def _show_members(self) -> None:
        """Prepares what the blackboard shows of the record."""
        self._shown_members = {}
        for member_id, entry in self._members.items():
            self._shown_members[member_id] = to_member(entry)
        self._shown_departed = {}
        for member_id, entry in stopped_entries(self._record).items():
            if member_id not in self._members:
                self._shown_departed[member_id] = to_member(entry)

    def _change_record(self, now_seconds: float) -> None:
        """Joins, leaves or removes the dead, by conditional update."""
        if not self._loaded or now_seconds < self._next_write_seconds:
            return
        if self._store.failing(now_seconds) or not self._store.idle(
            now_seconds
        ):
            return
        if self._stops_acting(now_seconds):
            self._leave(now_seconds)
            return
        if self._stop_seconds is not None or self._is_superseded():
            return
        if not self._is_listed():
            self._join(now_seconds)
            return
        self._remove_dead(now_seconds)

    def _join(self, now_seconds: float) -> None:
        old = self._members.get(self._own.member_id)
        self._write(
            "join",
            added=[self._own],
            removed=[] if old is None else [old],
            now_seconds=now_seconds,
        )

    def _leave(self, now_seconds: float) -> None:
        if not self._is_listed():
            return
        self._write(
            "leave", removed=[self._own], stopped=True, now_seconds=now_seconds
        )

    def _remove_dead(self, now_seconds: float) -> None:
        if self._first_alive(now_seconds) != self._own.member_id:
            return
        dead = self._liveness.dead(self._holders(), now_seconds)
        if self._own.member_id not in self._holders():
            dead = [name for name in dead if name in self._holders()]
        if not dead:
            return
        self._write(
            "remove",
            removed=[self._members[member_id] for member_id in dead],
            now_seconds=now_seconds,
        )

    def _first_alive(self, now_seconds: float) -> str:
        """Returns the first holder that is heard; others wait in turn."""
        own_position = self._ranked.index(self._own.member_id)
        patience_seconds = DEAD_SECONDS + TURN_SECONDS * min(
            own_position, MAX_TURNS
        )
        for member_id in self._holders()[:own_position]:
            silence_seconds = self._liveness.silence_seconds(
                member_id, now_seconds
            )
            if silence_seconds <= patience_seconds:
                return member_id
        return self._own.member_id

    def _write(
        self,
        reason: str,
        *,
        added: list[MemberEntry] | None = None,
        removed: list[MemberEntry] | None = None,
        stopped: bool = False,
        now_seconds: float,
    ) -> None:
        self._writes += 1
        self._next_write_seconds = now_seconds + min(
            MAX_WRITE_BACKOFF_SECONDS,
            MIN_WRITE_BACKOFF_SECONDS * 2.0**self._attempts,
        ) * self.context.rng.uniform(0.2, 1.0)
        self._attempts = min(self._attempts + 1, 8)
        record = change_record(
            self._record,
            added=added or [],
            removed=removed or [],
            stopped=stopped,
            write_id=(
                f"{self._own.member_id}/{self._own.incarnation}/{self._writes}"
            ),
            oldest_unsettled_epoch=self._settlement.oldest_epoch(
                self._record.epoch
            ),
        )
        self.context.decide(
            "membership",
            subject=f"epoch-{record.epoch}",
            outcome="write",
            reason=reason,
            removed=",".join(entry.member_id for entry in removed or []),
        )
        self._store.write(
            record, expected_version=self._version, now_seconds=now_seconds
        )

    # Leases.

    def _renew(self, now_seconds: float) -> None:
        """Asks the lease holders, and tells them that this router lives."""
        if now_seconds < self._next_renewal_seconds or not self._members:
            return
        many = len(self._members) > MANY_MEMBERS
        self._next_renewal_seconds = now_seconds + RENEW_SECONDS * (1 + many)
        question = RenewLease(
            number=self._lease.ask(now_seconds),
            epoch=self._record.epoch,
            incarnation=self._own.incarnation,
        )
        if self._own.member_id in self._holders():
            question.suspects.extend(self._liveness.suspects(now_seconds))
        for member_id in self._renewal_targets(now_seconds):
            self._send(member_id, question)

    def _renewal_targets(self, now_seconds: float) -> list[str]:
        targets = [
            member_id
            for member_id in self._holders()
            if member_id != self._own.member_id
        ]
        for member_id in targets:
            if (
                self._liveness.silence_seconds(member_id, now_seconds)
                < DEAD_SECONDS
            ):
                return targets
        others = [
            member_id
            for member_id in self._ranked[HOLDERS:]
            if member_id != self._own.member_id
        ]
        count = min(2, len(others))
        return targets + self.context.rng.sample(others, count)

    def _go_on_through_outage(self, now_seconds: float) -> None:
        """Renews by confirmations while the object API can't be reached."""
        if not self._is_listed() or not self._store.failing(now_seconds):
            return
        if self._own.member_id not in self._holders():
            return
        if not self._options.confirm_outage:
            self._lease.extend_through_outage(now_seconds + LEASE_SECONDS)
            return
        for member_id, question in self._round.step(self._record, now_seconds):
            self._send(member_id, question)
        self._take_round()

    def _take_round(self) -> None:
        self._lease.extend_through_outage(
            self._round.lease_until_seconds(self._lease.proved_at_seconds)
        )

    def _stops_acting(self, now_seconds: float) -> bool:
        if self._stop_seconds is None:
            return False
        has_heirs = len(self._members) > 1
        return now_seconds >= self._stop_seconds + HANDOVER_SECONDS * has_heirs

    # Messages.

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message of another router's membership controller."""
        _take(message, self, sender, now_seconds)

    def _send(self, member_id: str, message: Message) -> None:
        self.context.board.intents.append(SendToPeer(member_id, message))

    def _heard(
        self, sender: str, *, epoch: int, incarnation: int, now_seconds: float
    ) -> bool:
        """Takes note of a sender; returns whether it is a listed process."""
        if epoch > self._record.epoch:
            self._store.hurry(now_seconds)
        entry = self._members.get(sender)
        if entry is None or entry.incarnation != incarnation:
            return False
        self._liveness.heard(entry, epoch=epoch, now_seconds=now_seconds)
        self._settlement.heard(entry, epoch=epoch, now_seconds=now_seconds)
        return True

    def _all_moved_on(self) -> bool:
        """Returns whether nobody can act by an earlier epoch any more."""
        epoch = self._record.epoch
        return self._liveness.moved_on(
            self._settlement.participants(), epoch
        ) and self._liveness.moved_on(self._members.values(), epoch)

    def take_renewal(
        self, sender: str, message: RenewLease, now_seconds: float
    ) -> None:
        """Answers a router that asks to renew its lease."""
        listed = self._heard(
            sender,
            epoch=message.epoch,
            incarnation=message.incarnation,
            now_seconds=now_seconds,
        )
        self._liveness.set_suspects(sender, message.suspects)
        answer = LeaseRenewed(
            number=message.number,
            epoch=self._record.epoch,
            incarnation=self._own.incarnation,
            store_reachable=self._store.reachable(now_seconds),
        )
        if listed and self._may_renew():
            until_seconds = self._lease.until_seconds
            answer.remaining_seconds = max(0.0, until_seconds - now_seconds)
            answer.during_outage = self._lease.stands_on_outage
        if self._is_listed() and self._all_moved_on():
            answer.settled_epoch = self._record.epoch
        if message.epoch < self._record.epoch:
            answer.record.CopyFrom(self._record)
            answer.record_version = self._version
        self._send(sender, answer)

    def _may_renew(self) -> bool:
        return self._is_listed() and self._stop_seconds is None

    def take_renewed(
        self, sender: str, message: LeaseRenewed, now_seconds: float
    ) -> None:
        """Takes the answer of a lease holder."""
        if message.HasField("record"):
            self._adopt(message.record, message.record_version, now_seconds)
        self._heard(
            sender,
            epoch=message.epoch,
            incarnation=message.incarnation,
            now_seconds=now_seconds,
        )
        if message.store_reachable:
            self._store_heard_seconds = now_seconds
        if message.epoch != self._record.epoch:
            return
        if message.settled_epoch == self._record.epoch:
            self._settlement.settle_below(self._record.epoch)
        self._lease.renewed(message, now_seconds)
        self._publish(now_seconds)

    def take_question(
        self, sender: str, message: ConfirmOutage, now_seconds: float
    ) -> None:
        """Says whether this router sees the outage too."""
        if sender not in self._members:
            return
        self._outage_asked_seconds = now_seconds
        if not self._store.failing(now_seconds):
            self._store.hurry(now_seconds)
        self._send(
            sender,
            OutageConfirmed(
                number=message.number,
                epoch=self._record.epoch,
                incarnation=self._own.incarnation,
                confirmed=(
                    message.epoch == self._record.epoch
                    and self._is_listed()
                    and not self._stops_acting(now_seconds)
                    and self._store.failing(now_seconds)
                ),
            ),
        )

    def take_answer(self, sender: str, message: OutageConfirmed) -> None:
        """Takes the answer of a router that was asked about an outage."""
        self._round.take(sender, message)
        self._take_round()
        self._publish(self.context.now_seconds())

    # The blackboard.

    def _publish(self, now_seconds: float) -> None:
        until_seconds = self._lease.until_seconds
        invariants.check(
            until_seconds <= now_seconds + LEASE_SECONDS + 1e-6,
            Invariant.SINGLE_OWNER,
            f"lease of {until_seconds - now_seconds} s at epoch "
            f"{self._record.epoch}",
        )
        if not self._is_listed() or self._stops_acting(now_seconds):
            until_seconds = _NEVER
        self.left = self._has_left(now_seconds)
        self.context.board.write(
            keys.MEMBERSHIP,
            Membership(
                epoch=self._record.epoch,
                members=self._shown_members,
                lease_until_seconds=until_seconds,
                unsettled=self._settlement.shown(),
                departed=self._shown_departed,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )
        self._publish_health(now_seconds)

    def _publish_health(self, now_seconds: float) -> None:
        reachable = (
            self._store.reachable(now_seconds)
            or now_seconds - self._store_heard_seconds <= REACHABLE_SECONDS
        )
        peers = self._liveness.reachable(now_seconds)
        has_peers = len(self._members) > 1
        started_lately = now_seconds - self._started_seconds < REACHABLE_SECONDS
        isolated = (
            has_peers and not reachable and peers == 0 and not started_lately
        )
        self.context.board.write(
            keys.HEALTH,
            Health(
                store_reachable=reachable,
                peers_reachable=peers,
                stopping=self._stop_seconds is not None,
                isolated=isolated or self._is_superseded(),
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def _has_left(self, now_seconds: float) -> bool:
        if self._stop_seconds is None or not self._stops_acting(now_seconds):
            return False
        if not self._is_listed():
            return True
        return now_seconds >= self._stop_seconds + LEAVE_SECONDS


@functools.singledispatch
def _take(
    message: Message,
    controller: FleetMembership,
    sender: str,
    now_seconds: float,
) -> None:
    raise TypeError(f"got {type(message).__name__}, which is not taken here")


@_take.register(RenewLease)
def _renewal(
    message: RenewLease,
    controller: FleetMembership,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_renewal(sender, message, now_seconds)


@_take.register(LeaseRenewed)
def _renewed(
    message: LeaseRenewed,
    controller: FleetMembership,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_renewed(sender, message, now_seconds)


@_take.register(ConfirmOutage)
def _question(
    message: ConfirmOutage,
    controller: FleetMembership,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_question(sender, message, now_seconds)


@_take.register(OutageConfirmed)
def _answer(
    message: OutageConfirmed,
    controller: FleetMembership,
    sender: str,
    now_seconds: float,
) -> None:
    controller.take_answer(sender, message)
