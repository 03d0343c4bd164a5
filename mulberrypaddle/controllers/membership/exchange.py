"""What routers say to each other about leases and outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import SendToPeer
from mulberrypaddle.controllers.membership.options import (
    HOLDERS,
    JOIN_ASK_SECONDS,
    LEASE_SECONDS,
    REACHABLE_SECONDS,
    RENEW_SECONDS,
    MembershipOptions,
)
from mulberrypaddle.controllers.membership.outage import OutageRound
from mulberrypaddle.peers.proto.membership_pb2 import (
    ConfirmOutage,
    LeaseRenewed,
    OutageConfirmed,
    RenewLease,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.membership.lease import Lease
    from mulberrypaddle.controllers.membership.liveness import Liveness
    from mulberrypaddle.controllers.membership.settlement import Settlement
    from mulberrypaddle.controllers.membership.store_access import RecordStore
    from mulberrypaddle.controllers.membership.view import RecordView

_NEVER = float("-inf")
# Members that are asked beside holders that don't answer.
_FURTHER_TARGETS = 2


class Exchange:
    """Renews this router's lease with peers, and theirs with it.

    Attributes:
        round: The question whether everyone sees an outage.
    """

    def __init__(
        self,
        context: Context,
        *,
        view: RecordView,
        store: RecordStore,
        lease: Lease,
        liveness: Liveness,
        settlement: Settlement,
        options: MembershipOptions,
    ) -> None:
        self.round = OutageRound(view.own)
        self._context = context
        self._view = view
        self._store = store
        self._lease = lease
        self._liveness = liveness
        self._settlement = settlement
        self._options = options
        self._next_renewal_seconds = 0.0
        self._store_heard_seconds = _NEVER
        self._outage_asked_seconds = _NEVER

    def store_heard(self, now_seconds: float) -> bool:
        """Returns whether a peer lately said that it reaches the store."""
        return now_seconds - self._store_heard_seconds <= REACHABLE_SECONDS

    def was_asked(self, now_seconds: float) -> bool:
        """Returns whether a peer lately asked about an outage."""
        return now_seconds - self._outage_asked_seconds <= REACHABLE_SECONDS

    def renew(self, now_seconds: float, *, asks_to_join: bool) -> None:
        """Asks the lease holders, and tells them that this router lives."""
        if now_seconds < self._next_renewal_seconds or not self._view.members:
            return
        period_seconds = RENEW_SECONDS * (1 + self._view.has_many)
        if not self._view.is_listed:
            period_seconds = JOIN_ASK_SECONDS
        self._next_renewal_seconds = now_seconds + period_seconds
        question = RenewLease(
            number=self._lease.ask(now_seconds),
            epoch=self._view.epoch,
            incarnation=self._view.own.incarnation,
        )
        if asks_to_join:
            question.joins.CopyFrom(self._view.own)
        if self._view.is_holder:
            question.suspects.extend(self._liveness.suspects(now_seconds))
        for member_id in self._renewal_targets(now_seconds):
            self._send(member_id, question)

    def go_on_through_outage(self, now_seconds: float) -> None:
        """Renews by confirmations while the object API can't be reached."""
        if not self._view.is_listed or not self._store.failing(now_seconds):
            return
        if not self._view.is_holder:
            return
        if not self._options.confirm_outage:
            self._lease.extend_through_outage(now_seconds + LEASE_SECONDS)
            return
        questions = self.round.step(self._view.record, now_seconds)
        for member_id, question in questions:
            self._send(member_id, question)
        self._take_round()

    def heard(
        self, sender: str, *, epoch: int, incarnation: int, now_seconds: float
    ) -> bool:
        """Takes note of a sender; returns whether it is a listed process."""
        if epoch > self._view.epoch:
            self._store.hurry(now_seconds)
        entry = self._view.members.get(sender)
        if entry is None or entry.incarnation != incarnation:
            return False
        self._liveness.heard(entry, epoch=epoch, now_seconds=now_seconds)
        self._settlement.heard(entry, epoch=epoch, now_seconds=now_seconds)
        return True

    def answer_renewal(
        self,
        sender: str,
        message: RenewLease,
        now_seconds: float,
        *,
        stopping: bool,
    ) -> None:
        """Answers a router that asks to renew its lease."""
        listed = self.heard(
            sender,
            epoch=message.epoch,
            incarnation=message.incarnation,
            now_seconds=now_seconds,
        )
        self._liveness.set_suspects(sender, message.suspects)
        answer = LeaseRenewed(
            number=message.number,
            epoch=self._view.epoch,
            incarnation=self._view.own.incarnation,
            store_reachable=self._store.reachable(now_seconds),
        )
        if listed and self._view.is_listed and not stopping:
            until_seconds = self._lease.until_seconds
            answer.remaining_seconds = max(0.0, until_seconds - now_seconds)
            answer.during_outage = self._lease.stands_on_outage
        if self._view.is_listed and self._all_moved_on():
            answer.settled_epoch = self._view.epoch
        if message.epoch < self._view.epoch:
            answer.record.CopyFrom(self._view.record)
            answer.record_version = self._view.version
        self._send(sender, answer)

    def take_renewed(self, message: LeaseRenewed, now_seconds: float) -> None:
        """Takes the answer of a lease holder, its record being in force."""
        if message.store_reachable:
            self._store_heard_seconds = now_seconds
        if message.epoch != self._view.epoch:
            return
        if message.settled_epoch == self._view.epoch:
            self._settlement.settle_below(self._view.epoch)
        self._lease.renewed(message, now_seconds)

    def answer_question(
        self,
        sender: str,
        message: ConfirmOutage,
        now_seconds: float,
        *,
        stopped_acting: bool,
    ) -> None:
        """Says whether this router sees the outage too."""
        if sender not in self._view.members:
            return
        self._outage_asked_seconds = now_seconds
        failing = self._store.failing(now_seconds)
        if not failing:
            self._store.hurry(now_seconds)
        same_epoch = message.epoch == self._view.epoch
        may_confirm = self._view.is_listed and not stopped_acting
        answer = OutageConfirmed(
            number=message.number,
            epoch=self._view.epoch,
            incarnation=self._view.own.incarnation,
            confirmed=same_epoch and may_confirm and failing,
        )
        self._send(sender, answer)

    def take_answer(self, sender: str, message: OutageConfirmed) -> None:
        """Takes the answer of a router that was asked about an outage."""
        self.round.take(sender, message)
        self._take_round()

    def _take_round(self) -> None:
        self._lease.extend_through_outage(
            self.round.lease_until_seconds(self._lease.proved_at_seconds)
        )

    def _renewal_targets(self, now_seconds: float) -> list[str]:
        targets = self._view.others(self._view.holders)
        for member_id in targets:
            if not self._liveness.is_silent(member_id, now_seconds):
                return targets
        further = self._view.others(self._view.ranked[HOLDERS:])
        count = min(_FURTHER_TARGETS, len(further))
        return targets + self._context.rng.sample(further, count)

    def _all_moved_on(self) -> bool:
        """Returns whether nobody can act by an earlier epoch any more."""
        epoch = self._view.epoch
        return self._liveness.moved_on(
            self._settlement.participants(), epoch
        ) and self._liveness.moved_on(self._view.members.values(), epoch)

    def _send(self, member_id: str, message: Message) -> None:
        self._context.board.intents.append(SendToPeer(member_id, message))
