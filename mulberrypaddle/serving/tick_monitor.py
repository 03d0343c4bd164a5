"""Whether this process runs promptly, and since when it did not.

A slow VM, or one whose core is used by others, still serves its callers. The
leadership of groups, on which the whole fleet waits, should be on another VM
meanwhile.
"""

from __future__ import annotations

import collections

# Delay beyond the intended pause above which a tick counts as late: the CPU
# quota of a small VM may run out for a tenth of a second at a time.
LATE_TICK_SECONDS = 0.15

# Number of recent ticks considered, and of late ones among them that make a
# process unfit. A single very late tick may be a suspension that is over.
WINDOW_TICKS = 10
UNFIT_LATE_TICKS = 4

# Time for which a process stays unfit after it was last found too slow, so that
# duties do not move back and forth.
UNFIT_SECONDS = 8.0


class TickMonitor:
    """Decides whether this process is fit, that is, prompt enough for duties.

    It decides by how late the recent rounds (ticks) of the main loop were.
    """

    __slots__ = (
        "_last_tick_seconds",
        "_late_since_seconds",
        "_tick_was_late",
        "_unfit_until_seconds",
    )

    def __init__(self) -> None:
        self._last_tick_seconds: float | None = None
        # Time of the tick before the last one, if the last one was late.
        self._late_since_seconds: float | None = None
        # Whether each of the recent ticks was late, oldest first.
        self._tick_was_late: collections.deque[bool] = collections.deque(
            maxlen=WINDOW_TICKS
        )
        self._unfit_until_seconds = 0.0

    def record_tick(self, now_seconds: float, *, pause_seconds: float) -> bool:
        """Records the start of a round (tick) of the main loop.

        Args:
            now_seconds: Monotonic time.
            pause_seconds: Intended pause since the tick before.

        Returns:
            Whether the process has just become unfit.
        """
        delay_seconds = self.delay_seconds(
            now_seconds, pause_seconds=pause_seconds
        )
        last_tick_seconds, self._last_tick_seconds = (
            self._last_tick_seconds,
            now_seconds,
        )
        if last_tick_seconds is None:
            return False
        is_late = delay_seconds > LATE_TICK_SECONDS
        self._tick_was_late.append(is_late)
        self._late_since_seconds = last_tick_seconds if is_late else None
        if sum(self._tick_was_late) < UNFIT_LATE_TICKS:
            return False
        was_fit = self.is_fit(now_seconds)
        self._unfit_until_seconds = now_seconds + UNFIT_SECONDS
        return was_fit

    def delay_seconds(
        self, now_seconds: float, *, pause_seconds: float
    ) -> float:
        """Returns by how much the next tick is late; 0 before the first.

        Args:
            now_seconds: Monotonic time.
            pause_seconds: Intended pause between two ticks.
        """
        if self._last_tick_seconds is None:
            return 0.0
        return now_seconds - self._last_tick_seconds - pause_seconds

    def signal_sent_seconds(
        self, now_seconds: float, *, pause_seconds: float
    ) -> float:
        """Returns the earliest time at which a signal may have been sent.

        A process that did not run for a while receives the signals of that
        time at its end, before or just after its next tick.

        Args:
            now_seconds: Monotonic time at which the signal is handled.
            pause_seconds: Intended pause between two ticks.
        """
        if self._last_tick_seconds is None:
            return now_seconds
        delay_seconds = self.delay_seconds(
            now_seconds, pause_seconds=pause_seconds
        )
        if delay_seconds > LATE_TICK_SECONDS:
            return self._last_tick_seconds
        if self._late_since_seconds is not None:
            return self._late_since_seconds
        return now_seconds

    def is_fit(self, now_seconds: float) -> bool:
        """Returns whether the process should hold duties."""
        return now_seconds >= self._unfit_until_seconds
