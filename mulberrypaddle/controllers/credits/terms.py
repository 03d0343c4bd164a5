"""Times of the credit protocol and the protections that tests switch off."""

from __future__ import annotations

# A grant may be used for this long, counted by its holder from the ask.
GRANT_SECONDS = 4.0
# The owner counts a grant for this much longer: clocks drift.
MARGIN_SECONDS = 0.5
RENEW_SECONDS = 1.5
# Shortest time between two asks of one holder to one owner.
URGENT_SECONDS = 0.05
# Longest way of a request from a router to a runner.
FLIGHT_SECONDS = 1.0
REPORT_SECONDS = 1.0
# Reports that are older than this confirm nothing.
REPORT_MAX_AGE_SECONDS = 3.0
# Without a lease, an owner goes on while a majority of the members has been
# heard within this time, and no longer than the second one.
QUORUM_SECONDS = 6.0
GOES_ON_SECONDS = 900.0
# An owner that was silent for this long can have no grant in force that a
# majority allowed.
SILENT_SECONDS = QUORUM_SECONDS + GRANT_SECONDS + MARGIN_SECONDS
# A new owner that hears no majority of the earlier members waits this long.
PATIENCE_SECONDS = 60.0
# Without use for this long, a pool is no longer asked for.
IDLE_SECONDS = 10.0


class Protections:
    """Switches for tests and benchmarks; a router has all of them on.

    Attributes:
        counts_silent_holders: Whether a silent holder's credit stays
            counted until its end at the runner is known.
        waits_for_earlier_grants: Whether a new owner waits until the
            grants of an earlier one have expired.
        ramps: Whether a started runner begins with its cold limit.
        expires_grants: Whether a holder stops using an expired grant.
        sees_restarts: Whether a changed runner incarnation counts as cold.
        goes_on: Whether owners grant without a lease while a majority of
            the members asks them.
        needs_majority: Whether going on needs that majority.
        shares: Whether routers share a ledger; off, each counts for itself.
    """

    __slots__ = (
        "counts_silent_holders",
        "expires_grants",
        "goes_on",
        "needs_majority",
        "ramps",
        "sees_restarts",
        "shares",
        "waits_for_earlier_grants",
    )

    def __init__(
        self,
        *,
        counts_silent_holders: bool = True,
        waits_for_earlier_grants: bool = True,
        ramps: bool = True,
        expires_grants: bool = True,
        sees_restarts: bool = True,
        goes_on: bool = True,
        needs_majority: bool = True,
        shares: bool = True,
    ) -> None:
        self.counts_silent_holders = counts_silent_holders
        self.waits_for_earlier_grants = waits_for_earlier_grants
        self.ramps = ramps
        self.expires_grants = expires_grants
        self.sees_restarts = sees_restarts
        self.goes_on = goes_on
        self.needs_majority = needs_majority
        self.shares = shares
