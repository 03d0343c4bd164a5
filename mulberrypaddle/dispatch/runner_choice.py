"""Selects the runner that a request is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from mulberrypaddle.dispatch.cold_rate import ColdRateLimiter
    from mulberrypaddle.dispatch.in_flight import InFlightCounts
    from mulberrypaddle.dispatch.runner_health import RunnerHealth
    from mulberrypaddle.fleet.config import ServiceSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.fleet.view import FleetView

# Up to this many routers, each compares all runners. The load counts of other
# routers are some tenths of a second old: in larger fleets, all routers would
# choose the same runner until they have received one another's counts.
MAX_ROUTERS_COMPARING_ALL = 12

# Runners that a router of a larger fleet compares, sampled at random ("power of
# two choices").
SAMPLE_SIZE = 2

# Requests that may queue at the head of a group, per slot. The counts of other
# routers are a tenth of a second old, in which time a head frees about a
# twentieth of its slots.
HEAD_BACKLOG_PER_SLOT = 0.35

# Requests that may queue at a plain runner, per slot. It sheds load only beyond
# its own queue, which is several times its slots.
PLAIN_BACKLOG_PER_SLOT = 1.0

# Requests that may queue at a head, per slot, when the request resumes an
# interrupted stream: its caller already has a part of the answer, and the head
# serves resumed streams first.
RESUMED_BACKLOG_PER_SLOT = 1.0

# States in which a member counts towards a complete group.
_SERVING_STATES = frozenset(
    {MembershipState.READY, MembershipState.OPEN, MembershipState.CLOSING}
)


class RunnerRequirements:
    """Requirements of one request on the runner that serves it.

    Attributes:
        service: Service that the request is routed to.
        model: Name of the requested model; empty for plain services.
        excluded: Ids of the runners that earlier attempts were sent to.
        resumed: Whether an earlier attempt may have produced a part of the
            answer.
    """

    __slots__ = ("excluded", "model", "resumed", "service")

    def __init__(
        self,
        service: ServiceSpec,
        *,
        model: str = "",
        excluded: frozenset[str] = frozenset(),
        resumed: bool = False,
    ) -> None:
        self.resumed = resumed
        self.service = service
        self.model = model
        self.excluded = excluded


class RunnerChooser:
    """Selects the least loaded healthy runner of a service and model."""

    __slots__ = (
        "_cold",
        "_serving_cache",
        "_cached_generation",
        "_loads",
        "_random",
        "_soundness",
        "_view",
    )

    def __init__(
        self,
        view: FleetView,
        *,
        loads: InFlightCounts,
        runner_health: RunnerHealth,
        cold: ColdRateLimiter,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._soundness = runner_health
        self._cold = cold
        self._random = rng
        # Serving runners by service and model, and the generation of the view
        # for which this cache is valid.
        self._serving_cache: dict[
            tuple[ServiceSpec, str], list[RunnerEntry]
        ] = {}
        self._cached_generation = -1

    def serving_runners(self, demand: RunnerRequirements) -> list[RunnerEntry]:
        """Returns the runners that serve a model, regardless of load or health.

        For an engine service these are the heads of its complete, open groups.
        The list is cached until the view changes.
        """
        if self._cached_generation != self._view.generation:
            self._cached_generation = self._view.generation
            self._serving_cache.clear()
        key = (demand.service, demand.model)
        runners = self._serving_cache.get(key)
        if runners is None:
            runners = self._find_serving_runners(demand)
            self._serving_cache[key] = runners
        return runners

    def _find_serving_runners(
        self, demand: RunnerRequirements
    ) -> list[RunnerEntry]:
        """Computes the list that `serving_runners` caches."""
        entries = self._view.runners_of(demand.service.name)
        if demand.service.engine is None:
            return [
                entry for entry in entries if self._view.accepts_new_work(entry)
            ]
        spec = demand.service.engine.models.get(demand.model)
        if spec is None:
            return []
        member_counts = _count_serving_members(entries)
        heads = []
        for entry in entries:
            group = entry.group
            if group is None or group.state is not MembershipState.OPEN:
                continue
            if demand.model not in entry.models:
                continue
            if member_counts.get((group.name, group.epoch), 0) < spec.size:
                continue
            if not self._view.accepts_new_work(entry):
                continue
            heads.append(entry)
        return heads

    def healthy_runners(
        self, demand: RunnerRequirements, *, now_seconds: float
    ) -> list[RunnerEntry]:
        """Returns the serving runners that are reachable and not ejected.

        If fewer than half of the reachable runners are healthy, ejections are
        ignored: the requests are then more likely at fault than the runners,
        and refusing them helps nobody.
        """
        reachable = [
            entry
            for entry in self.serving_runners(demand)
            if not self._soundness.silent(entry.runner_id, now_seconds)
        ]
        healthy_runners = [
            entry
            for entry in reachable
            if not self._soundness.failing(entry.runner_id, now_seconds)
        ]
        return (
            reachable
            if 2 * len(healthy_runners) < len(reachable)
            else healthy_runners
        )

    def free_capacity(
        self, demand: RunnerRequirements, *, now_seconds: float
    ) -> int:
        """Returns how many more requests the healthy runners can accept.

        Counts their free slots and the free places in their queues.
        """
        backlog_per_slot = _backlog_per_slot(demand)
        free_capacity = 0
        for entry in self.healthy_runners(demand, now_seconds=now_seconds):
            if entry.runner_id in demand.excluded:
                continue
            max_requests = math.ceil(
                _slot_count(entry) * (1 + backlog_per_slot)
            )
            free_capacity += max(
                0, max_requests - self._loads.total(entry.runner_id)
            )
        return free_capacity

    def pick(
        self, demand: RunnerRequirements, *, routers: int, now_seconds: float
    ) -> RunnerEntry | None:
        """Returns the least loaded healthy runner, or None if all are full.

        Suspected runners are only chosen if there is no other. Ties are broken
        at random.

        Args:
            demand: Requirements of the request.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.
        """
        backlog_per_slot = _backlog_per_slot(demand)
        candidates: list[tuple[float, RunnerEntry]] = []
        for entry in self.healthy_runners(demand, now_seconds=now_seconds):
            if entry.runner_id in demand.excluded:
                continue
            load = self._loads.total(entry.runner_id) / _slot_count(entry)
            if load >= 1 + backlog_per_slot:
                continue
            if not self._cold_rate_allows(
                entry, demand.service, routers, now_seconds
            ):
                continue
            candidates.append((load, entry))
        if not candidates:
            return None
        unsuspected = [
            (load, entry)
            for load, entry in candidates
            if not self._soundness.is_suspected(entry.runner_id, now_seconds)
        ]
        candidates = unsuspected or candidates
        if (
            routers > MAX_ROUTERS_COMPARING_ALL
            and len(candidates) > SAMPLE_SIZE
        ):
            candidates = self._random.sample(candidates, SAMPLE_SIZE)
        lowest_load = min(load for load, _ in candidates)
        return self._random.choice(
            [entry for load, entry in candidates if load == lowest_load]
        )

    def record_sent(self, entry: RunnerEntry, *, now_seconds: float) -> None:
        """Counts a sent request against the rate limit of a cold runner.

        Does nothing if the runner is not cold.
        """
        if now_seconds < entry.cold_until_seconds:
            self._cold.record_sent(entry.runner_id, now_seconds)

    def _cold_rate_allows(
        self,
        entry: RunnerEntry,
        service: ServiceSpec,
        routers: int,
        now_seconds: float,
    ) -> bool:
        """Returns whether a runner is warm or within its cold rate limit."""
        if now_seconds >= entry.cold_until_seconds:
            return True
        rate = service.cold_requests_per_second
        if rate <= 0:
            return True
        return self._cold.allows(
            entry.runner_id,
            requests_per_second=rate,
            routers=routers,
            now_seconds=now_seconds,
        )


def _backlog_per_slot(demand: RunnerRequirements) -> float:
    """Returns how many requests may queue at a runner for each of its slots."""
    if demand.service.engine is None:
        return PLAIN_BACKLOG_PER_SLOT
    return RESUMED_BACKLOG_PER_SLOT if demand.resumed else HEAD_BACKLOG_PER_SLOT


def _slot_count(entry: RunnerEntry) -> int:
    """Returns the slots of a runner, at least 1."""
    return max(1, entry.slots)


def _count_serving_members(
    entries: Iterable[RunnerEntry],
) -> dict[tuple[str, int], int]:
    """Counts the ready, open and closing members of each group.

    Returns:
        Member counts by name and epoch of the group.
    """
    counts: dict[tuple[str, int], int] = {}
    for entry in entries:
        group = entry.group
        if group is None or group.state not in _SERVING_STATES:
            continue
        key = (group.name, group.epoch)
        counts[key] = counts.get(key, 0) + 1
    return counts
