"""Which router sums up for the others of its data centre.

Messages from each router to each other grow with the square of the routers.
In a large fleet one router of each data centre, its relay, takes the beats of
the others there, tells them what the whole fleet does, and exchanges sums with
the relays of the other data centres. A relay needs no exclusive right: two of
them for a while only repeat each other. The owner of a data centre's groups is
its relay. While there is none, or it has fallen silent, the router that it
named takes its place, without a call to the store.
"""

from __future__ import annotations

# Most routers that send their beats to one another directly: so many send
# about a thousand messages a second in all.
MOST_IN_MESH = 12

# Silence after which a relay is given up: some of its digests.
RELAY_SILENCE_SECONDS = 0.6

# Silence after which routers that were not named take a lost relay's place.
LONE_SILENCE_SECONDS = 1.4


class RelayRank:
    """What tells two routers apart that both relay; the higher one stays.

    Attributes:
        owns: Whether it owns the groups of the data centre.
        capacity: Fitness of its VM for the task.
        ip: Address of its VM.
    """

    __slots__ = ("capacity", "ip", "owns")

    def __init__(self, ip: str, *, owns: bool, capacity: int) -> None:
        self.ip = ip
        self.owns = owns
        self.capacity = capacity

    def outranks(self, other: RelayRank) -> bool:
        """Returns whether this router goes before another one."""
        own = (self.owns, self.capacity, self.ip)
        return own > (other.owns, other.capacity, other.ip)


class _Heard:
    """A relay as it was last heard."""

    __slots__ = ("at_seconds", "rank")

    def __init__(self, rank: RelayRank, at_seconds: float) -> None:
        self.rank = rank
        self.at_seconds = at_seconds


class Relays:
    """What one router knows of the relays, and whether it is one.

    Attributes:
        acts: Whether this router relays for its data centre.
        successor: Router that the own relay named; empty if unknown.
    """

    __slots__ = (
        "_data_centre",
        "_heard",
        "_ip",
        "_rank",
        "_started_at_seconds",
        "_told",
        "acts",
        "successor",
    )

    def __init__(
        self, data_centre: str, *, ip: str, started_at_seconds: float
    ) -> None:
        self._data_centre = data_centre
        self._ip = ip
        self._rank = RelayRank(ip, owns=False, capacity=0)
        self._started_at_seconds = started_at_seconds
        self._heard: dict[str, _Heard] = {}
        # Relays that others or the store name; they are tried, not relied on.
        self._told: dict[str, str] = {}
        self.acts = False
        self.successor = ""

    def take_own(
        self, rank: RelayRank, *, successor: str, now_seconds: float
    ) -> bool:
        """Takes a digest of a router that relays for this data centre.

        Args:
            rank: The router.
            successor: Router that it names.
            now_seconds: Monotonic time.

        Returns:
            Whether it counts as the relay.
        """
        if self.acts and self._rank.outranks(rank):
            return False
        known = self._heard.get(self._data_centre)
        if (
            known is not None
            and known.rank.ip != rank.ip
            and known.rank.outranks(rank)
            and now_seconds - known.at_seconds < RELAY_SILENCE_SECONDS
        ):
            return False
        self._heard[self._data_centre] = _Heard(rank, now_seconds)
        self.successor = successor
        return True

    def take_other(
        self, data_centre: str, rank: RelayRank, *, now_seconds: float
    ) -> None:
        """Takes that a router relays for another data centre."""
        self._heard[data_centre] = _Heard(rank, now_seconds)

    def take_told(self, relays: dict[str, str]) -> None:
        """Takes relays that another router or the store names."""
        self._told.update(relays)

    def decide(
        self, rank: RelayRank, *, fittest: bool, now_seconds: float
    ) -> bool:
        """Decides whether this router relays from now on.

        Args:
            rank: This router.
            fittest: Whether no router of the data centre that it lately heard
                is fitter for the task.
            now_seconds: Monotonic time.

        Returns:
            Whether it does.
        """
        silence_seconds = self.silence_seconds(now_seconds)
        self._rank = rank
        if rank.owns:
            self.acts = True
        elif silence_seconds < RELAY_SILENCE_SECONDS:
            self.acts = False
        elif not self.acts:
            named = self.successor == self._ip
            lone = silence_seconds >= LONE_SILENCE_SECONDS
            self.acts = named or (lone and fittest)
        return self.acts

    def silence_seconds(self, now_seconds: float) -> float:
        """Returns how long no other router has relayed for this one."""
        known = self._heard.get(self._data_centre)
        if known is None or known.rank.ip == self._ip:
            return now_seconds - self._started_at_seconds
        return now_seconds - known.at_seconds

    def relay_ip(self, now_seconds: float) -> str:
        """Returns the relay of this router; empty if none is heard."""
        known = self._heard.get(self._data_centre)
        if known is None or known.rank.ip == self._ip:
            return ""
        if now_seconds - known.at_seconds >= RELAY_SILENCE_SECONDS:
            return ""
        return known.rank.ip

    def heard_for(self, data_centre: str, now_seconds: float) -> bool:
        """Returns whether a relay of a data centre is heard."""
        known = self._heard.get(data_centre)
        if known is None:
            return False
        return now_seconds - known.at_seconds < RELAY_SILENCE_SECONDS

    def told_ip(self) -> str:
        """Returns who is said to relay for this router; empty if nobody is."""
        ip = self._told.get(self._data_centre, "")
        return "" if ip == self._ip else ip

    def others(self) -> dict[str, str]:
        """Returns the relays of the other data centres, heard or told of."""
        found = dict(self._told)
        for data_centre, heard in self._heard.items():
            found[data_centre] = heard.rank.ip
        found.pop(self._data_centre, None)
        return {
            data_centre: ip
            for data_centre, ip in found.items()
            if ip != self._ip
        }

    def all(self, now_seconds: float) -> dict[str, str]:
        """Returns the relays of all data centres as far as they are known."""
        found = self.others()
        own = self._ip if self.acts else self.relay_ip(now_seconds)
        if own:
            found[self._data_centre] = own
        return found
