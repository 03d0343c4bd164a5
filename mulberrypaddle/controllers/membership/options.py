"""Times of the membership and the switches of its protections."""

from __future__ import annotations

# A proof that an epoch is the latest one is worth this long, counted from
# when it was asked for.
LEASE_SECONDS = 6.0
# Clocks of two VMs may differ in rate by less than this share.
CLOCK_DRIFT = 0.05
SETTLE_SECONDS = LEASE_SECONDS * (1 + CLOCK_DRIFT)
# How long confirmations alone may carry leases through an outage.
OUTAGE_MAX_SECONDS = 900.0

HOLDERS = 3
POLL_SECONDS = 1.0
RENEW_SECONDS = 1.0
# A router that is not a member yet asks this often.
JOIN_ASK_SECONDS = 0.3
# Above this many members each renews half as often, and is given twice the
# time before it counts as dead.
MANY_MEMBERS = 64
# A router whose lease is shorter reads the record itself.
LOW_LEASE_SECONDS = 1.5
# A member that is not heard for this long is removed.
DEAD_SECONDS = 3.0
# The same if most members are not heard, which is more often a partition.
DEAD_MAJORITY_SECONDS = 10.0
REACHABLE_SECONDS = 5.0
REJOIN_SECONDS = 2.0
# A router that no lease holder has added by then writes the record itself.
JOIN_ALONE_SECONDS = 2.0
# A stopping router stays owner for this long, so that duties are handed over.
HANDOVER_SECONDS = 1.0
# A stopping router that can't write the record goes all the same.
LEAVE_SECONDS = 5.0
# Holders take the removal of the dead in turn, this far apart.
TURN_SECONDS = 0.5
MAX_TURNS = 10
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 2.0
MIN_WRITE_BACKOFF_SECONDS = 0.1
MAX_WRITE_BACKOFF_SECONDS = 5.0


class MembershipOptions:
    """Protections that tests switch off to show what each prevents.

    Attributes:
        settle_wait: Whether a change rests until earlier leases lapsed.
        lease_from_send: Whether a lease counts from the renewal's sending.
        distrust_pause: Whether a pause voids leases and what was heard.
        confirm_outage: Whether going on through an outage needs every
            listed router's confirmation.
    """

    __slots__ = (
        "confirm_outage",
        "distrust_pause",
        "lease_from_send",
        "settle_wait",
    )

    def __init__(
        self,
        *,
        settle_wait: bool = True,
        lease_from_send: bool = True,
        distrust_pause: bool = True,
        confirm_outage: bool = True,
    ) -> None:
        self.settle_wait = settle_wait
        self.lease_from_send = lease_from_send
        self.distrust_pause = distrust_pause
        self.confirm_outage = confirm_outage
