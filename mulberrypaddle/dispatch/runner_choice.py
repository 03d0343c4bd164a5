"""Selects the runner that a request is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.plain_runners import PlainRunners
from mulberrypaddle.fleet.runners import MembershipState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from mulberrypaddle.dispatch.cold_rate import ColdRateLimiter
    from mulberrypaddle.dispatch.idle_connections import IdleConnections
    from mulberrypaddle.dispatch.in_flight import InFlightCounts
    from mulberrypaddle.dispatch.pauses import RunnerPauses
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

# Mean age of the counts of other routers' requests, in small fleets and in
# larger ones, where relays add them up.
COUNT_AGE_SECONDS = 0.1
RELAYED_COUNT_AGE_SECONDS = 0.2

# Requests that may queue at a plain runner, per slot. It sheds load only beyond
# its own queue, which is several times its slots.
PLAIN_BACKLOG_PER_SLOT = 1.0

# Requests that may queue at a head, per slot, when the request resumes an
# interrupted stream: its caller already has a part of the answer, and the head
# serves resumed streams first.
RESUMED_BACKLOG_PER_SLOT = 1.0

# How much higher the load of a runner may be if a connection to it is kept: one
# request more among eight slots hardly delays the answer.
KEPT_CONNECTION_LOAD_MARGIN = 0.13

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
        may_use_kept_connection: Whether it may be sent over a connection of an
            earlier request.
    """

    __slots__ = (
        "excluded",
        "may_use_kept_connection",
        "model",
        "resumed",
        "service",
    )

    def __init__(
        self,
        service: ServiceSpec,
        *,
        model: str = "",
        excluded: frozenset[str] = frozenset(),
        resumed: bool = False,
        may_use_kept_connection: bool = False,
    ) -> None:
        self.may_use_kept_connection = may_use_kept_connection
        self.resumed = resumed
        self.service = service
        self.model = model
        self.excluded = excluded


