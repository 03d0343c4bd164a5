"""Division of free slots among requests of several urgency ranks.

Guards against overload by less urgent requests. Each router sees only a few
requests a second, so that most of the competition is between the queues of
different routers. Counts of other routers are some tenths of a second old:
without a reserve, less urgent requests take the slots that urgent ones need
which arrive before the counts do.

Requests are ordered by level, the smallest first. Ranks are numbered from 0,
the most urgent of the service. Within a rank, requests that can meet their
latency target come before late ones, and those of organisations within their
fair share before the others (see `fair_shares`).
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.runner_choice import (
    count_age_seconds,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

# Levels of each rank: in time or late, and within the fair share or over it.
LEVELS_PER_RANK = 4
_LATE = 2
_OVER_SHARE = 1

# Window over which arrivals are counted: bursts last only a few seconds.
ARRIVAL_WINDOW_SECONDS = 1.0

# Shortest time over which shares are spread; work takes longer.
MIN_SPREAD_SECONDS = 0.01

# Part of the requests of the less urgent ranks that are protected, so that no
# rank starves while more urgent requests could fill all slots. A kind of
# requests counts as starved if it is served less than a quarter as often as all
# requests.
PROTECTED_PART = 0.4

# Part of the longest wait after which protected requests compete with the most
# urgent ones. Earlier, they would take the slots of urgent ones in a burst.
PROMOTION_PART = 0.8


def spread_seconds(routers: int, *, busy_seconds: float) -> float:
    """Returns the time for which slots are reserved and shares are spread.

    It is the mean age of counts: with the greatest one, more slots were
    reserved than needed in calm times, and less urgent requests lost more than
    urgent ones gained. Requests that are shorter free their slots within it.

    Args:
        routers: Number of routers that may be alive, including this one.
        busy_seconds: How long an average request holds a slot.
    """
    return max(
        MIN_SPREAD_SECONDS, min(count_age_seconds(routers), busy_seconds)
    )


def level_of(rank: int, *, is_late: bool, is_over_share: bool) -> int:
    """Returns the level of a request; the smallest is served first.

    Args:
        rank: Its rank among those of the service, from 0.
        is_late: Whether it can't meet its latency target any more.
        is_over_share: Whether its organisation is over its fair share.
    """
    return (
        LEVELS_PER_RANK * rank + _LATE * is_late + _OVER_SHARE * is_over_share
    )


def is_protected(rank: int, *, chance: float) -> bool:
    """Returns whether a new request is protected.

    Args:
        rank: Its rank among those of the service, from 0.
        chance: A random number from 0 to 1.
    """
    return rank > 0 and chance < PROTECTED_PART


def promotion_seconds(*, now_seconds: float, until_seconds: float) -> float:
    """Returns when a protected request competes with the most urgent ones.

    Args:
        now_seconds: Monotonic time at which it begins to wait.
        until_seconds: Monotonic time at which waiting ends.
    """
    return now_seconds + PROMOTION_PART * (until_seconds - now_seconds)


def _rank_of(level: int) -> int:
    """Returns the rank that a level belongs to."""
    return level // LEVELS_PER_RANK


def _is_late(level: int) -> bool:
    """Returns whether the requests of a level are late."""
    return level % LEVELS_PER_RANK >= _LATE


class RankCounts:
    """Counts of one queue by level and rank, over one or more routers.

    Attributes:
        waiting: Number of waiting requests, by level.
        arrivals: Number of requests that arrived within the last
            `ARRIVAL_WINDOW_SECONDS`, by rank.
        unranked: Number of waiting requests in routers of earlier builds, which
            do not report ranks.
    """

    __slots__ = ("arrivals", "unranked", "waiting")

    def __init__(
        self,
        *,
        waiting: Mapping[int, int] | None = None,
        arrivals: Mapping[int, int] | None = None,
        unranked: int = 0,
    ) -> None:
        self.waiting = dict(waiting or {})
        self.arrivals = dict(arrivals or {})
        self.unranked = unranked


class ArrivalMeter:
    """Counts the requests of one queue that arrived lately, by rank."""

    __slots__ = ("_arrivals",)

    def __init__(self) -> None:
        self._arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, rank: int, now_seconds: float) -> None:
        """Records the arrival of a request."""
        self._arrivals.append((now_seconds, rank))
        self._expire(now_seconds)

    def counts(self, now_seconds: float) -> dict[int, int]:
        """Returns the arrivals in the last window, by rank, without zeros."""
        self._expire(now_seconds)
        return dict(collections.Counter(rank for _, rank in self._arrivals))

    def _expire(self, now_seconds: float) -> None:
        """Forgets the arrivals before the window."""
        begin_seconds = now_seconds - ARRIVAL_WINDOW_SECONDS
        while self._arrivals and self._arrivals[0][0] < begin_seconds:
            self._arrivals.popleft()


class SlotDivision:
    """Divides the free slots of one queue among its levels and the routers.

    Attributes:
        elsewhere: Counts of the other routers.
        arrivals_per_second: Arrival rates over all routers, by rank.
        spread_seconds: Time in which counts reach the other routers, or the
            shorter one for which requests hold their slots.
    """

    __slots__ = ("arrivals_per_second", "elsewhere", "spread_seconds")

    def __init__(
        self,
        elsewhere: RankCounts,
        *,
        local_arrivals: Mapping[int, int],
        spread_seconds: float,
    ) -> None:
        self.elsewhere = elsewhere
        self.spread_seconds = spread_seconds
        arrivals = collections.Counter(elsewhere.arrivals)
        arrivals.update(local_arrivals)
        self.arrivals_per_second = {
            rank: count / ARRIVAL_WINDOW_SECONDS
            for rank, count in arrivals.items()
        }

    def waiting_before(self, level: int) -> int:
        """Returns how many requests of smaller levels wait elsewhere."""
        return sum(
            count
            for other, count in self.elsewhere.waiting.items()
            if other < level
        )

    def urgent_arrivals_per_second(self, level: int) -> float:
        """Returns the rate of new requests that come before those of a level.

        These are the requests of more urgent ranks, and for late requests also
        those of their own rank.
        """
        return self._arrivals_before(_rank_of(level) + _is_late(level))

    def reserved_slots(self, level: int) -> float:
        """Returns the free slots that requests of a level leave to new ones.

        These are as many as requests of more urgent ranks arrive while counts
        spread.
        """
        return self.spread_seconds * self._arrivals_before(_rank_of(level))

    def _arrivals_before(self, end: int) -> float:
        """Returns the rate of new requests of the ranks before a rank."""
        return sum(
            rate
            for rank, rate in self.arrivals_per_second.items()
            if rank < end
        )

    def _is_first(self, level: int) -> bool:
        """Returns whether nothing more urgent than a level competes.

        Its requests then share the slots as in a service with one rank, such as
        those of a model that only one rank uses.
        """
        return not (self.reserved_slots(level) or self.waiting_before(level))

    def usable_slots(
        self, free_slots: int, level: int, *, local_ahead: int
    ) -> float:
        """Returns the free slots that all requests of a level may use.

        Args:
            free_slots: Number of requests that can be sent to runners now.
            level: Level of the requests.
            local_ahead: Number of requests of smaller levels that wait here.
        """
        return max(
            0.0,
            free_slots
            - self.waiting_before(level)
            - local_ahead
            - self.reserved_slots(level),
        )

    def share(
        self,
        free_slots: int,
        level: int,
        *,
        local_waiting: int,
        local_ahead: int,
        elapsed_seconds: float,
    ) -> float:
        """Returns how many waiting requests of a level this router may send.

        Args:
            free_slots: Number of requests that can be sent to runners now.
            level: Level of the requests.
            local_waiting: Number of requests of the level that wait here.
            local_ahead: Number of requests of smaller levels that wait here.
            elapsed_seconds: Time since the router took its last share.
        """
        usable = self.usable_slots(free_slots, level, local_ahead=local_ahead)
        if usable <= 0 or local_waiting <= 0:
            return 0.0
        competing: float = (
            local_waiting
            + self.elsewhere.waiting.get(level, 0)
            + self.elsewhere.unranked
        )
        if not self._is_first(level):
            # What other routers take is not visible before `spread_seconds`, so
            # that the share is spread over that time.
            usable *= min(1.0, elapsed_seconds / self.spread_seconds)
            competing += self._expected_arrivals(level)
        return min(float(local_waiting), usable * local_waiting / competing)

    def direct_chance(
        self, free_slots: int, level: int, *, local_ahead: int
    ) -> float:
        """Returns the probability that a new request takes a slot at once.

        Args:
            free_slots: Number of requests that can be sent to runners now.
            level: Level of the request.
            local_ahead: Number of requests of smaller levels that wait here.
        """
        if self._is_first(level):
            return 1.0
        usable = self.usable_slots(free_slots, level, local_ahead=local_ahead)
        competing = (
            self.elsewhere.waiting.get(level, 0)
            + self.elsewhere.unranked
            + self._expected_arrivals(level)
        )
        return min(1.0, usable / max(1.0, competing))

    def _expected_arrivals(self, level: int) -> float:
        """Returns how many requests of a level arrive while counts spread."""
        if _is_late(level):
            return 0.0
        return self.spread_seconds * self.arrivals_per_second.get(
            _rank_of(level), 0.0
        )
