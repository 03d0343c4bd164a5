"""Decides which router may send orders to the runners of a data centre.

This right is called a duty, and the router that has it is its owner. The owner
holds a lease: one object in the store names the owner, which renews the lease
by rewriting the object. Another router may acquire the duty by a conditional
write once the object has not changed for the length of a lease, or earlier if
the owner's process is known to have ended or has released the duty. Times come
from a clock that also counts the time for which a VM is suspended.

An owner that can't renew asks the other routers whether they reach the store.
If one of them does, the owner hands the duty over. If none does, none can
acquire the duty, and the owner continues for as long as that remains true.

A store that is restored from a copy has lost the leases written after the copy
was made, and may run writes that were sent before. Records therefore name the
era in which they were sent. What the store shows of an earlier era, or the
absence of an object in a new one, proves nothing about the owner: the lease
that counts may be known only to its holder, until it ends.
"""

from __future__ import annotations

import enum
import logging
from typing import Any

from mulberrypaddle.core.value_checks import (
    require_address,
    require_bool,
    require_int,
    require_name,
)
from mulberrypaddle.serving.store_era import FIRST_ERA, era_of, make_revision

_LOGGER = logging.getLogger("mulberrypaddle.duties")

# Length of the lease, counted from the owner's last write. It delays the repair
# of groups after the owner dies, and spans three renewals so that one of them
# may be lost.
LEASE_SECONDS = 3.0

# The owner stops issuing orders this long before its lease ends, so that orders
# in flight arrive in time.
LEASE_MARGIN_SECONDS = 0.6

# Interval between two renewals of the lease.
RENEWAL_INTERVAL_SECONDS = 0.8

# Time by which the consent of the other routers extends the lease. It spans a
# few of their heartbeats.
CONSENT_SECONDS = 0.6

# Fraction of the routers whose reachability of the store may be unknown when an
# owner continues without it: in a large fleet some are always starting or
# stopping.
MAX_UNKNOWN_FRACTION = 0.1

# Number of epochs that an owner can issue per fencing token.
EPOCHS_PER_REVISION = 1024


class StoreReachability(enum.IntEnum):
    """Whether a router has recently reached the store.

    Attributes:
        UNKNOWN: The router has no recent result.
        UNREACHABLE: Its last access to the store failed.
        REACHABLE: The store answered its last access.
    """

    UNKNOWN = -1
    UNREACHABLE = 0
    REACHABLE = 1


class OutageDecision(enum.Enum):
    """What an owner that can't renew its lease does.

    Attributes:
        WAIT: Let the lease run out unless renewals succeed again.
        HAND_OVER: Release the duty, since another router reaches the store.
        GO_ON: Extend the lease locally, since most routers confirm that they
            can't reach the store either.
    """

    WAIT = "wait"
    HAND_OVER = "hand_over"
    GO_ON = "go_on"


def decide_on_outage(
    observations: list[StoreReachability], *, routers: int
) -> OutageDecision:
    """Decides whether an owner that can't renew its lease keeps the duty.

    Args:
        observations: Reachability of the store as reported by each other router
            with recent heartbeats.
        routers: Number of routers that may be alive, including the owner.
    """
    if StoreReachability.REACHABLE in observations:
        return OutageDecision.HAND_OVER
    failed = observations.count(StoreReachability.UNREACHABLE)
    # A minority that sends no heartbeats may still reach the store and acquire
    # the duty. Its higher fencing token then makes runners refuse this owner's
    # orders.
    unknown = len(observations) - failed
    if unknown <= MAX_UNKNOWN_FRACTION * routers and 2 * (failed + 1) > routers:
        return OutageDecision.GO_ON
    return OutageDecision.WAIT