class RunnerChooser:
    """Selects the least loaded healthy runner of a service and model.

    Attributes:
        drain_seconds: Time for which a leaving runner may be used if no other
            serves.
    """

    __slots__ = (
        "_cold_limiter",
        "_connections",
        "_serving_cache",
        "_cached_generation",
        "_in_flight",
        "_leaving_cache",
        "_pauses",
        "_plain_runners",
        "_random",
        "_runner_health",
        "_view",
        "drain_seconds",
    )

    def __init__(
        self,
        view: FleetView,
        *,
        in_flight: InFlightCounts,
        runner_health: RunnerHealth,
        pauses: RunnerPauses,
        drain_seconds: float,
        cold_limiter: ColdRateLimiter,
        connections: IdleConnections,
        rng: random.Random,
        plain_runners: PlainRunners | None = None,
    ) -> None:
        self._view = view
        self._connections = connections
        self._in_flight = in_flight
        self._runner_health = runner_health
        self._pauses = pauses
        self._plain_runners = plain_runners or PlainRunners()
        self.drain_seconds = drain_seconds
        self._cold_limiter = cold_limiter
        self._random = rng
        # Serving runners, and those that would serve if they had not announced
        # to leave, by service and model, and the generation of the view for
        # which these caches are valid.
        self._serving_cache: dict[
            tuple[ServiceSpec, str], list[RunnerEntry]
        ] = {}
        self._leaving_cache: dict[
            tuple[ServiceSpec, str], list[RunnerEntry]
        ] = {}
        self._cached_generation = -1

    def serving_runners(
        self, requirements: RunnerRequirements
    ) -> list[RunnerEntry]:
        """Returns the runners that serve a model, regardless of load or health.

        For a plain service these are all its runners that accept new work. For
        an engine service, whose models are served by groups of runners, these
        are the heads (members of rank 0, which receive the requests) of the
        groups that are complete and report the state `OPEN`. The list is
        cached until the view changes.
        """
        return self._find_cached(
            self._serving_cache, requirements, self._view.accepts_new_work
        )

    def _find_cached(
        self,
        cache: dict[tuple[ServiceSpec, str], list[RunnerEntry]],
        requirements: RunnerRequirements,
        accepts: Callable[[RunnerEntry], bool],
    ) -> list[RunnerEntry]:
        """Returns the runners that serve a model and are accepted.

        Args:
            cache: Results by service and model, until the view changes.
            requirements: Service and model.
            accepts: Whether a runner may be used, by the view alone.
        """
        if self._cached_generation != self._view.generation:
            self._cached_generation = self._view.generation
            self._serving_cache.clear()
            self._leaving_cache.clear()
        key = (requirements.service, requirements.model)
        runners = cache.get(key)
        if runners is None:
            runners = self._find_serving_runners(requirements, accepts)
            cache[key] = runners
        return runners

    def _usable_runners(
        self, requirements: RunnerRequirements, now_seconds: float
    ) -> list[RunnerEntry]:
        """Returns the runners that requests may be sent to, if healthy.

        If no runner serves the model, these are the ones that announced lately
        in answers that they are leaving. Paused runners are left out.
        """
        runners = self.serving_runners(requirements)
        if not runners:
            runners = [
                entry
                for entry in self._find_cached(
                    self._leaving_cache,
                    requirements,
                    lambda entry: entry.announced_leaving,
                )
                if now_seconds
                < self._view.last_resort_until_seconds(
                    entry, drain_seconds=self.drain_seconds
                )
            ]
        if self._pauses.is_empty:
            return runners
        return [
            entry
            for entry in runners
            if not self._pauses.is_paused(entry.incarnation, now_seconds)
        ]

    def pause_left_seconds(
        self, requirements: RunnerRequirements, *, now_seconds: float
    ) -> float | None:
        """Returns the time until the first of the paused runners is usable.

        None if a healthy runner serves the model, or if none is paused.
        """
        if self._pauses.is_empty or self.healthy_runners(
            requirements, now_seconds=now_seconds
        ):
            return None
        ends_seconds = [
            self._pauses.ends_at_seconds(entry.incarnation)
            for entry in self.serving_runners(requirements)
        ]
        paused = [end for end in ends_seconds if end > now_seconds]
        return min(paused) - now_seconds if paused else None

    def _find_serving_runners(
        self,
        requirements: RunnerRequirements,
        accepts: Callable[[RunnerEntry], bool],
    ) -> list[RunnerEntry]:
        """Computes the list that `_find_cached` returns and caches.

        Args:
            requirements: Service and model.
            accepts: Whether a runner may be used.
        """
        entries = self._view.runners_of(requirements.service.name)
        if requirements.service.engine is None:
            return [entry for entry in entries if accepts(entry)]
        spec = requirements.service.engine.models.get(requirements.model)
        if spec is None:
            return []
        member_counts = _count_serving_members(entries)
        heads = []
        for entry in entries:
            group = entry.group
            if group is None or group.state is not MembershipState.OPEN:
                continue
            if requirements.model not in entry.models:
                continue
            if member_counts.get((group.name, group.epoch), 0) < spec.size:
                continue
            if not accepts(entry):
                continue
            heads.append(entry)
        return heads

    def healthy_runners(
        self, requirements: RunnerRequirements, *, now_seconds: float
    ) -> list[RunnerEntry]:
        """Returns the usable runners that are reachable and not ejected.

        Usable are those that serve and have not asked for a pause; see
        `_usable_runners`.

        If fewer than half of the reachable runners are healthy, ejections are
        ignored: the requests are then more likely at fault than the runners,
        and refusing them helps nobody.
        """
        reachable = [
            entry
            for entry in self._usable_runners(requirements, now_seconds)
            if not self._runner_health.is_unreachable(
                entry.runner_id, now_seconds
            )
        ]
        healthy_runners = [
            entry
            for entry in reachable
            if not self._runner_health.is_ejected(entry.runner_id, now_seconds)
        ]
        return (
            reachable
            if 2 * len(healthy_runners) < len(reachable)
            else healthy_runners
        )

    def free_capacity(
        self,
        requirements: RunnerRequirements,
        *,
        routers: int,
        now_seconds: float,
    ) -> int:
        """Returns how many more requests the healthy runners can accept.

        This includes the requests that may queue at them beyond their slots.

        Args:
            requirements: Requirements of the requests.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.
        """
        backlog_per_slot = _backlog_per_slot(requirements, routers)
        free_capacity = 0
        for entry in self.healthy_runners(
            requirements, now_seconds=now_seconds
        ):
            if entry.runner_id in requirements.excluded:
                continue
            max_requests = math.ceil(
                _slot_count(entry) * (1 + backlog_per_slot)
            )
            free_capacity += max(
                0, max_requests - self._in_flight.total(entry.runner_id)
            )
        return free_capacity

    def pick(
        self,
        requirements: RunnerRequirements,
        *,
        routers: int,
        now_seconds: float,
    ) -> RunnerEntry | None:
        """Returns the least loaded healthy runner, or None if all are full.

        Suspected runners are only chosen if there is no other, and plain ones
        that are much slower than others as `PlainRunners` says. A runner with a
        kept connection may be a little more loaded than the others. Ties are
        broken at random.

        Args:
            requirements: Requirements of the request.
            routers: Number of routers that may be alive, including this one.
            now_seconds: Monotonic time.
        """
        backlog_per_slot = _backlog_per_slot(requirements, routers)
        candidates: list[tuple[float, RunnerEntry]] = []
        for entry in self.healthy_runners(
            requirements, now_seconds=now_seconds
        ):
            if entry.runner_id in requirements.excluded:
                continue
            load = self._in_flight.total(entry.runner_id) / _slot_count(entry)
            if load >= 1 + backlog_per_slot:
                continue
            if not self._cold_rate_allows(
                entry, requirements.service, routers, now_seconds
            ):
                continue
            candidates.append((load, entry))
        if not candidates:
            return None
        unsuspected = [
            (load, entry)
            for load, entry in candidates
            if not self._runner_health.is_suspected(
                entry.runner_id, now_seconds
            )
        ]
        candidates = unsuspected or candidates
        service = requirements.service
        if service.engine is None and self._plain_runners.are_uneven(
            service.name, self._view.runners_of(service.name), now_seconds
        ):
            candidates = self._plain_runners.narrow(
                candidates,
                compares_all=routers <= MAX_ROUTERS_COMPARING_ALL,
                now_seconds=now_seconds,
            )
        kept = []
        if requirements.may_use_kept_connection:
            kept = [
                (load, entry)
                for load, entry in candidates
                if self._connections.has_usable(entry.address, now_seconds)
            ]
        if (
            routers > MAX_ROUTERS_COMPARING_ALL
            and len(candidates) > SAMPLE_SIZE
        ):
            candidates = self._random.sample(candidates, SAMPLE_SIZE)
        lowest_load = min(load for load, _ in candidates)
        if kept:
            load, entry = min(kept, key=lambda candidate: candidate[0])
            if load < min(1.0, lowest_load + KEPT_CONNECTION_LOAD_MARGIN):
                return entry
        return self._random.choice(
            [entry for load, entry in candidates if load == lowest_load]
        )

    def record_sent(self, entry: RunnerEntry, *, now_seconds: float) -> None:
        """Counts a sent request against the rate limit of a cold runner.

        Does nothing if the runner is not cold.
        """
        if now_seconds < entry.cold_until_seconds:
            self._cold_limiter.record_sent(entry.runner_id, now_seconds)

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
        return self._cold_limiter.allows(
            entry.runner_id,
            requests_per_second=rate,
            routers=routers,
            now_seconds=now_seconds,
        )


