"""Election of the router that relays heartbeats for its data centre.

If every router sent heartbeats to every other one, the messages would grow with
the square of their number. In a large fleet one router of each data centre is
its relay: it receives the heartbeats of the others there, sends them digests of
the whole fleet, and exchanges summaries with the relays of the other data
centres. A relay needs no lock: if two act at a time, the same messages are only
sent twice. The router that holds the duty of the data centre is its relay.
When a relay falls silent, the successor that it named in its digests takes over
without a call to the store.
"""

from __future__ import annotations

# Largest fleet in which all routers send heartbeats to one another: 12 of them
# send about a thousand messages a second in all.
MAX_MESH_ROUTERS = 12

# Pause between two heartbeats to a relay, and between two of its digests, for
# each router of the fleet. The older the counts are, the more routers send to
# the same head; the work of a relay grows with the routers.
RELAY_INTERVAL_SECONDS_PER_ROUTER = 0.0013

# Bounds on that pause.
MIN_RELAY_INTERVAL_SECONDS = 0.1
MAX_RELAY_INTERVAL_SECONDS = 0.2

# Time without a digest after which a relay counts as lost: several digests.
RELAY_TIMEOUT_SECONDS = 0.6

# Time without a digest after which the router with the most capacity replaces a
# lost relay, if no successor was named or it did not take over.
RELAY_FALLBACK_SECONDS = 1.4


def relay_interval_seconds(routers: int) -> float:
    """Returns the pause between two messages to or from a relay.

    Args:
        routers: Number of routers that may be alive.
    """
    return min(
        MAX_RELAY_INTERVAL_SECONDS,
        max(
            MIN_RELAY_INTERVAL_SECONDS,
            routers * RELAY_INTERVAL_SECONDS_PER_ROUTER,
        ),
    )


class RelayRank:
    """Rank by which one of several relays in a data centre is chosen.

    The relay with the highest rank remains; the others become members.

    Attributes:
        holds_duty: Whether the router holds the duty of the data centre.
        capacity: Capacity of its VM for duties; 0 if it should hold none.
        ip: Address of its VM.
    """

    __slots__ = ("capacity", "ip", "holds_duty")

    def __init__(self, ip: str, *, holds_duty: bool, capacity: int) -> None:
        self.ip = ip
        self.holds_duty = holds_duty
        self.capacity = capacity

    def outranks(self, other: RelayRank) -> bool:
        """Returns whether this rank is higher: by duty, capacity, address."""
        key = (self.holds_duty, self.capacity, self.ip)
        return key > (other.holds_duty, other.capacity, other.ip)


class _KnownRelay:
    """A relay's rank and the monotonic time of the last message from it."""

    __slots__ = ("received_at_seconds", "rank")

    def __init__(self, rank: RelayRank, received_at_seconds: float) -> None:
        self.rank = rank
        self.received_at_seconds = received_at_seconds


