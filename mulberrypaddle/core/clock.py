"""Clocks that are passed to their users, so that tests control time."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall time."""

    __slots__ = ()

    @abc.abstractmethod
    def monotonic_seconds(self) -> float:
        """Returns seconds that never decrease, from an arbitrary origin."""

    @abc.abstractmethod
    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock(Clock):
    """The operating system's clock."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the system's monotonic time in seconds."""
        return time.monotonic()

    def wall_seconds(self) -> float:
        """Returns the system's Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """Clock for tests and simulations that only `advance` moves."""

    __slots__ = ("_now_seconds", "_wall_offset_seconds")

    def __init__(
        self, *, start_seconds: float = 0.0, wall_seconds: float = 1_800_000_000
    ) -> None:
        self._now_seconds = start_seconds
        self._wall_offset_seconds = wall_seconds - start_seconds

    def monotonic_seconds(self) -> float:
        """Returns the current simulated time."""
        return self._now_seconds

    def wall_seconds(self) -> float:
        """Returns the simulated time, offset to the Unix epoch."""
        return self._now_seconds + self._wall_offset_seconds

    def advance(self, delta_seconds: float) -> None:
        """Moves the clock forward.

        Args:
            delta_seconds: How far, at least 0.

        Raises:
            ValueError: If `delta_seconds` is negative.
        """
        if delta_seconds < 0:
            raise ValueError(
                f"got delta_seconds={delta_seconds}, expected 0 or more"
            )
        self._now_seconds += delta_seconds
