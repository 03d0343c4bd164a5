"""The duty to lead the groups of one data centre, as this router sees it.

The owner of a duty is the one router that forms and repairs the groups of that
data centre. It holds the duty by a lease, which is an object in the store; the
revision at which it acquired the lease is its fencing token.
"""

from __future__ import annotations

import time

from mulberrypaddle.replicas.ownership import Ownership


def boottime_seconds() -> float:
    """Returns a monotonic time that also counts the VM's suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OwnerClaim:
    """Lease of a duty, as its owner reported it in a heartbeat.

    Attributes:
        incarnation: Id of the owner's process.
        renewals: Number of the record that the owner's lease was based on.
        lease_end_seconds: When the reported lease ends, by
            `boottime_seconds`.
    """

    __slots__ = ("incarnation", "lease_end_seconds", "renewals")

    def __init__(
        self, incarnation: str, *, renewals: int, lease_end_seconds: float
    ) -> None:
        self.incarnation = incarnation
        self.renewals = renewals
        self.lease_end_seconds = lease_end_seconds


class Duty:
    """A duty and this router's lease on it, if it has one.

    All times are by `boottime_seconds`, so they count suspension.

    Attributes:
        name: Data centre whose groups the duty covers.
        ownership: Last known state of the lease object, and this router's
            lease and fencing token.
        last_claim: Last claim received from the duty's owner; None if none
            was received yet.
        owner_seen_at_seconds: When a claim of the owner was last received, or
            when this router last had reason to expect one soon; 0.0 before.
        last_write_at_seconds: When this router last sent a write that acquires
            or renews the lease; 0.0 before.
        renewal_pending_since_seconds: When the oldest renewal without a
            successful answer was sent; None if none is pending.
        others_reached_at_seconds: When this router first learned that others
            reach the store while its renewal is pending; None if it hasn't.
        resigned_revision: Revision of the lease object up to which this
            process has resigned from the duty; 0 if it never has.
    """

    __slots__ = (
        "last_claim",
        "last_write_at_seconds",
        "name",
        "others_reached_at_seconds",
        "owner_seen_at_seconds",
        "ownership",
        "renewal_pending_since_seconds",
        "resigned_revision",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.ownership = Ownership()
        self.last_claim: OwnerClaim | None = None
        self.owner_seen_at_seconds = 0.0
        self.last_write_at_seconds = 0.0
        self.renewal_pending_since_seconds: float | None = None
        self.others_reached_at_seconds: float | None = None
        self.resigned_revision = 0

    @property
    def owned(self) -> bool:
        """Returns whether this router acquired the duty and has not lost it.

        Its lease may have expired nevertheless; see `holds_lease`.
        """
        return self.ownership.fencing_token > 0

    def holds_lease(self) -> bool:
        """Returns whether this router has an unexpired lease on the duty."""
        return self.ownership.has_valid_lease(boottime_seconds())

    def renewal_pending_seconds(self) -> float:
        """Returns the age of the oldest unanswered renewal; 0 if none is."""
        if not self.owned or self.renewal_pending_since_seconds is None:
            return 0.0
        return boottime_seconds() - self.renewal_pending_since_seconds

    def lease_left_seconds(self) -> float:
        """Returns the time left on this router's lease; 0 without one."""
        return self.ownership.lease_left_seconds(boottime_seconds())

    def record_claim(self, claim: OwnerClaim) -> None:
        """Records the lease that another router reported as owner."""
        self.last_claim = claim
        self.owner_seen_at_seconds = boottime_seconds()

    def resign(self) -> int:
        """Drops this router's lease without writing to the store.

        Returns:
            Revision of this router's last write to the lease object.
        """
        self.resigned_revision = self.ownership.revision
        self.ownership.record_lost()
        self.renewal_pending_since_seconds = None
        return self.resigned_revision

    def record_acquired(
        self, revision: int, *, renewals: int, sent_at_seconds: float
    ) -> None:
        """Records that this router's write acquired the lease.

        Args:
            revision: Revision of the write; it becomes the fencing token.
            renewals: Number of the written record.
            sent_at_seconds: When the write was sent; the lease starts then.
        """
        self.renewal_pending_since_seconds = None
        self.ownership.record_acquired(
            revision, renewals=renewals, sent_at_seconds=sent_at_seconds
        )

    def record_renewed(
        self, revision: int, *, renewals: int, sent_at_seconds: float
    ) -> None:
        """Records that this router's write renewed the lease.

        Args:
            revision: Revision of the write.
            renewals: Number of the written record.
            sent_at_seconds: When the write was sent; the lease runs from then.
        """
        self.renewal_pending_since_seconds = None
        self.ownership.record_renewed(
            revision, renewals=renewals, sent_at_seconds=sent_at_seconds
        )

    def may_acquire(self, *, owner_ended: bool) -> bool:
        """Returns whether this router may try to acquire the duty.

        Args:
            owner_ended: Whether the owner's process is known to have ended.
        """
        if self.last_claim is not None:
            self.ownership.observe_reported_lease(
                self.last_claim.incarnation,
                renewals=self.last_claim.renewals,
                until_seconds=self.last_claim.lease_end_seconds,
            )
        return self.ownership.may_acquire(
            boottime_seconds(), owner_ended=owner_ended
        )
