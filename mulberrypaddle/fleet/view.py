"""The runners of a deployment, as far as one router knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from mulberrypaddle.fleet.runners import RunnerEntry

# Time after the store's return in which entries that lapsed meanwhile come
# back; the platform's letter says about two seconds.
RETURN_GRACE_SECONDS = 2.0


class FleetView:
    """Entries of runners, kept current by lists and changes.

    Attributes:
        revision: Revision of the store that the view stands at.
        generation: Counts the changes; what was drawn from the view holds as
            long as it stays.
        evacuated_revision: Revision at which `evacuated` was read.
    """

    __slots__ = (
        "_by_service",
        "_entries",
        "_evacuated",
        "_grace_until_seconds",
        "_missing",
        "evacuated_revision",
        "generation",
        "revision",
    )

    def __init__(self) -> None:
        self._entries: dict[str, RunnerEntry] = {}
        # Runners of each service, drawn when they are asked for.
        self._by_service: dict[str, list[RunnerEntry]] = {}
        self._missing: dict[str, float] = {}
        self._grace_until_seconds = 0.0
        self.revision = 0
        self.generation = 0
        self._evacuated: frozenset[str] = frozenset()
        self.evacuated_revision = 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Returns the data centres that get no new work."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, data_centres: frozenset[str]) -> None:
        self._evacuated = data_centres
        self._changed()

    def __iter__(self) -> Iterator[RunnerEntry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, runner_id: str) -> RunnerEntry | None:
        """Returns the entry of a runner, or None."""
        return self._entries.get(runner_id)

    def of_service(self, service: str) -> list[RunnerEntry]:
        """Returns the runners of a service; the list is shared."""
        runners = self._by_service.get(service)
        if runners is None:
            runners = [
                entry
                for entry in self._entries.values()
                if entry.service == service
            ]
            self._by_service[service] = runners
        return runners

    def usable(self, entry: RunnerEntry) -> bool:
        """Returns whether a runner may get new work."""
        return not entry.draining and entry.data_centre not in self.evacuated

    def store_returned(self, now_seconds: float) -> None:
        """Keeps lapsed entries for a while, since they may come back.

        Told again within that while, it does not last longer.
        """
        if now_seconds >= self._grace_until_seconds:
            self._grace_until_seconds = now_seconds + RETURN_GRACE_SECONDS

    def replace_all(
        self,
        entries: Iterable[RunnerEntry],
        *,
        revision: int,
        now_seconds: float,
    ) -> bool:
        """Takes a whole list.

        Returns:
            Whether it was taken; a list older than the view is not.
        """
        if revision < self.revision:
            return False
        fresh = {entry.runner_id: entry for entry in entries}
        for runner_id in list(self._entries):
            if runner_id not in fresh:
                self._lose(runner_id, now_seconds)
        for entry in fresh.values():
            self._put(entry)
        self.revision = revision
        self._changed()
        return True

    def apply(
        self,
        changed: Iterable[RunnerEntry],
        *,
        removed: Iterable[str],
        revision: int,
        now_seconds: float,
    ) -> bool:
        """Takes the changes between the view's revision and another one.

        Returns:
            Whether they were taken.
        """
        if revision < self.revision:
            return False
        for runner_id in removed:
            self._lose(runner_id, now_seconds)
        for entry in changed:
            self._put(entry)
        self.revision = revision
        self._changed()
        return True

    def update_one(self, entry: RunnerEntry) -> None:
        """Takes what a runner said when it was asked itself."""
        if entry.runner_id in self._entries:
            self._entries[entry.runner_id] = entry
            self._changed()

    def sweep(self, now_seconds: float) -> list[str]:
        """Drops entries that did not come back in time.

        Returns:
            Ids of the dropped entries.
        """
        late = [
            runner_id
            for runner_id, until in self._missing.items()
            if now_seconds >= until
        ]
        for runner_id in late:
            del self._missing[runner_id]
            self._entries.pop(runner_id, None)
        if late:
            self._changed()
        return late

    def _changed(self) -> None:
        self.generation += 1
        self._by_service.clear()

    def _put(self, entry: RunnerEntry) -> None:
        self._missing.pop(entry.runner_id, None)
        self._entries[entry.runner_id] = entry

    def _lose(self, runner_id: str, now_seconds: float) -> None:
        if runner_id not in self._entries:
            return
        if now_seconds >= self._grace_until_seconds:
            self._missing.pop(runner_id, None)
            del self._entries[runner_id]
            return
        self._missing.setdefault(runner_id, self._grace_until_seconds)
