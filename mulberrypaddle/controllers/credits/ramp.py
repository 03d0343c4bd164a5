"""Slow start: what a runner bears after a start.

The limit rises by one for each successful completion, so that it doubles
with each round of requests, but never faster than by doubling once per
`DOUBLE_SECONDS`. Source: slow start of TCP (RFC 5681) and of load
balancers.
"""

from __future__ import annotations

DOUBLE_SECONDS = 2.0


class Ramp:
    """The present limit of one runner.

    Attributes:
        incarnation: Start of the runner that the limit belongs to.
        borne_requests: What it bears now.
        cold_requests: What it bears directly after a start.
        full_requests: What it bears once warm.
    """

    __slots__ = (
        "_started_at_seconds",
        "_uptime_seconds",
        "borne_requests",
        "cold_requests",
        "full_requests",
        "incarnation",
    )

    def __init__(self, *, cold_requests: int, full_requests: int) -> None:
        self.incarnation = ""
        self.cold_requests = min(cold_requests, full_requests)
        self.full_requests = full_requests
        self.borne_requests = self.cold_requests
        self._started_at_seconds = 0.0
        self._uptime_seconds = 0.0

    @property
    def warm(self) -> bool:
        """Returns whether the ramp is over."""
        return self.borne_requests >= self.full_requests

    @property
    def needs_one_sender(self) -> bool:
        """Returns whether the limit is too small to be divided."""
        return not self.warm and self.borne_requests < 2 * self.cold_requests

    def restarted(self, incarnation: str, uptime_seconds: float) -> bool:
        """Returns whether a report tells of a start since the last one."""
        if incarnation != self.incarnation:
            return True
        return uptime_seconds < self._uptime_seconds

    def begin(
        self, incarnation: str, *, borne_requests: int, now_seconds: float
    ) -> None:
        """Begins from the cold limit, or from a limit known to be borne."""
        self.incarnation = incarnation
        self.borne_requests = min(
            max(borne_requests, self.cold_requests), self.full_requests
        )
        self._uptime_seconds = 0.0
        self._started_at_seconds = now_seconds

    def saw_uptime(self, uptime_seconds: float) -> None:
        """Remembers the latest uptime."""
        self._uptime_seconds = uptime_seconds

    def completed(self, count: int, now_seconds: float) -> None:
        """Raises the limit for successful completions."""
        elapsed_seconds = now_seconds - self._started_at_seconds
        doublings = min(elapsed_seconds / DOUBLE_SECONDS, 20.0)
        ceiling = int(self.cold_requests * 2.0**doublings)
        raised = self.borne_requests + count
        raised = min(raised, max(ceiling, self.borne_requests))
        self.borne_requests = min(raised, self.full_requests)
