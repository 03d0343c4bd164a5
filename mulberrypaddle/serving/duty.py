"""One duty as one router keeps it: the groups of one data centre."""

from __future__ import annotations

import time

from mulberrypaddle.replicas.ownership import Ownership


def boot_seconds() -> float:
    """Returns a monotonic time that also counts the VM's suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HeardClaim:
    """What an owner itself told of its lease.

    Attributes:
        incarnation: Process of the owner.
        renewals: Renewals that it had made when it told.
        until_seconds: When the lease that it told of ends.
    """

    __slots__ = ("incarnation", "renewals", "until_seconds")

    def __init__(
        self, incarnation: str, *, renewals: int, until_seconds: float
    ) -> None:
        self.incarnation = incarnation
        self.renewals = renewals
        self.until_seconds = until_seconds


class Duty:
    """A duty, and this router's hold on it. Times count suspension.

    Attributes:
        name: Data centre whose groups it is about.
        ownership: What is known of it, and the right to it.
        heard: What its owner last told of it; None before.
        heard_at_seconds: When an owner was last heard or seen.
        sent_at_seconds: When the last write of this router was sent.
        unanswered_since_seconds: Since when renewals are not answered; None
            while they are.
        resigned_revision: Revision of the record up to which this process has
            handed the duty over; 0 if it never has.
    """

    __slots__ = (
        "heard",
        "heard_at_seconds",
        "name",
        "ownership",
        "resigned_revision",
        "sent_at_seconds",
        "unanswered_since_seconds",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.ownership = Ownership()
        self.heard: HeardClaim | None = None
        self.heard_at_seconds = 0.0
        self.sent_at_seconds = 0.0
        self.unanswered_since_seconds: float | None = None
        self.resigned_revision = 0

    @property
    def owned(self) -> bool:
        """Returns whether this router took it and has not lost it."""
        return self.ownership.fence > 0

    def held(self) -> bool:
        """Returns whether this router may act on it now."""
        return self.ownership.holds(boot_seconds())

    def unanswered_seconds(self) -> float:
        """Returns how long a renewal has been waited for; 0 if not."""
        if not self.owned or self.unanswered_since_seconds is None:
            return 0.0
        return boot_seconds() - self.unanswered_since_seconds

    def lease_left_seconds(self) -> float:
        """Returns how long the own lease holds; 0 if it does not."""
        return self.ownership.lease_left_seconds(boot_seconds())

    def take_claim(self, claim: HeardClaim) -> None:
        """Takes what its owner told."""
        self.heard = claim
        self.heard_at_seconds = boot_seconds()

    def resign(self) -> int:
        """Gives the duty up; returns the revision of the own record."""
        self.resigned_revision = self.ownership.revision
        self.ownership.lost()
        self.unanswered_since_seconds = None
        return self.resigned_revision

    def taken(self, revision: int, *, sent_at_seconds: float) -> None:
        """Takes that the own write made this router the owner."""
        self.unanswered_since_seconds = None
        self.ownership.taken(revision, sent_at_seconds=sent_at_seconds)

    def renewed(
        self, revision: int, *, renewals: int, sent_at_seconds: float
    ) -> None:
        """Takes that the own write renewed the lease."""
        self.unanswered_since_seconds = None
        self.ownership.renewals = renewals
        self.ownership.renewed(revision, sent_at_seconds=sent_at_seconds)

    def may_take(self, *, owner_ended: bool) -> bool:
        """Returns whether this router may try to take it.

        Args:
            owner_ended: Whether the owner's process is known to have ended.
        """
        if self.heard is not None:
            self.ownership.observe_claim(
                self.heard.incarnation,
                renewals=self.heard.renewals,
                until_seconds=self.heard.until_seconds,
            )
        return self.ownership.may_take(boot_seconds(), owner_ended=owner_ended)
