"""Whether this process keeps up well enough to have duties.

A VM that turns slow, or whose core others use, still serves its callers. What
the whole fleet waits for is better done elsewhere meanwhile.
"""

from __future__ import annotations

import collections

# Delay of a tick beyond its pause from which it counts as late: the share of a
# small core may run out for a tenth of a second at a time.
LATE_SECONDS = 0.15

# Ticks that are looked at, and late ones among them that make a process unfit.
# A single long one may be a suspension, which is over.
TICKS = 10
MOST_LATE_TICKS = 4

# Time for which a process stays unfit after its last such sight: duties should
# not wander to and fro.
UNFIT_SECONDS = 8.0


class Fitness:
    """Watches how punctual the ticks of a process are."""

    __slots__ = ("_last_seconds", "_late", "_unfit_until_seconds")

    def __init__(self) -> None:
        self._last_seconds: float | None = None
        self._late: collections.deque[bool] = collections.deque(maxlen=TICKS)
        self._unfit_until_seconds = 0.0

    def ticked(self, now_seconds: float, *, pause_seconds: float) -> bool:
        """Takes a tick.

        Args:
            now_seconds: Monotonic time.
            pause_seconds: Pause that was meant to lie before it.

        Returns:
            Whether the process has just become unfit.
        """
        last, self._last_seconds = self._last_seconds, now_seconds
        if last is None:
            return False
        self._late.append(now_seconds - last - pause_seconds > LATE_SECONDS)
        if sum(self._late) < MOST_LATE_TICKS:
            return False
        was_fit = self.fit(now_seconds)
        self._unfit_until_seconds = now_seconds + UNFIT_SECONDS
        return was_fit

    def fit(self, now_seconds: float) -> bool:
        """Returns whether the process should have duties."""
        return now_seconds >= self._unfit_until_seconds