def _backlog_per_slot(requirements: RunnerRequirements, routers: int) -> float:
    """Returns how many requests may queue at a runner for each of its slots.

    A head may queue as many as it frees slots while the counts of its requests
    are on their way: with fewer, slots would stay unused; more would wait there
    though another head may free a slot earlier.

    Args:
        requirements: Requirements of the requests.
        routers: Number of routers that may be alive, including this one.
    """
    engine = requirements.service.engine
    if engine is None:
        return PLAIN_BACKLOG_PER_SLOT
    if requirements.resumed:
        return RESUMED_BACKLOG_PER_SLOT
    spec = engine.models.get(requirements.model)
    if spec is None:
        return 0.0
    return min(
        RESUMED_BACKLOG_PER_SLOT,
        count_age_seconds(routers) / max(0.001, engine.busy_seconds(spec)),
    )


def count_age_seconds(routers: int) -> float:
    """Returns the mean age of the counts of other routers' requests.

    Args:
        routers: Number of routers that may be alive, including this one.
    """
    if routers <= MAX_ROUTERS_COMPARING_ALL:
        return COUNT_AGE_SECONDS
    return RELAYED_COUNT_AGE_SECONDS


def _slot_count(entry: RunnerEntry) -> int:
    """Returns how many requests a runner serves at once, at least 1."""
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