class Relays:
    """Known relays of all data centres, and whether this router is one.

    The relay of a data centre collects the heartbeats of the routers there,
    sends them digests of the whole fleet, and exchanges summaries with the
    relays of the other data centres.

    Attributes:
        is_relay: Whether this router is the relay of its data centre.
        successor: Address of the router that the local relay named as its
            successor; empty if unknown.
    """

    __slots__ = (
        "_data_centre",
        "_relays",
        "_local_ip",
        "_local_rank",
        "_started_at_seconds",
        "_reported_ips",
        "is_relay",
        "successor",
    )

    def __init__(
        self, data_centre: str, *, ip: str, started_at_seconds: float
    ) -> None:
        """Starts with no known relay.

        Args:
            data_centre: Data centre of this router.
            ip: Address of this router.
            started_at_seconds: Monotonic time at which this router started.
        """
        self._data_centre = data_centre
        self._local_ip = ip
        self._local_rank = RelayRank(ip, holds_duty=False, capacity=0)
        self._started_at_seconds = started_at_seconds
        # Relay that last sent a message, by data centre.
        self._relays: dict[str, _KnownRelay] = {}
        # Address of the relay that other routers or the store named, by data
        # centre. Heartbeats are sent there, but it need not be alive.
        self._reported_ips: dict[str, str] = {}
        self.is_relay = False
        self.successor = ""

    def record_local_relay(
        self, rank: RelayRank, *, successor: str, now_seconds: float
    ) -> bool:
        """Records a digest from a relay of this data centre.

        Args:
            rank: Rank of the sender.
            successor: Address of its successor; empty if it names none.
            now_seconds: Monotonic time.

        Returns:
            Whether it is accepted as the relay; False if this router or the
            current relay outranks it.
        """
        if self.is_relay and self._local_rank.outranks(rank):
            return False
        current = self._relays.get(self._data_centre)
        if (
            current is not None
            and current.rank.ip != rank.ip
            and current.rank.outranks(rank)
            and now_seconds - current.received_at_seconds
            < RELAY_TIMEOUT_SECONDS
        ):
            return False
        self._relays[self._data_centre] = _KnownRelay(rank, now_seconds)
        self.successor = successor
        return True

    def record_remote_relay(
        self, data_centre: str, rank: RelayRank, *, now_seconds: float
    ) -> None:
        """Records a summary from the relay of another data centre."""
        self._relays[data_centre] = _KnownRelay(rank, now_seconds)

    def record_reported_relays(self, relays: dict[str, str]) -> None:
        """Records relays that another router or the store named.

        Args:
            relays: Address of the relay of each data centre.
        """
        self._reported_ips.update(relays)

    def update_role(
        self, rank: RelayRank, *, fittest: bool, now_seconds: float
    ) -> bool:
        """Decides whether this router is the relay from now on.

        Args:
            rank: Current rank of this router.
            fittest: Whether no live router of the data centre has
                more capacity for duties.
            now_seconds: Monotonic time.

        Returns:
            Whether this router is the relay.
        """
        silence_seconds = self.silence_seconds(now_seconds)
        self._local_rank = rank
        if rank.holds_duty:
            self.is_relay = True
        elif silence_seconds < RELAY_TIMEOUT_SECONDS:
            self.is_relay = False
        elif not self.is_relay:
            is_successor = self.successor == self._local_ip
            is_fallback_due = silence_seconds >= RELAY_FALLBACK_SECONDS
            self.is_relay = is_successor or (is_fallback_due and fittest)
        return self.is_relay

    def silence_seconds(self, now_seconds: float) -> float:
        """Returns the time since the last digest from another router.

        Without any, it is the time since the start.
        """
        current = self._relays.get(self._data_centre)
        if current is None or current.rank.ip == self._local_ip:
            return now_seconds - self._started_at_seconds
        return now_seconds - current.received_at_seconds

    def relay_ip(self, now_seconds: float) -> str:
        """Returns the address of this router's relay; empty if none is live."""
        current = self._relays.get(self._data_centre)
        if current is None or current.rank.ip == self._local_ip:
            return ""
        if now_seconds - current.received_at_seconds >= RELAY_TIMEOUT_SECONDS:
            return ""
        return current.rank.ip

    def has_active_relay(self, data_centre: str, now_seconds: float) -> bool:
        """Returns whether a data centre's relay sent a message recently."""
        current = self._relays.get(data_centre)
        if current is None:
            return False
        return now_seconds - current.received_at_seconds < RELAY_TIMEOUT_SECONDS

    def reported_relay_ip(self) -> str:
        """Returns the address of this data centre's relay, as named by others.

        Other routers or the store named it, and it need not be live. Empty if
        none was named, or this router.
        """
        ip = self._reported_ips.get(self._data_centre, "")
        return "" if ip == self._local_ip else ip

    def remote_relays(self) -> dict[str, str]:
        """Returns the relay address of the other data centres, by data centre.

        Includes relays that others named but that have sent nothing.
        """
        relays_by_data_centre = dict(self._reported_ips)
        for data_centre, relay in self._relays.items():
            relays_by_data_centre[data_centre] = relay.rank.ip
        relays_by_data_centre.pop(self._data_centre, None)
        return {
            data_centre: ip
            for data_centre, ip in relays_by_data_centre.items()
            if ip != self._local_ip
        }

    def likely_relay_ip(self, data_centre: str, now_seconds: float) -> str:
        """Returns the most likely address of the relay of a data centre.

        That is the relay that sent a message recently, else the one that
        others named. Empty if neither is known.
        """
        if data_centre == self._data_centre and self.is_relay:
            return self._local_ip
        if self.has_active_relay(data_centre, now_seconds):
            return self._relays[data_centre].rank.ip
        return self._reported_ips.get(data_centre, "")

    def known_ips(self) -> set[str]:
        """Returns all addresses of other routers that may be relays."""
        ips = {relay.rank.ip for relay in self._relays.values()}
        return ips.union(self._reported_ips.values()) - {self._local_ip}

    def all_relays(self, now_seconds: float) -> dict[str, str]:
        """Returns the address of each data centre's relay, by data centre.

        The relay is the router that collects the heartbeats of its data centre
        in a large fleet. Data centres without a known relay are left out.
        """
        relays_by_data_centre = self.remote_relays()
        local_relay_ip = (
            self._local_ip if self.is_relay else self.relay_ip(now_seconds)
        )
        if local_relay_ip:
            relays_by_data_centre[self._data_centre] = local_relay_ip
        return relays_by_data_centre
