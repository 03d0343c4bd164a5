"""Limits the rate at which runners start to load model weights.

The weight store tolerates a limited number of loads that start in any window of
some seconds. An owner (the router that orders loads; see `ownership`) counts
the loads that it orders, but does not know how many its predecessor ordered in
the same window. A new owner therefore starts with an empty bucket.
"""

from __future__ import annotations


class LoadRateLimiter:
    """Token bucket; each load of model weights takes one token.

    It refills at half of the permitted rate and holds at most half of a
    window's loads, so that no window exceeds the limit.
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
            window_seconds: Length of the sliding window of that limit.
            now_seconds: Monotonic time.
        """
        if self._refilled_at_seconds is not None:
            elapsed_seconds = now_seconds - self._refilled_at_seconds
            refilled = self._tokens + per_second / 2 * elapsed_seconds
            self._tokens = min(per_second / 2 * window_seconds, refilled)
        self._refilled_at_seconds = now_seconds
        return int(self._tokens)

    def record_start(self) -> None:
        """Takes one token for a load that was ordered."""
        self._tokens -= 1.0
