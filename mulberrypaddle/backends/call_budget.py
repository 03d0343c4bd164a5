"""One budget for all calls to the object API, shared by priority.

A token bucket bounds the rate. Lower priorities leave a reserve in the
bucket, so that fencing and configuration go before status. After several
failures in a row the budget closes for a jittered, growing while: calls are
then refused unsent, and one at a time is let through to probe. When the
object API is back the rate ramps up, so that a fleet does not return at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import Priority

if TYPE_CHECKING:
    import random

    from mulberrypaddle.core.clock import Clock

# Calls a second that all routers of a region may make together.
REGION_CALLS_PER_SECOND = 350.0
MAX_CALLS_PER_SECOND = 50.0
MIN_CALLS_PER_SECOND = 1.0
MIN_BURST_CALLS = 5.0
FAILURES_TO_CLOSE = 3
MIN_CLOSED_SECONDS = 0.5
MAX_CLOSED_SECONDS = 5.0
RAMP_SECONDS = 5.0
RAMP_START_SHARE = 0.2

# Share of the bucket that a call of this priority leaves for others.
_RESERVED_SHARE = {
    Priority.FENCING: 0.0,
    Priority.CLAIM: 0.1,
    Priority.CONFIG: 0.2,
    Priority.PLACEMENT: 0.4,
    Priority.STATUS: 0.6,
}


class CallBudget:
    """Decides when a call may go; does no I/O.

    Attributes:
        refused_calls: Calls that were refused unsent.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.refused_calls = 0
        self._clock = clock
        self._rng = rng
        self._calls_per_second = MAX_CALLS_PER_SECOND
        self._tokens = self._burst()
        self._refilled_seconds = clock.monotonic_seconds()
        self._failures = 0
        self._closed_until_seconds: float | None = None
        self._opened_seconds = float("-inf")

    def share(self, router_count: int) -> None:
        """Takes the number of routers that share the region's rate."""
        share = REGION_CALLS_PER_SECOND / max(1, router_count)
        self._calls_per_second = min(
            MAX_CALLS_PER_SECOND, max(MIN_CALLS_PER_SECOND, share)
        )

    def admits(self, priority: Priority) -> bool:
        """Returns whether a call may wait for its turn, or is refused.

        Fencing always may: it has a backoff of its own, and proves that
        the object API is back.
        """
        if self._closed_until_seconds is None:
            return True
        if priority is Priority.FENCING:
            return True
        now_seconds = self._clock.monotonic_seconds()
        if now_seconds < self._closed_until_seconds:
            self.refused_calls += 1
            return False
        # One call probes; the next waits for its outcome.
        self._close(now_seconds)
        return True

    def try_take(self, priority: Priority) -> bool:
        """Takes one call out of the bucket, or leaves it as it is."""
        self._refill()
        if self._tokens < self._needed(priority):
            return False
        self._tokens -= 1
        return True

    def wait_seconds(self, priority: Priority) -> float:
        """Returns after how long a call of this priority may go."""
        self._refill()
        missing = max(0.0, self._needed(priority) - self._tokens)
        return missing / self._rate(self._clock.monotonic_seconds())

    def record(self, *, answered: bool) -> None:
        """Takes the outcome of a call.

        Args:
            answered: Whether the object API answered, even if it refused.
        """
        now_seconds = self._clock.monotonic_seconds()
        if answered:
            self._failures = 0
            if self._closed_until_seconds is not None:
                self._open(now_seconds)
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_CLOSE:
            self._close(now_seconds)

    def _open(self, now_seconds: float) -> None:
        self._closed_until_seconds = None
        self._opened_seconds = now_seconds
        self._refilled_seconds = now_seconds
        self._tokens = 0.0

    def _close(self, now_seconds: float) -> None:
        doublings = min(8, max(0, self._failures - FAILURES_TO_CLOSE))
        closed_seconds = min(
            MAX_CLOSED_SECONDS, MIN_CLOSED_SECONDS * 2.0**doublings
        )
        self._closed_until_seconds = (
            now_seconds + closed_seconds * self._rng.uniform(0.5, 1.0)
        )

    def _burst(self) -> float:
        return max(MIN_BURST_CALLS, self._calls_per_second)

    def _needed(self, priority: Priority) -> float:
        return 1 + _RESERVED_SHARE[priority] * (self._burst() - 1)

    def _rate(self, now_seconds: float) -> float:
        open_seconds = now_seconds - self._opened_seconds
        share = min(
            1.0,
            RAMP_START_SHARE
            + (1 - RAMP_START_SHARE) * open_seconds / RAMP_SECONDS,
        )
        return self._calls_per_second * share

    def _refill(self) -> None:
        now_seconds = self._clock.monotonic_seconds()
        self._tokens = min(
            self._burst(),
            self._tokens
            + (now_seconds - self._refilled_seconds) * self._rate(now_seconds),
        )
        self._refilled_seconds = now_seconds
