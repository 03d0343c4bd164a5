"""Pauses that runners ask for when they refuse a request.

A runner that answers 503 may say for how long it wants nothing from this
router. Other routers are not told: the pause concerns only the router that
was refused.
"""

from __future__ import annotations

# Longest pause; a longer one is cut to this length. Callers wait for some
# seconds and runners restart within a minute, so that a longer value is more
# likely an error than a plan.
MAX_PAUSE_SECONDS = 300.0

# Pause after a refusal whose length can't be read.
UNREADABLE_PAUSE_SECONDS = 1.0

# Least time between two log lines on the pauses of one lifetime.
LOG_INTERVAL_SECONDS = 10.0


class _Pause:
    """Latest pause of one lifetime of a runner.

    Attributes:
        ends_at_seconds: Monotonic time at which it ends.
        logged_at_seconds: Monotonic time at which a pause was last logged.
        order_sent: Whether an order was sent since the pause began.
    """

    __slots__ = ("ends_at_seconds", "logged_at_seconds", "order_sent")

    def __init__(self) -> None:
        self.ends_at_seconds = 0.0
        self.logged_at_seconds = -LOG_INTERVAL_SECONDS
        self.order_sent = False


class RunnerPauses:
    """Current pauses, by lifetime of the runner.

    A lifetime is a runner's id with the Unix time of its start in milliseconds,
    or None if the start is unknown.
    """

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: dict[tuple[str, int | None], _Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Returns whether no runner asked for a pause lately."""
        return not self._pauses

    def record(
        self,
        incarnation: tuple[str, int | None],
        seconds: float,
        now_seconds: float,
    ) -> bool:
        """Records that a runner asked for a pause, which may extend another.

        Args:
            incarnation: Lifetime of the runner.
            seconds: Length of the pause.
            now_seconds: Monotonic time.

        Returns:
            Whether to log it: not while a pause is extended, and for each
            lifetime at most once in `LOG_INTERVAL_SECONDS`.
        """
        seconds = min(seconds, MAX_PAUSE_SECONDS)
        if seconds <= 0:
            return False
        pause = self._pauses.setdefault(incarnation, _Pause())
        begins = now_seconds >= pause.ends_at_seconds
        pause.ends_at_seconds = max(
            pause.ends_at_seconds, now_seconds + seconds
        )
        if not begins:
            return False
        pause.order_sent = False
        if now_seconds - pause.logged_at_seconds < LOG_INTERVAL_SECONDS:
            return False
        pause.logged_at_seconds = now_seconds
        return True

    def is_paused(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Returns whether a runner wants no requests from this router now."""
        return now_seconds < self.ends_at_seconds(incarnation)

    def ends_at_seconds(self, incarnation: tuple[str, int | None]) -> float:
        """Returns the monotonic end of a runner's last pause; 0 without one."""
        pause = self._pauses.get(incarnation)
        return 0.0 if pause is None else pause.ends_at_seconds

    def try_acquire_order(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Returns whether an order may be sent to a runner now.

        A pause lets one order through, since a group can't be closed or
        disbanded without it. The order is counted if it may be sent.
        """
        if not self.is_paused(incarnation, now_seconds):
            return True
        pause = self._pauses[incarnation]
        if pause.order_sent:
            return False
        pause.order_sent = True
        return True

    def count(self, now_seconds: float) -> int:
        """Returns how many runners want no requests from this router now."""
        return sum(
            now_seconds < pause.ends_at_seconds
            for pause in self._pauses.values()
        )

    def forget_expired(self, now_seconds: float) -> None:
        """Forgets pauses that ended some time ago."""
        for incarnation, pause in list(self._pauses.items()):
            ended_at_seconds = pause.ends_at_seconds + LOG_INTERVAL_SECONDS
            if now_seconds >= ended_at_seconds:
                del self._pauses[incarnation]
