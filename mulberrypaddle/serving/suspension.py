"""Whether this process was suspended, which its own clock does not tell.

Timers of the loop run by a clock that stands still while the VM is suspended.
What the rest of the world waits for goes on: deadlines of callers run out, and
leases end.
"""

from __future__ import annotations

import time

# Suspension after which what was decided before it is decided anew.
MOST_SUSPENSION_SECONDS = 0.2


def suspended_seconds() -> float:
    """Returns a time that grows only while the VM is suspended."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionMark:
    """A moment, and how long the VM was suspended since then."""

    __slots__ = ("_at_seconds",)

    def __init__(self) -> None:
        self._at_seconds = suspended_seconds()

    def passed_seconds(self) -> float:
        """Returns how long the VM was suspended since the mark was made."""
        return max(0.0, suspended_seconds() - self._at_seconds)

    def holds(self) -> bool:
        """Returns whether what was decided then may still be acted on."""
        return self.passed_seconds() <= MOST_SUSPENSION_SECONDS
