"""Which runners failed lately and are left alone for a while."""

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


class _Record:
    """What is held against one life of a runner."""

    __slots__ = ("failures", "paused_until_seconds", "pauses", "told")

    def __init__(self) -> None:
        self.failures = 0
        self.pauses = 0
        self.paused_until_seconds = 0.0
        self.told = False


class Soundness:
    """Pauses runners that fail, and takes pauses from other routers."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def paused(self, runner_id: str, now_seconds: float) -> bool:
        """Returns whether a runner is to be left alone now."""
        record = self._records.get(runner_id)
        return record is not None and now_seconds < record.paused_until_seconds

    def succeeded(self, runner_id: str) -> None:
        """Takes an answer as a sign that the runner works."""
        record = self._records.get(runner_id)
        if record is None:
            return
        record.failures = 0
        record.pauses = max(0, record.pauses - 1)
        record.paused_until_seconds = 0.0

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
        """Pauses a runner that could not be reached or fell silent."""
        record = self._records.setdefault(runner_id, _Record())
        record.paused_until_seconds = now_seconds + UNREACHABLE_PAUSE_SECONDS
        record.told = False

    def take_peer(self, runner_ids: Iterable[str], now_seconds: float) -> None:
        """Takes pauses that another router has just begun."""
        for runner_id in runner_ids:
            record = self._records.setdefault(runner_id, _Record())
            until = now_seconds + FIRST_PAUSE_SECONDS
            record.paused_until_seconds = max(
                record.paused_until_seconds, until
            )
            record.told = True

    def own_pauses(self, now_seconds: float) -> list[str]:
        """Returns the runners that this router itself has paused."""
        return [
            runner_id
            for runner_id, record in self._records.items()
            if not record.told and now_seconds < record.paused_until_seconds
        ]

    def keep_only(self, runner_ids: Iterable[str]) -> None:
        """Forgets runners that are gone."""
        known = set(runner_ids)
        for runner_id in list(self._records):
            if runner_id not in known:
                del self._records[runner_id]
