"""Rate limiter and circuit breaker for all calls to the object API.

A token bucket limits the rate. Calls of lower priority leave a reserve in the
bucket, so that fencing and configuration have priority over status. After
several consecutive failures the circuit breaker trips: calls are refused
unsent for a jittered, exponentially growing time, after which single calls
are admitted as probes. Once a call is answered, the rate ramps up, so that
the routers of a fleet do not all return at the full rate at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import Priority

if TYPE_CHECKING:
    import random

    from mulberrypaddle.core.clock import Clock

# Calls per second that all routers of a region may make together.
REGION_CALLS_PER_SECOND = 350.0
MAX_CALLS_PER_SECOND = 50.0
MIN_CALLS_PER_SECOND = 1.0
MIN_BUCKET_CALLS = 5.0
FAILURES_TO_TRIP = 3
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 5.0
RAMP_UP_SECONDS = 5.0
RAMP_START_FRACTION = 0.2

# Fraction of the bucket that a call of this priority leaves for higher ones.
_RESERVED_FRACTION = {
    Priority.FENCING: 0.0,
    Priority.CLAIM: 0.1,
    Priority.CONFIG: 0.2,
    Priority.PLACEMENT: 0.4,
    Priority.STATUS: 0.6,
}


class CallBudget:
    """Decides when a call to the object API may be sent; does no I/O.

    Attributes:
        refused_calls: Number of calls refused while the breaker was tripped.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.refused_calls = 0
        self._clock = clock
        self._rng = rng
        self._calls_per_second = MAX_CALLS_PER_SECOND
        self._tokens = self._bucket_size()
        self._refilled_at_seconds = clock.monotonic_seconds()
        self._consecutive_failures = 0
        self._tripped_until_seconds: float | None = None
        self._reset_at_seconds = float("-inf")

    def set_router_count(self, router_count: int) -> None:
        """Sets this router's rate to its share of the region's rate.

        Args:
            router_count: Number of routers among which the rate is divided.
        """
        share_per_second = REGION_CALLS_PER_SECOND / max(1, router_count)
        self._calls_per_second = min(
            MAX_CALLS_PER_SECOND, max(MIN_CALLS_PER_SECOND, share_per_second)
        )

    def admit(self, priority: Priority) -> bool:
        """Returns whether the breaker admits a call; counts refusals.

        While the breaker is tripped, only a probe is admitted after each
        backoff. Fencing calls are always admitted: they have a backoff of
        their own, and their success shows that the object API is available.
        """
        if self._tripped_until_seconds is None:
            return True
        if priority is Priority.FENCING:
            return True
        now_seconds = self._clock.monotonic_seconds()
        if now_seconds < self._tripped_until_seconds:
            self.refused_calls += 1
            return False
        # This call is the probe; others are refused for another backoff.
        self._trip(now_seconds)
        return True

    def try_acquire(self, priority: Priority) -> bool:
        """Removes a token and returns True, or returns False if too few."""
        self._refill()
        if self._tokens < self._min_tokens(priority):
            return False
        self._tokens -= 1
        return True

    def wait_seconds(self, priority: Priority) -> float:
        """Returns the time until a call of this priority can get a token."""
        self._refill()
        missing = max(0.0, self._min_tokens(priority) - self._tokens)
        return missing / self._refill_rate(self._clock.monotonic_seconds())

    def record(self, *, answered: bool) -> None:
        """Records the outcome of a call, which may trip or reset the breaker.

        Args:
            answered: Whether the object API answered, even with a refusal.
        """
        now_seconds = self._clock.monotonic_seconds()
        if answered:
            self._consecutive_failures = 0
            if self._tripped_until_seconds is not None:
                self._reset(now_seconds)
            return
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_TO_TRIP:
            self._trip(now_seconds)

    def _reset(self, now_seconds: float) -> None:
        """Resets the breaker; the rate ramps up from an empty bucket."""
        self._tripped_until_seconds = None
        self._reset_at_seconds = now_seconds
        self._refilled_at_seconds = now_seconds
        self._tokens = 0.0

    def _trip(self, now_seconds: float) -> None:
        """Trips the breaker for a jittered backoff that grows with failures."""
        doublings = min(
            8, max(0, self._consecutive_failures - FAILURES_TO_TRIP)
        )
        backoff_seconds = min(
            MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0**doublings
        )
        self._tripped_until_seconds = (
            now_seconds + backoff_seconds * self._rng.uniform(0.5, 1.0)
        )

    def _bucket_size(self) -> float:
        """Returns the capacity of the bucket in tokens: a second's calls."""
        return max(MIN_BUCKET_CALLS, self._calls_per_second)

    def _min_tokens(self, priority: Priority) -> float:
        """Returns the tokens that the bucket must hold for a call to pass."""
        return 1 + _RESERVED_FRACTION[priority] * (self._bucket_size() - 1)

    def _refill_rate(self, now_seconds: float) -> float:
        """Returns the tokens added per second, reduced during the ramp-up."""
        since_reset_seconds = now_seconds - self._reset_at_seconds
        fraction = min(
            1.0,
            RAMP_START_FRACTION
            + (1 - RAMP_START_FRACTION) * since_reset_seconds / RAMP_UP_SECONDS,
        )
        return self._calls_per_second * fraction

    def _refill(self) -> None:
        """Adds the tokens for the time since the last refill."""
        now_seconds = self._clock.monotonic_seconds()
        self._tokens = min(
            self._bucket_size(),
            self._tokens
            + (now_seconds - self._refilled_at_seconds)
            * self._refill_rate(now_seconds),
        )
        self._refilled_at_seconds = now_seconds
