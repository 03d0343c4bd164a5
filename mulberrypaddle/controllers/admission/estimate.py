"""Recent service time, for the early refusal of late requests."""

from __future__ import annotations

_MEAN_WEIGHT = 0.1
_MIN_SAMPLES = 8
# Requests differ: one that needs half of the mean may still be in time.
_MIN_SHARE = 0.5


class ServiceTime:
    """Mean latency of one service and the wait that follows from it."""

    __slots__ = ("_mean_seconds", "_samples")

    def __init__(self) -> None:
        self._mean_seconds = 0.0
        self._samples = 0

    def add(self, latency_seconds: float) -> None:
        """Takes the latency of one completed request."""
        self._samples += 1
        weight = max(_MEAN_WEIGHT, 1.0 / self._samples)
        self._mean_seconds += weight * (latency_seconds - self._mean_seconds)

    def needed_seconds(self, *, ahead: int, in_hand: int) -> float:
        """Returns the least time until an answer, zero while unknown.

        Args:
            ahead: Requests that are served first.
            in_hand: Requests in hand, which leave one by one.
        """
        if self._samples < _MIN_SAMPLES:
            return 0.0
        wait_seconds = ahead * self._mean_seconds / max(in_hand, 1)
        return wait_seconds + _MIN_SHARE * self._mean_seconds
