"""Earlier epochs whose owners may still act.

After a change of the record a duty's new owner waits until no owner by an
earlier epoch can act. A proof that an epoch is the latest is worth one lease
from when it was asked for, so that everything under an earlier epoch has
lapsed one lease after a member learned of the later one. Confirmations of an
outage need every member of an epoch, so that one member which has moved on
ends them; a router that joins therefore counts from when it first hears of
such a member, or waits out the longest time that confirmations may carry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard.values import EarlierMembership
from mulberrypaddle.controllers.membership.options import (
    OUTAGE_MAX_SECONDS,
    SETTLE_SECONDS,
)
from mulberrypaddle.controllers.membership.record import (
    PastEpoch,
    past_epochs,
    stopped_entries,
)

if TYPE_CHECKING:
    from mulberrypaddle.peers.proto.membership_pb2 import (
        MemberEntry,
        MembershipRecord,
    )

# Above this many, earlier epochs are shown as one.
_MAX_SHOWN = 4


class _Unsettled:
    """One earlier epoch and when it will have settled."""

    __slots__ = ("awaits_member", "past", "settled_at_seconds")

    def __init__(
        self, past: PastEpoch, *, awaits_member: bool, now_seconds: float
    ) -> None:
        self.past = past
        self.awaits_member = awaits_member
        self.settled_at_seconds = now_seconds + SETTLE_SECONDS
        if awaits_member:
            self.settled_at_seconds += OUTAGE_MAX_SECONDS


class Settlement:
    """Keeps the earlier epochs that have not settled yet."""

    def __init__(self, own: MemberEntry) -> None:
        self._own = own
        self._unsettled: list[_Unsettled] = []

    def adopt(
        self,
        record: MembershipRecord,
        *,
        previous_epoch: int,
        now_seconds: float,
    ) -> None:
        """Takes a later record.

        Args:
            record: The record that is now in force here.
            previous_epoch: Epoch that was in force here; zero for none.
            now_seconds: Monotonic time.
        """
        self._forget_stopped(record)
        for past in past_epochs(record):
            if past.epoch < previous_epoch or not past.members:
                continue
            entry = past.members.get(self._own.member_id)
            self._unsettled.append(
                _Unsettled(
                    past,
                    awaits_member=not _stands_for(self._own, entry),
                    now_seconds=now_seconds,
                )
            )

    def heard(
        self, sender: MemberEntry, *, epoch: int, now_seconds: float
    ) -> None:
        """Takes note that a router has moved on to an epoch.

        Args:
            sender: The router as it stands in the present record.
            epoch: Epoch that is in force at the sender.
            now_seconds: Monotonic time.
        """
        for unsettled in self._unsettled:
            if not unsettled.awaits_member or epoch <= unsettled.past.epoch:
                continue
            entry = unsettled.past.members.get(sender.member_id)
            if not _stands_for(sender, entry):
                continue
            unsettled.awaits_member = False
            unsettled.settled_at_seconds = now_seconds + SETTLE_SECONDS

    def settle_below(self, epoch: int) -> None:
        """Drops the epochs before `epoch`: all their members moved on."""
        self._unsettled = [
            unsettled
            for unsettled in self._unsettled
            if unsettled.past.epoch >= epoch
        ]

    def prune(self, now_seconds: float) -> None:
        """Drops the epochs that have settled."""
        self._unsettled = [
            unsettled
            for unsettled in self._unsettled
            if now_seconds < unsettled.settled_at_seconds
        ]

    def oldest_epoch(self, default: int) -> int:
        """Returns the earliest unsettled epoch, or `default`."""
        epochs = [unsettled.past.epoch for unsettled in self._unsettled]
        return min(epochs, default=default)

    def participants(self) -> list[MemberEntry]:
        """Returns everyone who may still act by an earlier epoch."""
        entries: list[MemberEntry] = []
        for unsettled in self._unsettled:
            entries.extend(unsettled.past.members.values())
        return entries

    def shown(self) -> tuple[EarlierMembership, ...]:
        """Returns the earlier epochs as the blackboard shows them.

        A router owns a duty by every one of several epochs exactly if it is
        a member of each and owns the duty by their union, so that many
        epochs can be shown as one. A set without members lets nobody act.
        """
        if len(self._unsettled) <= _MAX_SHOWN:
            return tuple(
                EarlierMembership(
                    self._ids(unsettled), unsettled.settled_at_seconds
                )
                for unsettled in self._unsettled
            )
        union: frozenset[str] = frozenset()
        everywhere = True
        for unsettled in self._unsettled:
            ids = self._ids(unsettled)
            everywhere = everywhere and self._own.member_id in ids
            union |= ids
        settled_at_seconds = max(
            unsettled.settled_at_seconds for unsettled in self._unsettled
        )
        return (
            EarlierMembership(
                union if everywhere else frozenset(), settled_at_seconds
            ),
        )

    def _ids(self, unsettled: _Unsettled) -> frozenset[str]:
        """Returns the ids, none if an earlier process had this name."""
        entry = unsettled.past.members.get(self._own.member_id)
        if entry is not None and entry.incarnation != self._own.incarnation:
            return frozenset()
        return frozenset(unsettled.past.members)

    def _forget_stopped(self, record: MembershipRecord) -> None:
        stopped = stopped_entries(record)
        for unsettled in self._unsettled:
            for member_id, entry in stopped.items():
                known = unsettled.past.members.get(member_id)
                if known is None or known.incarnation != entry.incarnation:
                    continue
                unsettled.past = PastEpoch(
                    unsettled.past.epoch,
                    {
                        other_id: other
                        for other_id, other in unsettled.past.members.items()
                        if other_id != member_id
                    },
                )


def _stands_for(present: MemberEntry, past: MemberEntry | None) -> bool:
    """Returns whether what is sent to `past` reaches `present`."""
    if past is None or past.member_id != present.member_id:
        return False
    if past.incarnation == present.incarnation:
        return True
    return bool(past.address) and past.address == present.address
