"""Which router may give orders to runners.

One object in the store names the owner. The owner writes it again and again;
another router takes over by a conditional write once the object has stood
still for the whole lease, or earlier if the owner's process is known to have
ended or says itself that it gave the duty up. Time is measured by a clock that
also counts the suspension of a VM.

An owner that can't renew asks the others what they see of the store. If one of
them reaches it, the owner hands over. If none does, nobody can take over, and
the owner goes on for as long as that stays so.
"""

from __future__ import annotations

import enum
from typing import Any

# Time for which a write of the owner holds: a dead owner's groups wait so
# long for repair. Three renewals, one of which may be lost.
LEASE_SECONDS = 3.0

# The owner stops this much before its lease ends: orders on their way.
LEASE_MARGIN_SECONDS = 0.6

# Pause between two renewals.
RENEW_SECONDS = 0.8

# Time for which the consent of the others holds; some of their messages.
CONSENT_SECONDS = 0.6

# Part of the routers that may have said nothing of the store yet when an owner
# goes on: of many some have just started or stop.
MAX_UNKNOWN_FRACTION = 0.1

# Epochs that one revision of the store gives room for.
EPOCHS_PER_REVISION = 1024


class StoreSight(enum.IntEnum):
    """What a router lately saw of the store."""

    UNKNOWN = -1
    FAILED = 0
    SERVED = 1


class OutageVerdict(enum.Enum):
    """What an owner that can't renew does."""

    WAIT = "wait"
    HAND_OVER = "hand_over"
    GO_ON = "go_on"


def judge_outage(
    observations: list[StoreSight], *, routers: int
) -> OutageVerdict:
    """Decides what an owner does while it can't renew.

    Args:
        sights: What the other routers that are heard now see of the store.
        routers: Routers that may be alive, the owner counted.
    """
    if StoreSight.SERVED in observations:
        return OutageVerdict.HAND_OVER
    failed = observations.count(StoreSight.FAILED)
    # A minority that is not heard may still reach the store and take over;
    # then the fence of the new owner holds this one's orders off.
    unknown = len(observations) - failed
    if unknown <= MAX_UNKNOWN_FRACTION * routers and 2 * (failed + 1) > routers:
        return OutageVerdict.GO_ON
    return OutageVerdict.WAIT


class OwnerRecord:
    """What the object in the store says.

    Attributes:
        node: Router that owns the duty.
        incarnation: Process of that router.
        address: Where that process answers other routers.
        renewals: Counts the writes, so that each changes the object.
        given_up: Whether the owner has given the duty up.
    """

    __slots__ = ("address", "given_up", "incarnation", "node", "renewals")

    def __init__(
        self,
        node: str,
        *,
        incarnation: str,
        address: str,
        renewals: int,
        given_up: bool = False,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.renewals = renewals
        self.given_up = given_up

    def to_value(self) -> dict[str, Any]:
        """Returns the record as it is stored."""
        return {
            "node": self.node,
            "incarnation": self.incarnation,
            "address": self.address,
            "renewals": self.renewals,
            "given_up": self.given_up,
        }

    @classmethod
    def from_value(cls, value: Any) -> OwnerRecord | None:
        """Reads a stored record; None if it is none."""
        if not isinstance(value, dict):
            return None
        try:
            return cls(
                str(value["node"]),
                incarnation=str(value["incarnation"]),
                address=str(value["address"]),
                renewals=int(value["renewals"]),
                given_up=bool(value["given_up"]),
            )
        except (KeyError, TypeError, ValueError):
            return None


class Ownership:
    """What one router knows of the duty and of its own right to it.

    Attributes:
        revision: Revision of the object that was last seen.
        record: What the object said; None if there is none.
        renewals: Count in the own record that was written last.
        since_seconds: When that revision was first seen here.
        fence: Revision at which this router took the duty; 0 if it has not.
    """

    __slots__ = (
        "_epochs_issued",
        "_held_until_seconds",
        "fence",
        "record",
        "renewals",
        "revision",
        "since_seconds",
    )

    def __init__(self) -> None:
        self.renewals = 0
        self.revision = 0
        self.record: OwnerRecord | None = None
        self.since_seconds = 0.0
        self.fence = 0
        self._held_until_seconds = 0.0
        self._epochs_issued = 0

    def observe(
        self, record: OwnerRecord | None, *, revision: int, now_seconds: float
    ) -> None:
        """Takes what the store said; older revisions are left out."""
        if revision <= self.revision and self.since_seconds > 0:
            return
        self.revision = revision
        self.record = record
        self.since_seconds = now_seconds

    def holds(self, now_seconds: float) -> bool:
        """Returns whether this router may give orders now."""
        return self.fence > 0 and now_seconds < self._held_until_seconds

    def observe_claim(
        self, incarnation: str, *, renewals: int, until_seconds: float
    ) -> None:
        """Takes that the owner itself told how long its lease holds.

        Args:
            incarnation: Process of the owner.
            renewals: Renewals that it had made when it told.
            until_seconds: When the lease that it told of ends.
        """
        record = self.record
        if record is None or record.incarnation != incarnation:
            return
        if record.renewals == renewals:
            self.since_seconds = min(
                self.since_seconds, until_seconds - LEASE_SECONDS
            )

    def lease_left_seconds(self, now_seconds: float) -> float:
        """Returns how long the own lease holds; 0 if it does not."""
        if self.fence == 0:
            return 0.0
        return max(0.0, self._held_until_seconds - now_seconds)

    def may_take(self, now_seconds: float, *, owner_ended: bool) -> bool:
        """Returns whether this router may try to take the duty.

        Args:
            now_seconds: Time by a clock that counts suspension.
            owner_ended: Whether the owner's process is known to have ended.
        """
        if self.record is None or self.record.given_up or owner_ended:
            return True
        return now_seconds - self.since_seconds >= LEASE_SECONDS

    def taken(self, revision: int, *, sent_at_seconds: float) -> None:
        """Takes that the own write made this router the owner."""
        self.fence = revision
        self._epochs_issued = 0
        self.renewed(revision, sent_at_seconds=sent_at_seconds)

    def renewed(self, revision: int, *, sent_at_seconds: float) -> None:
        """Takes that the own write renewed the lease.

        Args:
            revision: Revision of the write.
            sent_at_seconds: When it was sent; the lease runs from there.
        """
        self.revision = revision
        self.since_seconds = sent_at_seconds
        self._held_until_seconds = (
            sent_at_seconds + LEASE_SECONDS - LEASE_MARGIN_SECONDS
        )

    def consented(self, now_seconds: float) -> None:
        """Takes that no other router can take over just now.

        It extends a lease that still holds; one that has ended stays so.
        """
        if self.holds(now_seconds):
            self._held_until_seconds = max(
                self._held_until_seconds, now_seconds + CONSENT_SECONDS
            )

    def lost(self) -> None:
        """Takes that another router owns the duty, or that it was given up."""
        self.fence = 0
        self._held_until_seconds = 0.0

    def next_epoch(self) -> int:
        """Returns an epoch above all that were given before, by any owner."""
        self._epochs_issued += 1
        return self.fence * EPOCHS_PER_REVISION + self._epochs_issued
