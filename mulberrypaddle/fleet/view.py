"""One router's copy of the entries of all runners in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.fleet.leaving import LeavingRunners

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from mulberrypaddle.fleet.runners import RunnerEntry

# Time after the store is reachable again, or was restored, in which entries
# that expired during the outage or were lost are written again; about two
# seconds according to the platform.
RETURN_GRACE_SECONDS = 2.0

# Heartbeat intervals after which the store removes the entry of a silent
# runner, according to the platform.
SILENT_INTERVALS = 3

# Time in which the removal of an entry reaches all routers.
REMOVAL_LAG_SECONDS = 0.5

# How many times as long as a silent runner stays listed an outdated entry is
# held back. A live runner writes a newer entry in that time, even if the store
# carries out some of its writes late.
OUTDATED_SILENCES = 3

# Removed entries that are remembered: several times those of a large fleet.
MAX_REMOVED = 8_192


class FleetView:
    """Current entries of all runners, updated by snapshots and watch events.

    Attributes:
        revision: Revision of the store that the view reflects.
        generation: Number of changes so far. Results computed from the view
            stay valid as long as it is the same.
        evacuated_revision: Revision of the store at which `evacuated` was read.
        held_back: Runners of which the last snapshot or change held an entry
            that was not taken over, since a known one is newer.
        outdated: Entries in the store that are held back since their runner
            wrote a known one later, by runner.
        silence_seconds: Time after which the entry of a runner that doesn't
            write it is certainly known to be removed.
    """

    __slots__ = (
        "_began_at_seconds",
        "_by_service",
        "_entries",
        "_evacuated",
        "_grace_until_seconds",
        "_last_start_ms",
        "_leaving",
        "_leaving_by_time",
        "_outdated_since_seconds",
        "_removal_due_seconds",
        "_removed",
        "_unconfirmed",
        "_unproven_until_seconds",
        "evacuated_revision",
        "generation",
        "held_back",
        "outdated",
        "revision",
        "silence_seconds",
    )

    def __init__(self, *, silence_seconds: float = 3.0) -> None:
        self._entries: dict[str, RunnerEntry] = {}
        # Cache of the runners of each service, cleared by every change.
        self._by_service: dict[str, list[RunnerEntry]] = {}
        # Runners whose entries expired during an outage of the store, with the
        # monotonic time at which they are removed unless they come back.
        self._removal_due_seconds: dict[str, float] = {}
        self._grace_until_seconds = 0.0
        self._leaving = LeavingRunners()
        # Cache for `leaving_to_report`; None after a change.
        self._leaving_by_time: list[RunnerEntry] | None = None
        # Start time in the last entry that had one, by listed runner.
        self._last_start_ms: dict[str, int] = {}
        # Runners whose entry is from before the last restore of the store.
        self._unconfirmed: set[str] = set()
        # Last entry of each runner that was removed, the oldest removal first.
        self._removed: dict[str, RunnerEntry] = {}
        # Runners whose entry had been removed and is back only since the store
        # was restored, with the monotonic time from which on they count as
        # alive if the store still has it.
        self._unproven_until_seconds: dict[str, float] = {}
        # Monotonic time since which an entry of a runner is held back as
        # outdated, without a newer one.
        self._outdated_since_seconds: dict[str, float] = {}
        self.outdated: dict[str, RunnerEntry] = {}
        self.revision = 0
        self.generation = 0
        self._evacuated: frozenset[str] = frozenset()
        self.evacuated_revision = 0
        self.held_back: list[str] = []
        self._began_at_seconds: float | None = None
        self.silence_seconds = silence_seconds

    def age_seconds(self, now_seconds: float) -> float:
        """Returns for how long the view has followed the store.

        Args:
            now_seconds: Monotonic time.
        """
        if self._began_at_seconds is None:
            return 0.0
        return now_seconds - self._began_at_seconds

    @property
    def outdated_limit_seconds(self) -> float:
        """Returns for how long an outdated entry is held back."""
        return OUTDATED_SILENCES * self.silence_seconds

    @property
    def unproven(self) -> list[str]:
        """Returns runners that are back only since the store was restored."""
        return list(self._unproven_until_seconds)

    @property
    def evacuated(self) -> frozenset[str]:
        """Returns the data centres that are evacuated and get no new work."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, data_centres: frozenset[str]) -> None:
        self._evacuated = data_centres
        self._record_change()

    def __iter__(self) -> Iterator[RunnerEntry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, runner_id: str) -> RunnerEntry | None:
        """Returns the entry of a runner, or None."""
        return self._entries.get(runner_id)

    def runners_of(self, service: str) -> list[RunnerEntry]:
        """Returns the runners of a service.

        The list is cached; callers must not change it.
        """
        runners = self._by_service.get(service)
        if runners is None:
            runners = [
                entry
                for entry in self._entries.values()
                if entry.service == service
            ]
            self._by_service[service] = runners
        return runners

    def accepts_new_work(self, entry: RunnerEntry) -> bool:
        """Returns whether a runner may get new work.

        It may not while it is leaving, its data centre is evacuated, or it is
        back only since the store was restored and may be gone.
        """
        return (
            not entry.is_leaving
            and entry.data_centre not in self.evacuated
            and entry.runner_id not in self._unproven_until_seconds
        )

    def record_leaving(
        self, incarnation: tuple[str, int | None], now_seconds: float
    ) -> bool:
        """Records that a runner announced in an answer that it is leaving.

        Args:
            incarnation: Id and start time of the runner.
            now_seconds: Monotonic time.

        Returns:
            Whether this is the first announcement of this incarnation.
        """
        entry = self._entries.get(incarnation[0])
        is_listed = entry is not None and entry.incarnation == incarnation
        if incarnation[1] is None and not is_listed:
            # It could not be told apart from a later runner with this id.
            return False
        if not self._leaving.record(incarnation, now_seconds):
            return False
        last_start_ms = self._last_start_ms.get(incarnation[0])
        if incarnation[1] is None and last_start_ms is not None:
            # Its entry has lost the start time and may get it back.
            self._leaving.record((incarnation[0], last_start_ms), now_seconds)
        if entry is not None and is_listed:
            entry.announced_leaving = True
            self._record_change()
        return True

    def leaving_to_report(self, limit: int) -> dict[str, int | None]:
        """Returns the runners of whose leaving the store does not tell.

        Only their answers told of it, or the store was restored since their
        entries did.

        Args:
            limit: Number of runners that are returned at most.

        Returns:
            Start time of each runner in milliseconds, by its id; the latest
            announcements if there are more than the limit.
        """
        if self._leaving_by_time is None:
            self._leaving_by_time = self._sort_leaving()
        return {
            entry.runner_id: entry.started_at_ms
            for entry in self._leaving_by_time[:limit]
        }

    def _sort_leaving(self) -> list[RunnerEntry]:
        """Returns the runners for `leaving_to_report`, the latest first."""
        by_time = []
        for entry in self._entries.values():
            is_in_store = (
                entry.draining and entry.runner_id not in self._unconfirmed
            )
            if not entry.is_leaving or is_in_store:
                continue
            since_seconds = self._leaving.since_seconds(entry) or 0.0
            by_time.append((since_seconds, entry.runner_id, entry))
        by_time.sort(reverse=True)
        return [entry for _, _, entry in by_time]

    def last_resort_until_seconds(
        self, entry: RunnerEntry, *, drain_seconds: float
    ) -> float:
        """Returns until when a leaving runner may serve if no other does.

        A runner goes on serving for the drain time after it decided to leave.
        Requests that come later must not be sent to it.

        Args:
            entry: The runner.
            drain_seconds: Drain time of the deployment.

        Returns:
            Monotonic time in seconds; 0 if it must not be used, since its
            entry says that it is draining or its data centre is evacuated.
        """
        if entry.draining or entry.data_centre in self.evacuated:
            return 0.0
        since_seconds = self._leaving.since_seconds(entry)
        return 0.0 if since_seconds is None else since_seconds + drain_seconds

    def start_grace_period(self, now_seconds: float) -> None:
        """Starts the grace period after an outage of the store.

        For `RETURN_GRACE_SECONDS`, removed entries are kept, since their
        runners may write them again. A call within the grace period does not
        extend it.
        """
        if now_seconds >= self._grace_until_seconds:
            self._grace_until_seconds = now_seconds + RETURN_GRACE_SECONDS

    def replace_all(
        self,
        entries: Iterable[RunnerEntry],
        *,
        revision: int,
        now_seconds: float,
        restored: bool = False,
    ) -> bool:
        """Replaces all entries by a snapshot.

        After a restore of the store a snapshot may hold entries from before it
        that are older than the known ones; those are held back until their
        runners write again. Runners that had been removed and are back get no
        new work until they write again, or until the store would have removed
        them. Runners that the snapshot lacks are kept for
        `RETURN_GRACE_SECONDS`, since they may write their entries again.

        Args:
            entries: All runners in the snapshot.
            revision: Revision of the store at which it was read.
            now_seconds: Monotonic time.
            restored: Whether the store was restored from a copy since the
                view's revision.

        Returns:
            Whether it was applied; a snapshot older than the view is ignored.
        """
        if revision < self.revision:
            return False
        if self._began_at_seconds is None:
            self._began_at_seconds = now_seconds
        if restored:
            self._grace_until_seconds = max(
                self._grace_until_seconds, now_seconds + RETURN_GRACE_SECONDS
            )
            # The time of those that were missing before starts again.
            self._removal_due_seconds.clear()
            self._unconfirmed = set(self._entries)
            for runner_id in self._unproven_until_seconds:
                self._unproven_until_seconds[runner_id] = (
                    now_seconds + self.silence_seconds
                )
        fresh = {entry.runner_id: entry for entry in entries}
        self.held_back = []
        for runner_id in [*self._entries, *self.outdated]:
            if runner_id not in fresh:
                self._remove_or_defer(runner_id, now_seconds)
        for entry in fresh.values():
            if self._is_superseded(entry):
                if self._entries[entry.runner_id].is_newer_than(entry):
                    self.held_back.append(entry.runner_id)
                self._removal_due_seconds.pop(entry.runner_id, None)
                continue
            if self._is_outdated(entry, restored=restored):
                self._hold_back(entry, now_seconds)
                continue
            until_seconds = self._unproven_until_seconds.get(entry.runner_id)
            if restored and self._is_past(entry):
                until_seconds = now_seconds + self.silence_seconds
            is_unproven = until_seconds is not None and not (
                self._is_newer_than_known(entry)
            )
            self._put(entry)
            if until_seconds is not None and is_unproven:
                self._unproven_until_seconds[entry.runner_id] = until_seconds
        self.revision = revision
        self._record_change()
        return True

    def apply(
        self,
        changed: Iterable[RunnerEntry],
        *,
        removed: Iterable[str],
        revision: int,
        now_seconds: float,
    ) -> bool:
        """Applies the changes between the view's revision and a newer one.

        An entry that its runner wrote before the known one is held back: the
        store may carry out a write late. See `take_outdated`.

        Args:
            changed: Runners that were added or changed.
            removed: Ids of the runners that were removed.
            revision: Revision of the store after the changes.
            now_seconds: Monotonic time.

        Returns:
            Whether they were applied; older changes are ignored.
        """
        if revision < self.revision:
            return False
        for runner_id in removed:
            self._remove_or_defer(runner_id, now_seconds)
        self.held_back = []
        for entry in changed:
            if self._is_outdated(entry):
                self._hold_back(entry, now_seconds)
                continue
            self._put(entry)
        self.revision = revision
        self._record_change()
        return True

    def take_outdated(self, now_seconds: float) -> list[str]:
        """Takes over held back entries that no newer one has followed.

        A runner that lives writes a newer entry in the meantime, and the store
        removes that of any other. So the known entry was odd, or the clock of
        the runner's VM was set back before the runner started again.

        Returns:
            Ids of the runners whose entries were taken over.
        """
        taken = [
            runner_id
            for runner_id, since in self._outdated_since_seconds.items()
            if now_seconds - since >= self.outdated_limit_seconds
        ]
        for runner_id in taken:
            self._put(self.outdated[runner_id])
        if taken:
            self._record_change()
        return taken

    def remove_expired(self, now_seconds: float) -> list[str]:
        """Removes entries that were not written again in the grace period.

        Returns:
            Ids of the removed runners.
        """
        expired = [
            runner_id
            for runner_id, until in self._removal_due_seconds.items()
            if now_seconds >= until
        ]
        for runner_id in expired:
            del self._removal_due_seconds[runner_id]
            self._remove(runner_id)
        if expired:
            self._record_change()
        return expired

    def admit_proven(self, now_seconds: float) -> list[str]:
        """Admits runners that the store has kept for as long as live ones.

        Returns:
            Ids of the runners that may get new work from now on.
        """
        admitted = [
            runner_id
            for runner_id, until in self._unproven_until_seconds.items()
            if now_seconds >= until
        ]
        for runner_id in admitted:
            del self._unproven_until_seconds[runner_id]
        if admitted:
            self._record_change()
        return admitted

    def _record_change(self) -> None:
        """Raises `generation` and clears the caches, since entries changed."""
        self.generation += 1
        self._by_service.clear()
        self._leaving_by_time = None

    def _is_past(self, entry: RunnerEntry) -> bool:
        """Returns whether an entry may be of a runner that has been removed.

        A higher number alone proves nothing: heartbeats raise it, and the last
        ones before the removal were not reported.
        """
        removed = self._removed.get(entry.runner_id)
        if removed is None:
            return False
        return (
            entry.incarnation == removed.incarnation
            or not entry.is_newer_than(removed)
        )

    def _is_newer_than_known(self, entry: RunnerEntry) -> bool:
        """Returns whether an entry is certainly newer than the one listed."""
        known = self._entries.get(entry.runner_id)
        return known is not None and entry.is_newer_than(known)

    def _is_superseded(self, entry: RunnerEntry) -> bool:
        """Returns whether an entry of a snapshot is held back.

        That is so if the known one is from before a restore of the store and
        the other isn't certainly newer.
        """
        return (
            entry.runner_id in self._unconfirmed
            and not self._is_newer_than_known(entry)
        )

    def _is_outdated(
        self, entry: RunnerEntry, *, restored: bool = False
    ) -> bool:
        """Returns whether its runner certainly wrote a known entry later.

        That is the listed one, or the last one before the runner was removed.
        The latter doesn't count in a restored copy; see `unproven`.

        Args:
            entry: An entry in the store.
            restored: Whether it is from a copy that the store was restored
                from.
        """
        known = self._entries.get(entry.runner_id)
        if known is None and not restored:
            known = self._removed.get(entry.runner_id)
        if known is None:
            return False
        if known.incarnation == entry.incarnation and (
            known.sequence is None or entry.sequence is None
        ):
            return False
        return known.is_newer_than(entry)

    def _hold_back(self, entry: RunnerEntry, now_seconds: float) -> None:
        """Records an outdated entry, which shows that its runner is listed."""
        runner_id = entry.runner_id
        self.held_back.append(runner_id)
        self.outdated[runner_id] = entry
        self._outdated_since_seconds.setdefault(runner_id, now_seconds)
        self._removal_due_seconds.pop(runner_id, None)

    def _forget_outdated(self, runner_id: str) -> None:
        """Forgets the held back entry of a runner, if there is one."""
        self.outdated.pop(runner_id, None)
        self._outdated_since_seconds.pop(runner_id, None)

    def _put(self, entry: RunnerEntry) -> None:
        """Adds or replaces an entry and cancels its pending removal."""
        self._forget_outdated(entry.runner_id)
        self._unconfirmed.discard(entry.runner_id)
        self._unproven_until_seconds.pop(entry.runner_id, None)
        self._removed.pop(entry.runner_id, None)
        self._removal_due_seconds.pop(entry.runner_id, None)
        if entry.started_at_ms is not None:
            self._last_start_ms[entry.runner_id] = entry.started_at_ms
            self._leaving.forget_unknown(entry.runner_id)
        else:
            before = self._entries.get(entry.runner_id)
            if before is not None and before.announced_leaving:
                # Without a start time it may still be the same runner.
                self._leaving.record(
                    entry.incarnation, self._leaving.since_seconds(before) or 0
                )
        entry.announced_leaving = self._leaving.since_seconds(entry) is not None
        self._entries[entry.runner_id] = entry

    def _remove(self, runner_id: str) -> None:
        """Removes an entry."""
        self._unconfirmed.discard(runner_id)
        self._unproven_until_seconds.pop(runner_id, None)
        removed = self._entries.pop(runner_id, None)
        if removed is not None:
            self._removed.pop(runner_id, None)
            self._removed[runner_id] = removed
            while len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]
        self._last_start_ms.pop(runner_id, None)
        self._leaving.forget_unknown(runner_id)

    def _remove_or_defer(self, runner_id: str, now_seconds: float) -> None:
        """Removes an entry now, or at the end of a current grace period.

        One that was back only since a restore of the store is removed now.
        """
        self._forget_outdated(runner_id)
        if runner_id not in self._entries:
            return
        is_unproven = runner_id in self._unproven_until_seconds
        if is_unproven or now_seconds >= self._grace_until_seconds:
            self._removal_due_seconds.pop(runner_id, None)
            self._remove(runner_id)
            return
        self._removal_due_seconds.setdefault(
            runner_id, self._grace_until_seconds
        )
