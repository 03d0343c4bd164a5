"""Rate limit for the requests that one router sends to a cold runner.

A cold runner has started recently and handles only a limited rate.

The rate that a cold runner can handle is divided evenly among the live routers.
If that leaves less than one request a second for each, a router sends one
request and then waits for its next turn. It starts at a random point of that
interval, so that routers that see a runner turn cold, or that have just
started, don't all send at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class _RateWindow:
    """Requests that a router has sent to one runner in the current window.

    Attributes:
        started_at_seconds: Monotonic time at which the window started.
        sent_count: Number of requests sent since then.
    """

    __slots__ = ("started_at_seconds", "sent_count")

    def __init__(self, started_at_seconds: float, *, sent_count: int) -> None:
        self.started_at_seconds = started_at_seconds
        self.sent_count = sent_count


class ColdRateLimiter:
    """Limits this router to its share of the request rate of cold runners."""

    __slots__ = ("_windows", "_random")

    def __init__(self, rng: random.Random) -> None:
        self._windows: dict[str, _RateWindow] = {}
        self._random = rng

    def allows(
        self,
        runner_id: str,
        *,
        requests_per_second: float,
        routers: int,
        now_seconds: float,
    ) -> bool:
        """Returns whether one more request may be sent to a runner now.

        Does not count the request; `record_sent` does.

        Args:
            runner_id: Id of the cold runner.
            requests_per_second: Rate that it can handle, summed over all
                routers; above 0.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.
        """
        share_per_second = requests_per_second / max(1, routers)
        window_seconds = max(1.0, 1.0 / share_per_second)
        window = self._windows.get(runner_id)
        if window is None:
            if share_per_second >= 1:
                return True
            window = _RateWindow(
                now_seconds - self._random.uniform(0, window_seconds),
                sent_count=1,
            )
            self._windows[runner_id] = window
        if now_seconds - window.started_at_seconds >= window_seconds:
            return True
        return window.sent_count < int(share_per_second)

    def record_sent(self, runner_id: str, now_seconds: float) -> None:
        """Counts a request that was sent to a cold runner."""
        window = self._windows.get(runner_id)
        if window is None or now_seconds - window.started_at_seconds >= 1.0:
            self._windows[runner_id] = _RateWindow(now_seconds, sent_count=1)
            return
        window.sent_count += 1
