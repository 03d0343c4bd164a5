"""The controller that keeps this router's membership and lease."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import Health, Membership
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.membership.changes import RecordChanges
from mulberrypaddle.controllers.membership.exchange import Exchange
from mulberrypaddle.controllers.membership.lease import Lease
from mulberrypaddle.controllers.membership.liveness import Liveness
from mulberrypaddle.controllers.membership.options import (
    HANDOVER_SECONDS,
    LEASE_SECONDS,
    LEAVE_SECONDS,
    LOW_LEASE_SECONDS,
    REACHABLE_SECONDS,
    MembershipOptions,
)
from mulberrypaddle.controllers.membership.settlement import Settlement
from mulberrypaddle.controllers.membership.store_access import RecordStore
from mulberrypaddle.controllers.membership.view import RecordView
from mulberrypaddle.core import invariants
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.peers.proto.membership_pb2 import (
    ConfirmOutage,
    LeaseRenewed,
    MemberEntry,
    OutageConfirmed,
    RenewLease,
)

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.peers.proto.membership_pb2 import MembershipRecord

RECORD_PREFIX = "members/"
_NEVER = float("-inf")
_ROUNDING_SECONDS = 1e-6


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
        own = MemberEntry(
            member_id=context.member_id,
            incarnation=context.incarnation,
            address=peer_address,
            data_centre=context.data_centre,
        )
        self._started_seconds = context.now_seconds()
        self._stop_seconds: float | None = None
        self._view = RecordView(own)
        self._store = RecordStore(
            context, RECORD_PREFIX + region, self._record_seen
        )
        self._lease = Lease(self._options)
        self._settlement = Settlement(own)
        self._liveness = Liveness(own)
        self._changes = RecordChanges(
            context,
            view=self._view,
            store=self._store,
            liveness=self._liveness,
            settlement=self._settlement,
        )
        self._exchange = Exchange(
            context,
            view=self._view,
            store=self._store,
            lease=self._lease,
            liveness=self._liveness,
            settlement=self._settlement,
            options=self._options,
        )

    def step(self, now_seconds: float) -> None:
        """Reads, writes and renews whatever is due."""
        self._settlement.prune(now_seconds)
        if self._needs_store(now_seconds):
            self._store.read_if_due(now_seconds)
        stopping = self._stop_seconds is not None
        self._changes.step(
            now_seconds,
            stopping=stopping,
            stopped_acting=self._stopped_acting(now_seconds),
        )
        self._exchange.renew(
            now_seconds,
            asks_to_join=(
                not stopping and self._changes.asks_to_join(now_seconds)
            ),
        )
        self._exchange.go_on_through_outage(now_seconds)
        self._publish(now_seconds)

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message of another router's membership controller."""
        _take(message, self, sender, now_seconds)
        self._publish(now_seconds)

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Voids the lease and gives every member a fresh start."""
        if not self._options.distrust_pause:
            return
        self._lease.void(now_seconds)
        self._exchange.round.reset()
        self._store.distrust(now_seconds)
        self._liveness.reset(now_seconds)
        self._publish(now_seconds)
        self.context.decide(
            "membership",
            subject=self.context.member_id,
            outcome="lease_void",
            reason="pause",
            gap_seconds=f"{gap_seconds:.1f}",
        )

    def stop(self, now_seconds: float) -> None:
        """Begins to leave; duties are handed over first."""
        if self._stop_seconds is None:
            self._stop_seconds = now_seconds
        self._publish(now_seconds)

    def take_renewal(
        self, sender: str, message: RenewLease, now_seconds: float
    ) -> None:
        """Answers a router that asks to renew its lease or to join."""
        if message.HasField("joins"):
            self._changes.joins.take(sender, message.joins, now_seconds)
        self._exchange.answer_renewal(
            sender,
            message,
            now_seconds,
            stopping=self._stop_seconds is not None,
        )

    def take_renewed(
        self, sender: str, message: LeaseRenewed, now_seconds: float
    ) -> None:
        """Takes the answer of a lease holder."""
        if message.HasField("record"):
            self._adopt(message.record, message.record_version, now_seconds)
        self._exchange.heard(
            sender,
            epoch=message.epoch,
            incarnation=message.incarnation,
            now_seconds=now_seconds,
        )
        self._exchange.take_renewed(message, now_seconds)

    def take_question(
        self, sender: str, message: ConfirmOutage, now_seconds: float
    ) -> None:
        """Says whether this router sees an outage."""
        self._exchange.answer_question(
            sender,
            message,
            now_seconds,
            stopped_acting=self._stopped_acting(now_seconds),
        )

    def take_answer(self, sender: str, message: OutageConfirmed) -> None:
        """Takes the answer of a router that was asked about an outage."""
        self._exchange.take_answer(sender, message)

    def _needs_store(self, now_seconds: float) -> bool:
        if not self._view.is_listed or self._view.is_holder:
            return True
        if self._exchange.was_asked(now_seconds):
            return True
        left_seconds = self._lease.until_seconds - now_seconds
        return left_seconds < LOW_LEASE_SECONDS or self._stopped_acting(
            now_seconds
        )

    def _record_seen(
        self, record: MembershipRecord, version: int, sent_seconds: float
    ) -> None:
        now_seconds = self.context.now_seconds()
        self._adopt(record, version, now_seconds)
        if record.epoch == self._view.epoch:
            self._lease.prove(sent_seconds, LEASE_SECONDS, now_seconds)
        self._publish(now_seconds)

    def _adopt(
        self, record: MembershipRecord, version: int, now_seconds: float
    ) -> None:
        """Puts a record in force if it is a later one."""
        if record.epoch <= self._view.epoch:
            return
        previous_epoch = self._view.epoch
        was_listed = self._view.is_listed
        was_holder = self._view.is_holder
        self._view.take(record, version)
        # Confirmations hold for the epoch that they were given for.
        self._lease.drop_outage()
        self._exchange.round.reset()
        self._liveness.track(self._view.members, now_seconds)
        if not was_holder:
            self._liveness.reset(now_seconds)
        self._changes.adopted(now_seconds, was_listed=was_listed)
        if self._options.settle_wait:
            self._settlement.adopt(
                record,
                previous_epoch=previous_epoch,
                now_seconds=now_seconds,
            )
        self.context.decide(
            "membership",
            subject=f"epoch-{record.epoch}",
            outcome=",".join(sorted(self._view.members)),
            reason="record_changed",
        )

    def _stopped_acting(self, now_seconds: float) -> bool:
        if self._stop_seconds is None:
            return False
        has_heirs = len(self._view.members) > 1
        return now_seconds >= self._stop_seconds + HANDOVER_SECONDS * has_heirs

    def _has_left(self, now_seconds: float) -> bool:
        if self._stop_seconds is None or not self._stopped_acting(now_seconds):
            return False
        if not self._view.is_listed:
            return True
        return now_seconds >= self._stop_seconds + LEAVE_SECONDS

    def _publish(self, now_seconds: float) -> None:
        until_seconds = self._lease.until_seconds
        invariants.check(
            until_seconds <= now_seconds + LEASE_SECONDS + _ROUNDING_SECONDS,
            Invariant.SINGLE_OWNER,
            f"lease of {until_seconds - now_seconds} s at epoch "
            f"{self._view.epoch}",
        )
        if not self._view.is_listed or self._stopped_acting(now_seconds):
            until_seconds = _NEVER
        self.left = self._has_left(now_seconds)
        self.context.board.write(
            keys.MEMBERSHIP,
            Membership(
                epoch=self._view.epoch,
                members=self._view.shown_members,
                lease_until_seconds=until_seconds,
                unsettled=self._settlement.shown(),
                departed_members=self._view.shown_departed,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )
        self._publish_health(now_seconds)

    def _publish_health(self, now_seconds: float) -> None:
        reachable = self._store.reachable(
            now_seconds
        ) or self._exchange.store_heard(now_seconds)
        peers = self._liveness.reachable(now_seconds)
        alone = len(self._view.members) <= 1
        started_lately = now_seconds - self._started_seconds < REACHABLE_SECONDS
        isolated = not (reachable or peers or alone or started_lately)
        self.context.board.write(
            keys.HEALTH,
            Health(
                store_reachable=reachable,
                peers_reachable=peers,
                stopping=self._stop_seconds is not None,
                isolated=isolated or self._view.is_superseded,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )


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
