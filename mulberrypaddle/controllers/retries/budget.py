"""A retry budget: a share of the requests of a window, and a minimum.

Source: the retry budgets of Google's Site Reliability Engineering, 2016,
chapter 21.
"""

from __future__ import annotations

from collections import deque

# Retries may add this share to the requests of the window.
RETRY_SHARE = 0.09
# Retries allowed in a window whatever the requests.
LEAST_RETRIES = 2
WINDOW_SECONDS = 10.0
SLOT_SECONDS = 1.0


class _Slot:
    """Requests and retries of one part of the window."""

    __slots__ = ("at_seconds", "requests", "retries")

    def __init__(self, at_seconds: float) -> None:
        self.at_seconds = at_seconds
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Counts requests and retries over a sliding window."""

    __slots__ = ("_requests", "_retries", "_slots")

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()
        self._requests = 0
        self._retries = 0

    def add_request(self, now_seconds: float) -> None:
        """Counts a first attempt."""
        self._slot(now_seconds).requests += 1
        self._requests += 1

    def add_retry(self, now_seconds: float) -> None:
        """Counts a further attempt."""
        self._slot(now_seconds).retries += 1
        self._retries += 1

    def has_room(self, now_seconds: float) -> bool:
        """Returns whether one more retry stays within the budget."""
        self._drop_old(now_seconds)
        allowed = max(LEAST_RETRIES, RETRY_SHARE * self._requests)
        return self._retries + 1 <= allowed

    def is_idle(self, now_seconds: float) -> bool:
        """Returns whether the window is empty."""
        self._drop_old(now_seconds)
        return not self._slots

    def _slot(self, now_seconds: float) -> _Slot:
        self._drop_old(now_seconds)
        if self._slots:
            latest = self._slots[-1]
            if now_seconds - latest.at_seconds < SLOT_SECONDS:
                return latest
        slot = _Slot(now_seconds)
        self._slots.append(slot)
        return slot

    def _drop_old(self, now_seconds: float) -> None:
        while self._slots:
            oldest = self._slots[0]
            if now_seconds - oldest.at_seconds < WINDOW_SECONDS:
                return
            self._slots.popleft()
            self._requests -= oldest.requests
            self._retries -= oldest.retries
