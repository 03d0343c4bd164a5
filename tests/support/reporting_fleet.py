"""Runners that form groups, and a store that may carry out their writes late.

Each runner writes its entry at intervals and after each change. The store may
carry out a write seconds later, after newer ones of the same runner, or of its
next life under the same id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.fleet import FleetView
from tests.support.group_fleet import LAPSE_SECONDS, GroupFleet

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry
    from tests.support.group_fleet import PlayedRunner

HEARTBEAT_SECONDS = 1.2


class ReportingFleet(GroupFleet):
    """Runners, the store that has their entries, and one owner of the groups.

    Attributes:
        late_writes: Share of the writes that the store carries out late.
    """

    def __init__(self, **options: Any) -> None:
        self.late_writes = 0.0
        self._stored: dict[str, RunnerEntry] = {}
        self._stored_at: dict[str, float] = {}
        # Content and time of the last write of each runner, done or not.
        self._written: dict[str, tuple[tuple[Any, ...], float]] = {}
        self._sequences: dict[tuple[str, int], int] = {}
        self._delayed: list[tuple[float, RunnerEntry]] = []
        super().__init__(**options)

    def stored(self, runner_id: str) -> RunnerEntry:
        """Returns the entry of a runner that the store has now."""
        return self._stored[runner_id]

    def restart(self, runner_id: str) -> PlayedRunner:
        """Ends a runner and starts it again under the same id."""
        old = self.runners[runner_id]
        self._born += 1
        runner = type(old)(
            runner_id, domain=old.domain, started_at_ms=self._born
        )
        runner.staged = old.staged
        self.runners[runner_id] = runner
        self._written.pop(runner_id, None)
        return runner

    def change_owner(
        self, *, same_router: bool = False, has_just_started: bool = False
    ) -> None:
        """Hands the duty over to another router, or to the same one again.

        Args:
            same_router: Whether the next owner is the same router, which
                remembers the orders that it has sent.
            has_just_started: Whether the next owner knows no entry but those
                that the store has now.
        """
        super().change_owner(same_router=same_router)
        if has_just_started:
            self.view = FleetView()

    def delay_next_write(self, runner_id: str, seconds: float) -> None:
        """Lets a runner write now what the store carries out later."""
        entry = self._make_entry(self.runners[runner_id])
        self._delayed.append((self.now + seconds, entry))

    def _report(self) -> None:
        for runner in self.runners.values():
            if runner.alive:
                self._write(runner)
        due = [entry for at, entry in self._delayed if at <= self.now]
        self._delayed = [late for late in self._delayed if late[0] > self.now]
        for entry in due:
            self._store(entry)
        for runner_id, stored_at in list(self._stored_at.items()):
            if self.now - stored_at >= LAPSE_SECONDS:
                del self._stored[runner_id]
                del self._stored_at[runner_id]
        self.view.replace_all(
            list(self._stored.values()),
            revision=self.view.revision + 1,
            now_seconds=self.now,
        )
        self.view.take_outdated(self.now)

    def _write(self, runner: PlayedRunner) -> None:
        """Writes the entry of a runner if it has changed or is due."""
        content = (
            runner.group,
            runner.members,
            runner.state,
            runner.staged,
            runner.draining,
        )
        written = self._written.get(runner.runner_id)
        if (
            written is not None
            and written[0] == content
            and self.now - written[1] < HEARTBEAT_SECONDS
        ):
            return
        self._written[runner.runner_id] = (content, self.now)
        entry = self._make_entry(runner)
        if self.rng.random() < self.late_writes:
            delay_seconds = self.rng.uniform(1.0, 6.0)
            self._delayed.append((self.now + delay_seconds, entry))
            return
        self._store(entry)

    def _make_entry(self, runner: PlayedRunner) -> RunnerEntry:
        """Returns the next entry of a runner."""
        key = (runner.runner_id, runner.started_at_ms)
        self._sequences[key] = self._sequences.get(key, 0) + 1
        entry = self._entry(runner)
        entry.sequence = self._sequences[key]
        return entry

    def _store(self, entry: RunnerEntry) -> None:
        self._stored[entry.runner_id] = entry
        self._stored_at[entry.runner_id] = self.now
