"""How many loads of weights may begin, whoever owned the groups before.

The weight store bears a rate of loads in a sliding window. An owner counts its
own; what the one before it began in the same window is not known, so that the
allowance of a new owner grows from nothing.
"""

from __future__ import annotations


class LoadRateLimiter:
    """Allowance of loads, which grows with time.

    Half of the rate refills it and half of a window is saved up at most, so
    that no window sees more than the bound.
    """

    __slots__ = ("_tokens", "_refilled_at_seconds")

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at_seconds: float | None = None

    def allowance(
        self, *, per_second: float, window_seconds: float, now_seconds: float
    ) -> int:
        """Returns how many loads may begin now.

        Args:
            per_second: Loads that may begin a second, over all runners.
            window_seconds: Window in which they are counted.
            now_seconds: Monotonic time.
        """
        if self._refilled_at_seconds is not None:
            passed = now_seconds - self._refilled_at_seconds
            refilled = self._tokens + per_second / 2 * passed
            self._tokens = min(per_second / 2 * window_seconds, refilled)
        self._refilled_at_seconds = now_seconds
        return int(self._tokens)

    def record_start(self) -> None:
        """Counts a load that was ordered."""
        self._tokens -= 1.0