class OwnerRecord:
    """Contents of the store's object that names the owner of a duty.

    Attributes:
        node: Name of the router that owns the duty.
        incarnation: Id of that router's process.
        address: Address at which that process serves other routers.
        renewals: Number of the record among those of the process, which differ
            in it, also across ownerships. The store gives a record that equals
            the stored one no new revision.
        era: Era of the store in which the record was sent.
        given_up: Whether the owner has released the duty, so that another
            router may acquire it at once.
    """

    __slots__ = (
        "address",
        "era",
        "given_up",
        "incarnation",
        "node",
        "renewals",
    )

    def __init__(
        self,
        node: str,
        *,
        incarnation: str,
        address: str,
        renewals: int,
        era: int = FIRST_ERA,
        given_up: bool = False,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.renewals = renewals
        self.era = era
        self.given_up = given_up

    def to_value(self) -> dict[str, Any]:
        """Returns the record as a JSON object to be written to the store."""
        return {
            "node": self.node,
            "incarnation": self.incarnation,
            "address": self.address,
            "renewals": self.renewals,
            "era": self.era,
            "given_up": self.given_up,
        }

    @classmethod
    def from_value(cls, value: Any) -> OwnerRecord | None:
        """Parses a stored record; None if it is malformed."""
        if not isinstance(value, dict):
            return None
        try:
            return cls(
                require_name(value["node"]),
                incarnation=require_name(value["incarnation"]),
                address=require_address(value["address"]),
                renewals=require_int(value["renewals"]),
                # Earlier versions write no era.
                era=require_int(value.get("era", FIRST_ERA)),
                given_up=require_bool(value["given_up"]),
            )
        except (KeyError, ValueError) as error:
            _LOGGER.warning(
                "unreadable_lease",
                extra={"reason": f"{type(error).__name__}: {error}"},
            )
            return None

    def was_sent_before(self, revision: int) -> bool:
        """Returns whether the record was sent in an era before a revision's.

        It was then copied or has taken effect late, and proves nothing.

        Args:
            revision: Revision at which the store has the record.
        """
        return self.era != era_of(revision)


class Ownership:
    """One router's knowledge of a duty's owner, and its lease if it owns it.

    Times are in seconds of a clock that continues while the VM is suspended.

    Attributes:
        revision: Revision of the store's object that was last observed; the
            first of its era if the object was absent.
        record: Contents of that revision; None if there is no valid record.
        renewals: Number of the record that this router's lease is based on.
        since_seconds: Time from which the owner's lease is counted: when the
            revision was observed, or when this router's own write was sent.
        fencing_token: Revision of the store at which this router acquired the
            duty; 0 while it does not own it.
    """

    __slots__ = (
        "_held_until_seconds",
        "_last_epoch",
        "_last_renewals",
        "_sent_at_seconds",
        "fencing_token",
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
        self.fencing_token = 0
        self._held_until_seconds = 0.0
        self._last_renewals = 0
        self._last_epoch = 0
        # When the records of the last `LEASE_SECONDS` were sent, by number.
        self._sent_at_seconds: dict[int, float] = {}

    def observe(
        self, record: OwnerRecord | None, *, revision: int, now_seconds: float
    ) -> None:
        """Records the owner as read from the store; ignores old revisions."""
        if revision <= self.revision and self.since_seconds > 0:
            return
        self.revision = revision
        self.record = record
        self.since_seconds = now_seconds

    def observe_absence(self, *, revision: int, now_seconds: float) -> None:
        """Records that the store has no object, if that is news of its era.

        Args:
            revision: Revision of the list without the object.
            now_seconds: Time of a clock that continues during suspension.
        """
        first_revision = make_revision(0, era_of(revision))
        self.observe(None, revision=first_revision, now_seconds=now_seconds)

    def has_valid_lease(self, now_seconds: float) -> bool:
        """Returns whether this router owns the duty and may send orders now."""
        return self.fencing_token > 0 and now_seconds < self._held_until_seconds

    def observe_reported_lease(
        self, incarnation: str, *, renewals: int, until_seconds: float
    ) -> None:
        """Applies the end of the lease as the owner itself reports it.

        The report is ignored unless it concerns the observed record. It can
        only shorten the wait until another router may acquire the duty.

        Args:
            incarnation: Id of the owner's process.
            renewals: Number of the record that the report is based on.
            until_seconds: End of the lease according to the report.
        """
        record = self.record
        if record is None or record.incarnation != incarnation:
            return
        if self._may_hide_lease():
            return
        if record.renewals == renewals:
            self.since_seconds = min(
                self.since_seconds, until_seconds - LEASE_SECONDS
            )

    def lease_left_seconds(self, now_seconds: float) -> float:
        """Returns how long this router may still send orders; 0 if not now."""
        if self.fencing_token == 0:
            return 0.0
        return max(0.0, self._held_until_seconds - now_seconds)

    def may_acquire(self, now_seconds: float, *, owner_ended: bool) -> bool:
        """Returns whether this router may try to acquire the duty.

        Args:
            now_seconds: Time of a clock that continues during suspension.
            owner_ended: Whether the owner's process is known to have ended.
        """
        if not self._may_hide_lease() and (
            self.record is None or self.record.given_up or owner_ended
        ):
            return True
        return now_seconds - self.since_seconds >= LEASE_SECONDS

    def _may_hide_lease(self) -> bool:
        """Returns whether a restore may have undone a lease that still runs."""
        if self.record is None:
            return era_of(self.revision) > FIRST_ERA
        return self.record.was_sent_before(self.revision)

    def next_renewals(self, now_seconds: float) -> int:
        """Returns the number for a record that this router is about to write.

        It is never returned again, whether or not the write takes effect.
        """
        self._last_renewals += 1
        self._sent_at_seconds = {
            renewals: sent_at_seconds
            for renewals, sent_at_seconds in self._sent_at_seconds.items()
            if now_seconds - sent_at_seconds < LEASE_SECONDS
        }
        self._sent_at_seconds[self._last_renewals] = now_seconds
        return self._last_renewals

    def sent_at_seconds(self, renewals: int) -> float:
        """Returns when this router sent a record; 0 if a lease or more ago.

        Args:
            renewals: Number of the record.
        """
        return self._sent_at_seconds.get(renewals, 0.0)

    def record_acquired(
        self, revision: int, *, renewals: int, sent_at_seconds: float
    ) -> None:
        """Records that this router's write made it the owner.

        Args:
            revision: Revision of the write, which becomes the fencing token.
            renewals: Number of the written record.
            sent_at_seconds: When the write was sent; the lease starts then.
        """
        self.fencing_token = revision
        self.record_renewed(
            revision, renewals=renewals, sent_at_seconds=sent_at_seconds
        )

    def record_renewed(
        self, revision: int, *, renewals: int, sent_at_seconds: float
    ) -> None:
        """Records that this router's write renewed its lease.

        Args:
            revision: Revision of the write.
            renewals: Number of the written record.
            sent_at_seconds: When the write was sent; the lease starts then.
        """
        self.revision = revision
        self.renewals = renewals
        self.since_seconds = sent_at_seconds
        self._held_until_seconds = (
            sent_at_seconds + LEASE_SECONDS - LEASE_MARGIN_SECONDS
        )

    def extend_by_consent(self, now_seconds: float) -> None:
        """Extends the lease locally, as `OutageDecision.GO_ON` allows.

        This is safe since no other router can acquire the duty now. A lease
        that has already expired is not revived.
        """
        if self.has_valid_lease(now_seconds):
            self._held_until_seconds = max(
                self._held_until_seconds, now_seconds + CONSENT_SECONDS
            )

    def record_lost(self) -> None:
        """Records that this router lost or released the duty."""
        self.fencing_token = 0
        self._held_until_seconds = 0.0

    def next_epoch(self) -> int:
        """Returns a group epoch higher than any that an owner issued before.

        It is derived from the fencing token, which rises with each ownership.
        """
        base = self.fencing_token * EPOCHS_PER_REVISION
        self._last_epoch = max(self._last_epoch, base) + 1
        return self._last_epoch
