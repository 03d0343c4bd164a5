"""Agrees on the time by which usage windows are numbered.

The wall clocks of up to a third of the VMs may jump by seconds, forward and
back. Each router therefore keeps the offset between its steady clock and the
agreed time. The holder of the duty takes the median of the wall clocks that it
hears of, and the others adopt its answers. Steady clocks drift by little, so an
offset that differs by much is adopted only after it has persisted.
"""

from __future__ import annotations

import statistics

# Difference between two offsets that drift and transit times explain. A
# twentieth of the shortest window in use is twice this.
MAX_DRIFT_SECONDS = 0.15

# Share of such a difference by which the offset moves with each observation,
# so that transit times average out.
SMOOTHING = 0.2

# Time for which a greater difference must persist before it is adopted: jumps
# of the clocks of a third of the VMs end sooner, or other VMs outvote them.
STEP_AFTER_SECONDS = 30.0

# Time for which a router without an agreed time collects clocks before it
# takes their median, if it hears of most of the live routers, and the longest.
COLLECT_SECONDS = 1.5
MAX_COLLECT_SECONDS = 8.0
MIN_HEARD_SHARE = 2 / 3

# Fewest clocks of which the median outvotes a wrong one. A router that hears of
# fewer collects for the longest time, unless others know the agreed time.
MIN_CLOCKS = 3

# Time after a step of the agreed time in which the others adopt it: two
# intervals of messages.
STEP_SPREAD_SECONDS = 2.0

# Time for which an observed clock counts. The clock of a router that is
# silent goes on, so that a jump elsewhere doesn't outweigh it at once.
OBSERVATION_SECONDS = 60.0

# Most routers whose clocks are kept.
MAX_CLOCKS = 4_096


class _Observation:
    """Offset of one router's clock, and when it was observed.

    Attributes:
        offset_seconds: Its wall clock minus the steady clock of this router.
        agreed_offset_seconds: Its agreed time minus that steady clock; None if
            it has no agreed time.
        seen_at_seconds: Steady time of the observation.
    """

    __slots__ = ("agreed_offset_seconds", "offset_seconds", "seen_at_seconds")

    def __init__(
        self,
        offset_seconds: float,
        agreed_offset_seconds: float | None,
        seen_at_seconds: float,
    ) -> None:
        self.offset_seconds = offset_seconds
        self.agreed_offset_seconds = agreed_offset_seconds
        self.seen_at_seconds = seen_at_seconds


