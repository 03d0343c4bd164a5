"""How many requests a second a router sends to a cold runner."""

from __future__ import annotations


class _Second:
    """Requests sent to a runner since a moment."""

    __slots__ = ("began_at_seconds", "sent")

    def __init__(self, began_at_seconds: float) -> None:
        self.began_at_seconds = began_at_seconds
        self.sent = 0


class ColdRate:
    """Parts what a cold runner bears evenly among the routers alive."""

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, _Second] = {}

    def allows(
        self,
        runner_id: str,
        *,
        requests_per_second: float,
        routers: int,
        now_seconds: float,
    ) -> bool:
        """Returns whether one more request may be sent now."""
        share = max(1, int(requests_per_second / max(1, routers)))
        second = self._seconds.get(runner_id)
        if second is None or now_seconds - second.began_at_seconds >= 1.0:
            return True
        return second.sent < share

    def sent(self, runner_id: str, now_seconds: float) -> None:
        """Counts a request that was sent to a cold runner."""
        second = self._seconds.get(runner_id)
        if second is None or now_seconds - second.began_at_seconds >= 1.0:
            second = _Second(now_seconds)
            self._seconds[runner_id] = second
        second.sent += 1
