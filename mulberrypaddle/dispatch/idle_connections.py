"""Records which runners this router has idle connections to.

A new connection costs both ends more than a kept one. Runners close idle
connections after a timeout that they announce, and some sooner and without
notice: a request sent at that moment gets no answer and may have run. Only
requests that may be repeated use kept connections, and the time for which
connections count as usable adapts to how long they last.
"""

from __future__ import annotations

import collections

# Part of the announced timeout for which a connection counts as usable; the
# rest covers the time that the next request travels.
USABLE_FRACTION = 0.9

# Factors on the usable time after a kept connection turned out closed, and
# after one was used successfully.
CLOSED_FACTOR = 0.5
USED_FACTOR = 1.05

# Smallest factor on the usable time, so that connections are tried again after
# a series of closed ones.
MIN_TIME_FACTOR = 0.05


class IdleConnections:
    """Idle connections by address, and for how long they may be used again.

    The connections themselves belong to the HTTP client. Times are monotonic,
    in seconds.
    """

    __slots__ = ("_expiries_seconds", "_time_factor")

    def __init__(self) -> None:
        # Times at which connections stop being usable, by address.
        self._expiries_seconds: dict[str, collections.deque[float]] = {}
        # Adapts to connections that last shorter than announced.
        self._time_factor = 1.0

    def add(
        self, address: str, *, timeout_seconds: float, now_seconds: float
    ) -> None:
        """Records a connection that became idle.

        Args:
            address: Address of the runner.
            timeout_seconds: Idle timeout that the runner announced.
            now_seconds: Monotonic time.
        """
        usable_seconds = timeout_seconds * USABLE_FRACTION * self._time_factor
        self._expiries_seconds.setdefault(address, collections.deque()).append(
            now_seconds + usable_seconds
        )

    def has_usable(self, address: str, now_seconds: float) -> bool:
        """Returns whether a request to an address would find a connection."""
        expiries = self._expiries_seconds.get(address)
        if not expiries:
            return False
        while expiries and expiries[0] <= now_seconds:
            expiries.popleft()
        if not expiries:
            del self._expiries_seconds[address]
            return False
        return True

    def take(self, address: str, now_seconds: float) -> bool:
        """Takes an idle connection; returns whether there was a usable one."""
        if not self.has_usable(address, now_seconds):
            return False
        expiries = self._expiries_seconds[address]
        expiries.pop()
        if not expiries:
            del self._expiries_seconds[address]
        return True

    def record_used(self) -> None:
        """Records that an answer came over a kept connection."""
        self._time_factor = min(1.0, self._time_factor * USED_FACTOR)

    def record_closed(self, address: str) -> None:
        """Records that a kept connection to an address turned out closed."""
        self._time_factor = max(
            MIN_TIME_FACTOR, self._time_factor * CLOSED_FACTOR
        )
        self._expiries_seconds.pop(address, None)
