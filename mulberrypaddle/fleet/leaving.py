"""Lifetimes of runners that announced that they are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.runners import RunnerEntry

# Lifetimes that are remembered: several times the runners of a large fleet.
MAX_REMEMBERED = 8_192


class LeavingRunners:
    """Remembers which lifetimes of runners announced that they are leaving.

    A lifetime is a runner's id with the Unix time of its start in milliseconds,
    or None if the start is unknown. A lifetime with a known start stays
    remembered when its entry is removed, since a late heartbeat may write the
    entry again. One with an unknown start can't be told apart from the next
    runner under the same id, so that it ends with the entry.
    """

    __slots__ = ("_since_seconds",)

    def __init__(self) -> None:
        # Monotonic time of the first announcement, by lifetime; the oldest
        # first.
        self._since_seconds: dict[tuple[str, int | None], float] = {}

    def record(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Records an announcement.

        Args:
            incarnation: Lifetime of the runner.
            now_seconds: Monotonic time.

        Returns:
            Whether it is the first one of this lifetime.
        """
        if incarnation in self._since_seconds:
            return False
        self._since_seconds[incarnation] = now_seconds
        while len(self._since_seconds) > MAX_REMEMBERED:
            del self._since_seconds[next(iter(self._since_seconds))]
        return True

    def since_seconds(self, entry: RunnerEntry) -> float | None:
        """Returns when a lifetime first announced it; None if it has not."""
        return self._since_seconds.get(entry.incarnation)

    def forget_unknown(self, runner_id: str) -> None:
        """Forgets the lifetime of a runner whose start is unknown."""
        self._since_seconds.pop((runner_id, None), None)
