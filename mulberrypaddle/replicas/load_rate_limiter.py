"""Limits the rate at which runners start to load weights.

The weight store tolerates a number of loads in each sliding window. An owner
counts the loads that it orders, but does not know how many its predecessor
ordered in the same window. A new owner therefore starts with no allowance.
"""

from __future__ import annotations


class LoadRateLimiter:
    """Token bucket for loads of weights.

    It refills at half of the permitted rate and holds at most half of a
    window's loads, so that no window exceeds the bound.
    """

    __slots__ = ("_tokens", "_refilled_at_seconds")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at_seconds: float | None = None

    def allowance(
        self, *, per_second: float, window_seconds: float, now_seconds: float
    ) -> int:
        """Refills the bucket and returns how many loads may start now.

        Args:
            per_second: Permitted loads per second, over all runners.
            window_seconds: Length of the sliding window that bounds them.
            now_seconds: Monotonic time.
        """
        if self._refilled_at_seconds is not None:
            elapsed_seconds = now_seconds - self._refilled_at_seconds
            refilled = self._tokens + per_second / 2 * elapsed_seconds
            self._tokens = min(per_second / 2 * window_seconds, refilled)
        self._refilled_at_seconds = now_seconds
        return int(self._tokens)

    def record_start(self) -> None:
        """Spends one token for a load that was ordered."""
        self._tokens -= 1.0
