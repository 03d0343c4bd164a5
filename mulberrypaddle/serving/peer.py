"""The last heartbeat of another router, and this router's duty status."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.serving.heartbeat import Heartbeat

# Time without a heartbeat after which a router no longer counts as alive.
PEER_TIMEOUT_SECONDS = 1.0


class Peer:
    """The last heartbeat of another router or summary of a data centre.

    Attributes:
        heartbeat: Its last heartbeat, or the last summary of a data centre.
        received_at_seconds: Loop time at which that was received.
    """

    __slots__ = ("heartbeat", "received_at_seconds")

    def __init__(
        self, heartbeat: Heartbeat, received_at_seconds: float
    ) -> None:
        self.heartbeat = heartbeat
        self.received_at_seconds = received_at_seconds

    def is_fresh(self, now_seconds: float) -> bool:
        """Returns whether the last heartbeat is recent enough to rely on."""
        return now_seconds - self.received_at_seconds <= PEER_TIMEOUT_SECONDS


class DutyStatus:
    """The part of a heartbeat on duties and on the reachability of the store.

    A duty is the leadership over the groups of one data centre, held by a
    lease in the store.

    Attributes:
        claims: Lease of each duty that this router holds: its incarnation,
            the number of its record and the milliseconds left.
        resigned: Revision of the lease record up to which this process has
            released a duty, by duty.
        opening: Milliseconds until the next group can serve requests, by
            model.
        watches_store: Whether this router watches the store for others, and
            the store answers it.
        store_sight: Whether this router could reach the store when it last
            tried, as a value of `StoreReachability`.
        store_sight_age_ms: Milliseconds since that observation.
        asks_for_store: Whether other routers should check if they can reach
            the store, since renewals fail here.
    """

    __slots__ = (
        "asks_for_store",
        "claims",
        "opening",
        "watches_store",
        "resigned",
        "store_sight",
        "store_sight_age_ms",
    )

    def __init__(
        self,
        *,
        claims: dict[str, tuple[str, int, int]] | None = None,
        resigned: dict[str, int] | None = None,
        opening: dict[str, int] | None = None,
        watches_store: bool = False,
        store_sight: int = -1,
        store_sight_age_ms: int = 0,
        asks_for_store: bool = False,
    ) -> None:
        self.claims = claims or {}
        self.resigned = resigned or {}
        self.opening = opening or {}
        self.watches_store = watches_store
        self.store_sight = store_sight
        self.store_sight_age_ms = store_sight_age_ms
        self.asks_for_store = asks_for_store
