"""Which runners failed lately and are left alone for a while.

Three signs are kept apart. A runner that this router could not reach is not
used by it. One that answers with failures is left alone while enough others are
there. A head whose streams stand still, or that another router could not reach,
is only chosen after the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Failures in a row before a runner is left alone; one may be bad luck.
FAILURES_BEFORE_PAUSE = 2

# First pause of a failing runner; about one heartbeat of the platform.
FIRST_PAUSE_SECONDS = 1.0

# Longest pause: a runner that fails part of its requests is tried again.
LONGEST_PAUSE_SECONDS = 8.0

# Pause after a connection could not be made or went silent: until the entry
# of a dead runner has lapsed, three heartbeats of 1.2 s.
UNREACHABLE_PAUSE_SECONDS = 4.0


# Age up to which a sight of standing streams counts against a head: the sight
# is repeated while they stand, and reaches all routers within 0.4 s.
SUSPICION_SECONDS = 0.6


class _Record:
    """What is held against one life of a runner."""

    __slots__ = (
        "failures",
        "paused_until_seconds",
        "pauses",
        "silent_until_seconds",
        "told",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.pauses = 0
        self.paused_until_seconds = 0.0
        self.silent_until_seconds = 0.0
        self.told = False


class Soundness:
    """Pauses runners that fail, and takes pauses from other routers."""

    __slots__ = ("_records", "_suspects")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._suspects: dict[str, float] = {}

    def failing(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether a runner answers with failures."""
        record = self._records.get(runner_id)
        return record is not None and now_seconds < record.paused_until_seconds

    def silent(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether a runner could not be reached lately."""
        record = self._records.get(runner_id)
        return record is not None and now_seconds < record.silent_until_seconds

    def suspected(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether streams of a head lately stood still."""
        seen_at_seconds = self._suspects.get(runner_id)
        if seen_at_seconds is None:
            return False
        return now_seconds - seen_at_seconds < SUSPICION_SECONDS

    def succeeded(self, runner_id: str) -> None:
        """Takes an answer as a sign that the runner works."""
        record = self._records.get(runner_id)
        if record is None:
            return
        record.failures = 0
        record.pauses = max(0, record.pauses - 1)
        record.paused_until_seconds = 0.0
        record.silent_until_seconds = 0.0

    def failed(self, runner_id: str, now_seconds: float) -> bool:
        """Counts a failure.

        Returns:
            Whether the runner is paused by it.
        """
        record = self._records.setdefault(runner_id, _Record())
        record.failures += 1
        if record.failures < FAILURES_BEFORE_PAUSE:
            return False
        pause = min(
            LONGEST_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**record.pauses
        )
        record.pauses += 1
        record.failures = 0
        record.paused_until_seconds = now_seconds + pause
        record.told = False
        return True

    def unreachable(self, runner_id: str, now_seconds: float) -> None:
        """Takes that a runner could not be reached or fell silent."""
        record = self._records.setdefault(runner_id, _Record())
        record.silent_until_seconds = now_seconds + UNREACHABLE_PAUSE_SECONDS
        record.told = False

    def suspect(self, runner_id: str, seen_at_seconds: float) -> None:
        """Takes that streams of a head stood still at a time."""
        self._suspects[runner_id] = max(
            seen_at_seconds, self._suspects.get(runner_id, 0.0)
        )

    def suspects(
        self, now_seconds: float, *, within_seconds: float
    ) -> dict[str, float]:
        """Returns the age of the last sight of each suspected head."""
        return {
            runner_id: now_seconds - at_seconds
            for runner_id, at_seconds in self._suspects.items()
            if now_seconds - at_seconds < within_seconds
        }

    def take_peer(
        self,
        *,
        failing: Iterable[str],
        silent: Iterable[str],
        now_seconds: float,
    ) -> None:
        """Takes what another router has just found.

        Args:
            failing: Runners that answer it with failures.
            silent: Runners that it could not reach.
            now_seconds: Monotonic time.
        """
        until = now_seconds + FIRST_PAUSE_SECONDS
        for runner_id in failing:
            record = self._records.setdefault(runner_id, _Record())
            record.paused_until_seconds = max(
                record.paused_until_seconds, until
            )
            record.told = True
        for runner_id in silent:
            # The link of the other router may be at fault: all would leave the
            # same runners alone and press the rest.
            self.suspect(runner_id, now_seconds)

    def own_failing(self, now_seconds: float) -> list[str]:
        """Returns the runners that failed requests of this router."""
        return [
            runner_id
            for runner_id, record in self._records.items()
            if not record.told and now_seconds < record.paused_until_seconds
        ]

    def own_silent(self, now_seconds: float) -> list[str]:
        """Returns the runners that this router could not reach."""
        return [
            runner_id
            for runner_id, record in self._records.items()
            if not record.told and now_seconds < record.silent_until_seconds
        ]

    def keep_only(self, runner_ids: Iterable[str]) -> None:
        """Forgets runners that are gone."""
        known = set(runner_ids)
        for kept in (self._records, self._suspects):
            for runner_id in list(kept):
                if runner_id not in known:
                    del kept[runner_id]