class FleetClock:
    """Keeps the offset between the steady clock and the agreed time.

    All times are in seconds. Steady times count suspension; agreed times and
    wall clocks count from the start of 1970.

    Attributes:
        stepped_at_seconds: Steady time at which the agreed time last changed
            by more than drift; None if it never has.
        unsettled_until_seconds: Agreed time before which windows may have begun
            that were counted by the agreed time before such a step; 0 without
            one.
    """

    __slots__ = (
        "_collecting_since_seconds",
        "_differs_since_seconds",
        "_observations",
        "_offset_seconds",
        "stepped_at_seconds",
        "unsettled_until_seconds",
    )

    def __init__(self) -> None:
        self._offset_seconds: float | None = None
        self._observations: dict[str, _Observation] = {}
        self._collecting_since_seconds: float | None = None
        # Since when the observed offset differs by more than drift.
        self._differs_since_seconds: float | None = None
        self.stepped_at_seconds: float | None = None
        self.unsettled_until_seconds = 0.0

    def agreed_seconds(self, now_seconds: float) -> float | None:
        """Returns the agreed time at a steady time; None if it is unknown."""
        if self._offset_seconds is None:
            return None
        return now_seconds + self._offset_seconds

    def window_at(self, now_seconds: float, window_seconds: float) -> int:
        """Returns the number of the window at a steady time; -1 if unknown."""
        agreed_seconds = self.agreed_seconds(now_seconds)
        if agreed_seconds is None:
            return -1
        return int(agreed_seconds // window_seconds)

    def record_clock(
        self,
        name: str,
        wall_seconds: float,
        *,
        agreed_seconds: float | None,
        now_seconds: float,
    ) -> None:
        """Records the clocks of one router, this one or another.

        Args:
            name: Name of its VM.
            wall_seconds: Its wall clock.
            agreed_seconds: The agreed time as it knows it; None if it doesn't.
            now_seconds: Steady time of this router.
        """
        agreed_offset_seconds = None
        if agreed_seconds is not None:
            agreed_offset_seconds = agreed_seconds - now_seconds
        self._observations.pop(name, None)
        self._observations[name] = _Observation(
            wall_seconds - now_seconds, agreed_offset_seconds, now_seconds
        )
        while len(self._observations) > MAX_CLOCKS:
            del self._observations[next(iter(self._observations))]

    def update(self, now_seconds: float, *, live_routers: int) -> None:
        """Takes the median of the observed clocks; called by the holder.

        Args:
            now_seconds: Steady time.
            live_routers: Number of routers that may be alive.
        """
        observations = [
            observation
            for observation in self._observations.values()
            if now_seconds - observation.seen_at_seconds < OBSERVATION_SECONDS
        ]
        if not observations:
            return
        if self._offset_seconds is None:
            offset_seconds = self._first_offset(
                observations, now_seconds, live_routers
            )
            if offset_seconds is not None:
                self._offset_seconds = offset_seconds
            return
        self._approach(
            statistics.median(
                observation.offset_seconds for observation in observations
            ),
            now_seconds,
            # A holder that is cut off from the others would follow its own
            # clock, which may be wrong.
            may_step=len(observations) >= MIN_HEARD_SHARE * live_routers,
        )

    def _first_offset(
        self,
        observations: list[_Observation],
        now_seconds: float,
        live_routers: int,
    ) -> float | None:
        """Returns the first offset; None while too few clocks are known.

        The agreed time of other routers is preferred: it goes on from before.
        """
        if self._collecting_since_seconds is None:
            self._collecting_since_seconds = now_seconds
        collected_seconds = now_seconds - self._collecting_since_seconds
        agreed = [
            observation.agreed_offset_seconds
            for observation in observations
            if observation.agreed_offset_seconds is not None
        ]
        is_enough = len(observations) >= MIN_HEARD_SHARE * live_routers and (
            len(observations) >= MIN_CLOCKS or len(agreed) > 0
        )
        if collected_seconds < (
            COLLECT_SECONDS if is_enough else MAX_COLLECT_SECONDS
        ):
            return None
        return statistics.median(
            agreed
            or [observation.offset_seconds for observation in observations]
        )

    def adopt(
        self,
        agreed_seconds: float,
        now_seconds: float,
        *,
        stepped_at_seconds: float | None = None,
    ) -> None:
        """Adopts the agreed time of the holder, unless it differs by much.

        Args:
            agreed_seconds: Agreed time at the steady time.
            now_seconds: Steady time.
            stepped_at_seconds: Steady time of this router at which the holder's
                agreed time stepped; None if it never has. A step that this
                router has not taken since is taken at once.
        """
        offset_seconds = agreed_seconds - now_seconds
        if self._offset_seconds is None:
            self._offset_seconds = offset_seconds
            return
        if (
            stepped_at_seconds is not None
            and abs(offset_seconds - self._offset_seconds) > MAX_DRIFT_SECONDS
            and (
                self.stepped_at_seconds is None
                or self.stepped_at_seconds < stepped_at_seconds
            )
        ):
            self._step(offset_seconds, now_seconds)
            return
        self._approach(offset_seconds, now_seconds, may_step=True)

    def _approach(
        self, offset_seconds: float, now_seconds: float, *, may_step: bool
    ) -> None:
        """Moves the offset towards an observed one.

        Args:
            offset_seconds: Observed offset.
            now_seconds: Steady time.
            may_step: Whether an offset that differs by much may be adopted.
        """
        assert self._offset_seconds is not None
        difference_seconds = offset_seconds - self._offset_seconds
        if abs(difference_seconds) <= MAX_DRIFT_SECONDS:
            self._differs_since_seconds = None
            self._offset_seconds += SMOOTHING * difference_seconds
            return
        if not may_step:
            self._differs_since_seconds = None
            return
        if self._differs_since_seconds is None:
            self._differs_since_seconds = now_seconds
        if now_seconds - self._differs_since_seconds < STEP_AFTER_SECONDS:
            return
        self._step(offset_seconds, now_seconds)

    def _step(self, offset_seconds: float, now_seconds: float) -> None:
        """Takes over an offset that differs by much."""
        assert self._offset_seconds is not None
        # After a step back, later windows have runs from before it.
        self.unsettled_until_seconds = max(
            self.unsettled_until_seconds,
            now_seconds
            + STEP_SPREAD_SECONDS
            + max(offset_seconds, self._offset_seconds),
        )
        self._differs_since_seconds = None
        self._offset_seconds = offset_seconds
        self.stepped_at_seconds = now_seconds
