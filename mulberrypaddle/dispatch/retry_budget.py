"""How often one router may send requests once more.

All routers share a bound of `ratio` times the requests plus a slack, in a
sliding window. Each keeps to a share of its own, so that none has to ask: the
ratio over its own requests, and the slack parted by the routers alive.
"""

from __future__ import annotations

import collections

# Part of the bound that is used: routers start and die at different times,
# and windows of others slide differently.
USED_SHARE = 0.7


class _Window:
    """Sliding sum of events of one service."""

    __slots__ = ("firsts", "repeats")

    def __init__(self) -> None:
        self.firsts: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def drop_before(self, oldest_seconds: float) -> None:
        """Forgets events that left the window."""
        for events in (self.firsts, self.repeats):
            while events and events[0] < oldest_seconds:
                events.popleft()


class RetryBudget:
    """Share of one router in the bound on repeats, for each service."""

    __slots__ = (
        "_ratio",
        "_slack",
        "_started_at_seconds",
        "_window_seconds",
        "_windows",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at_seconds: float,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._started_at_seconds = started_at_seconds
        self._windows: dict[str, _Window] = {}

    def sent_first(self, service: str, now_seconds: float) -> None:
        """Counts the first sending of a request."""
        self._window(service, now_seconds).firsts.append(now_seconds)

    def take(self, service: str, *, routers: int, now_seconds: float) -> bool:
        """Takes one repeat from the budget.

        Args:
            service: Service that the request goes to.
            routers: Routers that may be alive, this one counted.
            now_seconds: Monotonic time.

        Returns:
            Whether the repeat is allowed; it is counted if so.
        """
        window = self._window(service, now_seconds)
        allowed = self._ratio * len(window.firsts)
        # A life that ended before may have used the slack of this window.
        if now_seconds - self._started_at_seconds > self._window_seconds:
            allowed += self._slack / max(1, routers)
        if len(window.repeats) + 1 > allowed * USED_SHARE:
            return False
        window.repeats.append(now_seconds)
        return True

    def _window(self, service: str, now_seconds: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now_seconds - self._window_seconds)
        return window
