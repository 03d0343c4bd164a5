"""Estimates how often members of groups are lost."""

from __future__ import annotations

import math

# Time constant with which old observations fade.
MEMORY_SECONDS = 30.0

# Observations assumed before the first one: one loss in this many
# runner-seconds. Some tens of runners outweigh it within seconds.
PRIOR_RUNNER_SECONDS = 100.0


class LossRate:
    """Rate at which members of groups are lost, per member and second.

    Losses are crashes and planned departures alike: both leave a group without
    a member, and a new runner without weights.
    """

    __slots__ = (
        "_losses",
        "_members",
        "_runner_seconds",
        "_updated_at_seconds",
    )

    def __init__(self) -> None:
        self._members: frozenset[tuple[str, int | None]] = frozenset()
        self._losses = 1.0
        self._runner_seconds = PRIOR_RUNNER_SECONDS
        self._updated_at_seconds: float | None = None

    def update(
        self,
        *,
        members: frozenset[tuple[str, int | None]],
        usable: frozenset[tuple[str, int | None]],
        now_seconds: float,
    ) -> None:
        """Records the members of groups and counts those lost since.

        Args:
            members: Incarnations of the members of groups.
            usable: Incarnations of all runners that are neither lost nor
                draining.
            now_seconds: Monotonic time.
        """
        if self._updated_at_seconds is not None:
            elapsed_seconds = now_seconds - self._updated_at_seconds
            kept = math.exp(-elapsed_seconds / MEMORY_SECONDS)
            self._losses = self._losses * kept + len(self._members - usable)
            self._runner_seconds = (
                self._runner_seconds * kept
                + elapsed_seconds * len(self._members)
            )
        self._updated_at_seconds = now_seconds
        self._members = members & usable

    def chance_within(self, seconds: float) -> float:
        """Returns the chance that one member is lost within some time."""
        rate = self._losses / max(1.0, self._runner_seconds)
        return 1.0 - math.exp(-rate * seconds)
