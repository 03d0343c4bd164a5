"""The highest of the counts of some seconds."""

from __future__ import annotations


class HighestOf:
    """Holds a count up for a while after it fell.

    Sums of data centres grow while relays find their routers; a fleet that
    counted as small for a moment would have all routers tell all others.
    """

    __slots__ = ("_at_seconds", "_count", "_hold_seconds")

    def __init__(self, hold_seconds: float) -> None:
        self._hold_seconds = hold_seconds
        self._count = 0
        self._at_seconds = -hold_seconds

    def take(self, count: int, now_seconds: float) -> int:
        """Takes a count and returns the highest of the last seconds."""
        expired = now_seconds - self._at_seconds >= self._hold_seconds
        if count >= self._count or expired:
            self._count = count
            self._at_seconds = now_seconds
        return self._count
