"""When a router asks the store itself whether its copy still holds.

A change must take effect within a bound, counted from when the store has
acknowledged it. Until then three things may follow one another at a router that
can reach the store: its copy grows old without a check, the first check gets no
answer, and the next one is answered. Their longest times are parts of the
bound, and the rest of it is left for what the process itself is late by.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Parts of the bound: the age of a copy from which a router checks it that
# watches the store for others, and from which all other routers do, the random
# spread of the latter, and the timeout of the first check.
WATCHER_AGE_SHARE = 0.225
AGE_SHARE = 0.42
SPREAD_SHARE = 0.08
TIMEOUT_SHARE = 0.2

# Longest timeout of a check, which doubles with each failure in a row: a store
# that is slow answers in a quarter of a second, and with many changes later.
MAX_TIMEOUT_SECONDS = 1.5

# First pause after a failure in a row, which doubles with each further one.
# Longest it is the age from which copies are checked.
RETRY_PAUSE_SECONDS = 0.1

# Least longest pause after a failure for each router of the fleet, so that the
# rate of all their checks of a collection is bounded while the store is away.
PAUSE_SECONDS_PER_ROUTER = 0.004

DEFAULT_BOUND_SECONDS = 2.0


class CheckSchedule:
    """Decides when one copy is checked, and how long a check may take."""

    __slots__ = (
        "_bound_seconds",
        "_failures",
        "_is_checking",
        "_is_watcher",
        "_next_at_seconds",
        "_rng",
        "_routers",
        "_spread",
    )

    def __init__(
        self,
        bound_seconds: float = DEFAULT_BOUND_SECONDS,
        *,
        is_watcher: Callable[[], bool] = lambda: False,
        routers: Callable[[], int] = lambda: 1,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a schedule on which a check is due at once.

        Args:
            bound_seconds: Time within which a change must take effect.
            is_watcher: Returns whether other routers rely on this copy.
            routers: Returns the number of routers that may be alive.
            rng: Source of random choices.
        """
        self._bound_seconds = bound_seconds
        self._is_watcher = is_watcher
        self._routers = routers
        self._rng = rng or random.Random()
        self._is_checking = False
        # Failed checks in a row.
        self._failures = 0
        self._next_at_seconds = 0.0
        self._spread = self._rng.random()

    @property
    def failed(self) -> bool:
        """Returns whether the last check failed."""
        return self._failures > 0

    def limit_seconds(self) -> float:
        """Returns the age from which the copy is checked."""
        if self._is_watcher():
            return self._bound_seconds * WATCHER_AGE_SHARE
        return self._bound_seconds * (AGE_SHARE + SPREAD_SHARE * self._spread)

    def is_due(self, age_seconds: float, now_seconds: float) -> bool:
        """Returns whether a check should begin.

        Args:
            age_seconds: Age of the copy.
            now_seconds: Monotonic time.
        """
        if self._is_checking or now_seconds < self._next_at_seconds:
            return False
        return age_seconds >= self.limit_seconds()

    def is_failing(self, age_seconds: float) -> bool:
        """Returns whether the last check of a copy that is old has failed.

        Args:
            age_seconds: Age of the copy.
        """
        return self._failures > 0 and age_seconds >= self.limit_seconds()

    def begin(self) -> float:
        """Records that a check begins.

        Returns:
            Time within which it must be answered.
        """
        self._is_checking = True
        return min(
            MAX_TIMEOUT_SECONDS,
            self._bound_seconds * TIMEOUT_SHARE * 2 ** min(self._failures, 8),
        )

    def end(self, now_seconds: float, *, succeeded: bool) -> None:
        """Records the end of a check.

        Args:
            now_seconds: Monotonic time.
            succeeded: Whether the store has confirmed or changed the copy.
        """
        self._is_checking = False
        self._spread = self._rng.random()
        if succeeded:
            self._failures = 0
            self._next_at_seconds = now_seconds
            return
        self._next_at_seconds = now_seconds + self._pause_seconds()
        self._failures += 1

    def _pause_seconds(self) -> float:
        """Returns the pause after a check that failed; none after the first.

        The connection of the first one may have been dead.
        """
        if not self._failures:
            return 0.0
        longest_seconds = max(
            self._bound_seconds * AGE_SHARE,
            self._routers() * PAUSE_SECONDS_PER_ROUTER,
        )
        return min(
            longest_seconds,
            RETRY_PAUSE_SECONDS * 2 ** min(self._failures - 1, 8),
        )
