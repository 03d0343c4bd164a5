"""Detects that the VM was suspended, which the loop's clock does not show.

The event loop uses CLOCK_MONOTONIC, which stops while the VM is suspended.
Meanwhile deadlines of callers pass and leases expire.
"""

from __future__ import annotations

import time

# A longer suspension invalidates the decisions that were made before it.
MAX_SUSPENSION_SECONDS = 0.2


def suspended_seconds() -> float:
    """Returns how long the VM has been suspended since it booted."""
    boot_seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_seconds - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionMark:
    """Measures how long the VM was suspended since this was created.

    Created when a decision is made, to check later whether it still holds.
    """

    __slots__ = ("_baseline_seconds",)

    def __init__(self) -> None:
        self._baseline_seconds = suspended_seconds()

    def suspended_for_seconds(self) -> float:
        """Returns how long the VM was suspended since the mark was created."""
        return max(0.0, suspended_seconds() - self._baseline_seconds)

    def is_valid(self) -> bool:
        """Returns whether decisions made at the mark are still valid.

        They are unless the VM was suspended for longer than
        `MAX_SUSPENSION_SECONDS` since.
        """
        return self.suspended_for_seconds() <= MAX_SUSPENSION_SECONDS
