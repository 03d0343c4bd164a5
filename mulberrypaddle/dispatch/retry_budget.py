"""Retry budget of one router.

All routers share a limit of `ratio` times the requests plus a slack, within a
sliding window. A part of it is guaranteed to each router without coordination:
the ratio of its own requests, and the slack divided by the live routers. Since
losses hit some routers much harder than others, a part of what the whole fleet
leaves unused is allocated in addition, in equal shares. It is computed from the
counts that the routers report to one another.

Second sends that run beside the first one (see `hedging`) count as retries.
They get half of each share, and none of the slack, so that the other half is
left to real retries.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Fraction of the limit that is guaranteed to the routers.
GUARANTEED_FRACTION = 0.4

# Fraction of the limit up to which the fleet allocates unused retries. The rest
# stays free for guaranteed shares that have not been used yet.
SHARED_FRACTION = 0.6

# Fraction of the unused retries that is allocated at a time. Counts are sent
# every 0.1 or 0.2 s and arrive one interval later, so that two allocations may
# be outstanding at once.
ALLOCATION_FRACTION = 0.25

# Part of the limit by ratio, guaranteed and allocated, up to which retries of
# any kind leave room for second sends.
HEDGE_FRACTION = 0.5


class RetryCounts:
    """First attempts and retries for one service within the window.

    Attributes:
        first_attempts: Number of first attempts.
        retry_attempts: Number of retries, that is, attempts after the first.
    """

    __slots__ = ("first_attempts", "retry_attempts")

    def __init__(
        self, first_attempts: int = 0, retry_attempts: int = 0
    ) -> None:
        self.first_attempts = first_attempts
        self.retry_attempts = retry_attempts

    def add(self, other: RetryCounts) -> None:
        """Adds the counts of another router."""
        self.first_attempts += other.first_attempts
        self.retry_attempts += other.retry_attempts


class _SlidingWindow:
    """Times of the recent attempts for one service.

    Attributes:
        first_attempts: Monotonic times of the first attempts, oldest first.
        retry_attempts: Monotonic times of the retries, oldest first.
    """

    __slots__ = ("first_attempts", "retry_attempts", "shared_hedges")

    def __init__(self) -> None:
        self.shared_hedges: collections.deque[float] = collections.deque()
        self.first_attempts: collections.deque[float] = collections.deque()
        self.retry_attempts: collections.deque[float] = collections.deque()

    def drop_before(self, oldest_seconds: float) -> None:
        """Removes attempts that have left the window."""
        for events in (
            self.first_attempts,
            self.retry_attempts,
            self.shared_hedges,
        ):
            while events and events[0] < oldest_seconds:
                events.popleft()


class RetryBudget:
    """Limits the retries of one router, separately for each service."""

    __slots__ = (
        "_allocated",
        "_allocated_hedges",
        "_has_hedges",
        "_random",
        "_ratio",
        "_slack",
        "_started_at_seconds",
        "_window_seconds",
        "_windows",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at_seconds: float,
        rng: random.Random,
        has_hedges: bool = False,
    ) -> None:
        """Creates a budget.

        Args:
            ratio: Retries that each first attempt allows.
            slack: Further retries of the whole fleet within the window.
            window_seconds: Length of the window.
            started_at_seconds: Monotonic time of the start of the process.
            rng: Source of random choices.
            has_hedges: Whether requests may be sent twice at once.
        """
        self._random = rng
        self._has_hedges = has_hedges
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._started_at_seconds = started_at_seconds
        self._windows: dict[str, _SlidingWindow] = {}
        # Remaining retries of the last allocation, by service.
        self._allocated: dict[str, int] = {}
        self._allocated_hedges: dict[str, int] = {}

    def record_first_attempt(self, service: str, now_seconds: float) -> None:
        """Records the first attempt of a request, which raises the budget."""
        self._current_window(service, now_seconds).first_attempts.append(
            now_seconds
        )

    def try_acquire(
        self, service: str, *, routers: int, now_seconds: float
    ) -> bool:
        """Acquires one retry from the budget.

        The guaranteed share is used first, then the allocated retries.

        Args:
            service: Service that the request is sent to.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.

        Returns:
            Whether the retry is allowed; it is counted if so.
        """
        window = self._current_window(service, now_seconds)
        allowed = self._ratio * len(window.first_attempts)
        if self._has_slack(now_seconds):
            allowed += self._slack / max(1, routers)
        if len(window.retry_attempts) + 1 > allowed * GUARANTEED_FRACTION:
            allocated = self._allocated.get(service, 0)
            if allocated < 1:
                return False
            self._allocated[service] = allocated - 1
        window.retry_attempts.append(now_seconds)
        return True

    def try_acquire_hedge(self, service: str, *, now_seconds: float) -> bool:
        """Acquires one second send from the budget.

        Args:
            service: Service that the request is sent to.
            now_seconds: Monotonic time.

        Returns:
            Whether it is allowed; it is counted as a retry if so.
        """
        if not self._has_hedges:
            return False
        window = self._current_window(service, now_seconds)
        allowed = self._ratio * len(window.first_attempts)
        if (
            len(window.retry_attempts) + 1
            > allowed * GUARANTEED_FRACTION * HEDGE_FRACTION
        ):
            allocated = self._allocated_hedges.get(service, 0)
            if allocated < 1:
                return False
            self._allocated_hedges[service] = allocated - 1
            window.shared_hedges.append(now_seconds)
            return True
        window.retry_attempts.append(now_seconds)
        return True

    def counts(self, now_seconds: float) -> dict[str, RetryCounts]:
        """Returns this router's attempts within the window, by service."""
        found: dict[str, RetryCounts] = {}
        for service in self._windows:
            window = self._current_window(service, now_seconds)
            found[service] = RetryCounts(
                len(window.first_attempts),
                len(window.retry_attempts) + len(window.shared_hedges),
            )
        return found

    def allocate_unused(
        self,
        others: dict[str, RetryCounts],
        *,
        routers: int,
        now_seconds: float,
    ) -> None:
        """Allocates this router's share of the fleet's unused retries.

        The new allocation replaces what is left of the previous one.

        Args:
            others: Counts of the other routers by service, including routers
                that ended within the window.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.
        """
        self._allocated.clear()
        self._allocated_hedges.clear()
        for service, counts in self.counts(now_seconds).items():
            counts.add(others.get(service, RetryCounts()))
            allowed = self._ratio * counts.first_attempts
            if self._has_slack(now_seconds):
                allowed += self._slack
            unused = max(0.0, allowed * SHARED_FRACTION - counts.retry_attempts)
            self._allocated[service] = self._round_at_random(
                unused * ALLOCATION_FRACTION / max(1, routers)
            )
            if not self._has_hedges:
                continue
            allowed = self._ratio * counts.first_attempts * HEDGE_FRACTION
            unused = max(0.0, allowed * SHARED_FRACTION - counts.retry_attempts)
            self._allocated_hedges[service] = self._round_at_random(
                unused * ALLOCATION_FRACTION / max(1, routers)
            )

    def _round_at_random(self, allocation: float) -> int:
        """Rounds an allocation up or down, so that its mean is kept.

        In a large fleet each share may be below one retry. Rounding at random
        then gives one to some of the routers.
        """
        rounded_down = int(allocation)
        return rounded_down + (
            self._random.random() < allocation - rounded_down
        )

    def _has_slack(self, now_seconds: float) -> bool:
        """Returns whether the slack may be used.

        A restarted router does not use it for one window, since the process
        before it may have done so.
        """
        return now_seconds - self._started_at_seconds > self._window_seconds

    def _current_window(
        self, service: str, now_seconds: float
    ) -> _SlidingWindow:
        """Returns the window of a service, without outdated attempts."""
        window = self._windows.setdefault(service, _SlidingWindow())
        window.drop_before(now_seconds - self._window_seconds)
        return window
