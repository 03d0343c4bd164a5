"""A maximum over a recent period."""

from __future__ import annotations


class RecentMaximum:
    """Keeps the highest count for some seconds after the count fell.

    Used for the number of routers, which is too low while new relays still
    discover the routers of their data centres. If a large fleet were taken for
    a small one for a moment, every router would send heartbeats to every other
    one.
    """

    __slots__ = ("_set_at_seconds", "_maximum", "_hold_seconds")

    def __init__(self, hold_seconds: float) -> None:
        """Starts at zero.

        Args:
            hold_seconds: Time for which a maximum is kept.
        """
        self._hold_seconds = hold_seconds
        self._maximum = 0
        self._set_at_seconds = -hold_seconds

    def update(self, count: int, now_seconds: float) -> int:
        """Records a count and returns the maximum of the hold period."""
        expired = now_seconds - self._set_at_seconds >= self._hold_seconds
        if count >= self._maximum or expired:
            self._maximum = count
            self._set_at_seconds = now_seconds
        return self._maximum
