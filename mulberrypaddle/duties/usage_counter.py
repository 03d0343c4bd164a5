"""Counts the requests that began to run, by window and organisation."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.duties.fleet_clock import FleetClock

# Length of the intervals by which runs are kept until the agreed time is
# known: a fiftieth of a window of 5 s.
PENDING_INTERVAL_SECONDS = 0.1

# Most organisations that one router counts. A message with their counts in the
# kept windows stays below the size of a datagram.
MAX_ORGANISATIONS = 500


class UsageCounter:
    """Counts what this process has seen begin, by window and organisation.

    Counts only grow, so that a message with them may be lost, repeated or
    overtaken. Runs that were seen before the agreed time was known are assigned
    to windows as soon as it is.

    Attributes:
        change_number: Number of counted runs; changes with each count.
        omitted_count: Runs that were not counted since there were too many
            organisations.
    """

    __slots__ = (
        "_clock",
        "_counts",
        "_kept_seconds",
        "_now",
        "_organisations",
        "_pending",
        "_window_seconds",
        "change_number",
        "omitted_count",
    )

    def __init__(
        self,
        clock: FleetClock,
        *,
        now: Callable[[], float],
        window_seconds: float,
        kept_seconds: float,
    ) -> None:
        """Creates a counter.

        Args:
            clock: The agreed time.
            now: Returns the steady time in seconds.
            window_seconds: Length of a window.
            kept_seconds: Time from the end of a window for which its counts
                are kept.
        """
        self._clock = clock
        self._now = now
        self._window_seconds = window_seconds
        self._kept_seconds = kept_seconds
        self._counts: dict[int, dict[str, int]] = {}
        # Runs before the agreed time was known, by number of the interval of
        # the steady time and by organisation.
        self._pending: dict[int, dict[str, int]] = {}
        self._organisations: dict[str, None] = {}
        self.change_number = 0
        self.omitted_count = 0

    def record(self, organisation: str, *, age_seconds: float = 0.0) -> None:
        """Counts one run of a request.

        Args:
            organisation: Name of its organisation; not counted if empty.
            age_seconds: Time since the run began.
        """
        if not organisation:
            return
        if organisation not in self._organisations:
            if len(self._organisations) >= MAX_ORGANISATIONS:
                self.omitted_count += 1
                return
            self._organisations[organisation] = None
        self.change_number += 1
        began_at_seconds = self._now() - age_seconds
        agreed_seconds = self._clock.agreed_seconds(began_at_seconds)
        if agreed_seconds is None:
            interval = int(began_at_seconds / PENDING_INTERVAL_SECONDS)
            counts = self._pending.setdefault(interval, {})
            counts[organisation] = counts.get(organisation, 0) + 1
            self._drop_old_pending()
            return
        self._add(agreed_seconds, organisation, 1)

    def windows(self) -> dict[int, dict[str, int]]:
        """Returns the counts of the kept windows, by window."""
        now = self._now()
        agreed_seconds = self._clock.agreed_seconds(now)
        if agreed_seconds is None:
            return {}
        for interval, counts in self._pending.items():
            began_at_seconds = (interval + 0.5) * PENDING_INTERVAL_SECONDS
            for organisation, count in counts.items():
                self._add(
                    agreed_seconds - (now - began_at_seconds),
                    organisation,
                    count,
                )
        self._pending.clear()
        kept_from = int(
            (agreed_seconds - self._kept_seconds) // self._window_seconds
        )
        for window in [key for key in self._counts if key < kept_from]:
            del self._counts[window]
        return {window: dict(counts) for window, counts in self._counts.items()}

    def _add(
        self, agreed_seconds: float, organisation: str, count: int
    ) -> None:
        """Adds runs that began at an agreed time."""
        window = int(agreed_seconds // self._window_seconds)
        counts = self._counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + count

    def _drop_old_pending(self) -> None:
        """Drops runs whose window is overdue before it could be numbered."""
        kept_from = (
            self._now() - self._kept_seconds - self._window_seconds
        ) / PENDING_INTERVAL_SECONDS
        while self._pending:
            oldest = next(iter(self._pending))
            if oldest >= kept_from:
                return
            del self._pending[oldest]
