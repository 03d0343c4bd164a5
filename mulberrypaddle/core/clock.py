"""Time as a value that is passed in, so that tests can set it."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall time."""

    __slots__ = ()

    @abc.abstractmethod
    def monotonic_seconds(self) -> float:
        """Returns seconds that never go back, from an arbitrary origin."""

    @abc.abstractmethod
    def wall_seconds(self) -> float:
        """Returns seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clock of the machine."""

    __slots__ = ()

    def monotonic_seconds(self) -> float:
        """Returns the machine's monotonic clock."""
        return time.monotonic()

    def wall_seconds(self) -> float:
        """Returns the machine's wall clock."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and simulations."""

    __slots__ = ("_now_seconds", "_wall_offset_seconds")

    def __init__(
        self, *, start_seconds: float = 0.0, wall_seconds: float = 1_800_000_000
    ) -> None:
        self._now_seconds = start_seconds
        self._wall_offset_seconds = wall_seconds - start_seconds

    def monotonic_seconds(self) -> float:
        """Returns the time that was last set."""
        return self._now_seconds

    def wall_seconds(self) -> float:
        """Returns the wall time that belongs to the time last set."""
        return self._now_seconds + self._wall_offset_seconds

    def advance(self, delta_seconds: float) -> None:
        """Moves time forward.

        Args:
            delta_seconds: How far, at least zero.

        Raises:
            ValueError: If `delta_seconds` is negative.
        """
        if delta_seconds < 0:
            raise ValueError(
                f"got delta_seconds={delta_seconds}, allowed is 0 or more"
            )
        self._now_seconds += delta_seconds
