"""Chooses the runner that a request is sent to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.fleet.runners import MembershipState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from mulberrypaddle.dispatch.cold_rate import ColdRate
    from mulberrypaddle.dispatch.loads import Loads
    from mulberrypaddle.dispatch.soundness import Soundness
    from mulberrypaddle.fleet.config import ServiceSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.fleet.view import FleetView

# Most routers that compare all runners. The counts of the others are some
# tenths of a second old: more routers would all choose the same runner until
# they hear of one another's choices.
MOST_THAT_COMPARE_ALL = 12

# Runners, chosen at random, that a router of many compares.
COMPARED = 2

# Requests that wait at a head, for each slot: counts of other routers are a
# tenth of a second old, in which a head frees about a twentieth of its slots.
HEAD_BACKLOG = 0.35

# Requests that wait at a plain runner, for each slot; it sheds beyond its
# own queue, which is several times its slots.
PLAIN_BACKLOG = 1.0

# The same for a stream that goes on after a break: its caller waits with a part
# in hand, and the head takes it before others.
RESUMED_BACKLOG = 1.0

# Members that count as standing.
_STANDING = frozenset(
    {MembershipState.READY, MembershipState.OPEN, MembershipState.CLOSING}
)


class Demand:
    """What one request needs of a runner.

    Attributes:
        service: Service that it goes to.
        model: Model that it asks for; empty for plain services.
        excluded: Runners that it was sent to before.
        resumed: Whether a part of the answer was made already.
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


class Chooser:
    """Picks the least loaded sound runner."""

    __slots__ = (
        "_cold",
        "_drawn",
        "_drawn_generation",
        "_loads",
        "_random",
        "_soundness",
        "_view",
    )

    def __init__(
        self,
        view: FleetView,
        *,
        loads: Loads,
        soundness: Soundness,
        cold: ColdRate,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._loads = loads
        self._soundness = soundness
        self._cold = cold
        self._random = rng
        # Runners that serve, by service and model, and the generation of the
        # view that they were drawn from.
        self._drawn: dict[tuple[ServiceSpec, str], list[RunnerEntry]] = {}
        self._drawn_generation = -1

    def serving(self, demand: Demand) -> list[RunnerEntry]:
        """Returns the runners that serve, whether loaded or paused or not."""
        if self._drawn_generation != self._view.generation:
            self._drawn_generation = self._view.generation
            self._drawn.clear()
        key = (demand.service, demand.model)
        drawn = self._drawn.get(key)
        if drawn is None:
            drawn = self._draw(demand)
            self._drawn[key] = drawn
        return drawn

    def _draw(self, demand: Demand) -> list[RunnerEntry]:
        entries = self._view.of_service(demand.service.name)
        if demand.service.engine is None:
            return [entry for entry in entries if self._view.usable(entry)]
        spec = demand.service.engine.models.get(demand.model)
        if spec is None:
            return []
        standing = _standing_members(entries)
        heads = []
        for entry in entries:
            group = entry.group
            if group is None or group.state is not MembershipState.OPEN:
                continue
            if demand.model not in entry.models:
                continue
            if standing.get((group.name, group.epoch), 0) < spec.size:
                continue
            if not self._view.usable(entry):
                continue
            heads.append(entry)
        return heads

    def sound(self, demand: Demand, *, now_seconds: float) -> list[RunnerEntry]:
        """Returns the runners that serve and are not left alone.

        Where less than half of those that can be reached answer well, their
        failures are left out of account: then the requests are more likely at
        fault than the runners, and a refusal serves nobody.
        """
        reached = [
            entry
            for entry in self.serving(demand)
            if not self._soundness.silent(entry.runner_id, now_seconds)
        ]
        sound = [
            entry
            for entry in reached
            if not self._soundness.failing(entry.runner_id, now_seconds)
        ]
        return reached if 2 * len(sound) < len(reached) else sound

    def room(self, demand: Demand, *, now_seconds: float) -> int:
        """Returns how many more requests sound runners take now."""
        backlog = _backlog(demand)
        room = 0
        for entry in self.sound(demand, now_seconds=now_seconds):
            if entry.runner_id in demand.excluded:
                continue
            most = math.ceil(_slots(entry) * (1 + backlog))
            room += max(0, most - self._loads.total(entry.runner_id))
        return room

    def pick(
        self, demand: Demand, *, routers: int, now_seconds: float
    ) -> RunnerEntry | None:
        """Returns the runner to send to now, or None if all are full.

        Args:
            demand: What the request needs.
            routers: Routers that may be alive, this one counted.
            now_seconds: Monotonic time.
        """
        backlog = _backlog(demand)
        fitting: list[tuple[float, RunnerEntry]] = []
        for entry in self.sound(demand, now_seconds=now_seconds):
            if entry.runner_id in demand.excluded:
                continue
            load = self._loads.total(entry.runner_id) / _slots(entry)
            if load >= 1 + backlog:
                continue
            if not self._bears(entry, demand.service, routers, now_seconds):
                continue
            fitting.append((load, entry))
        if not fitting:
            return None
        unsuspected = [
            (load, entry)
            for load, entry in fitting
            if not self._soundness.suspected(entry.runner_id, now_seconds)
        ]
        fitting = unsuspected or fitting
        if routers > MOST_THAT_COMPARE_ALL and len(fitting) > COMPARED:
            fitting = self._random.sample(fitting, COMPARED)
        least = min(load for load, _ in fitting)
        return self._random.choice(
            [entry for load, entry in fitting if load == least]
        )

    def sent(self, entry: RunnerEntry, *, now_seconds: float) -> None:
        """Counts a request against what a cold runner bears."""
        if now_seconds < entry.cold_until_seconds:
            self._cold.sent(entry.runner_id, now_seconds)

    def _bears(
        self,
        entry: RunnerEntry,
        service: ServiceSpec,
        routers: int,
        now_seconds: float,
    ) -> bool:
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


def _backlog(demand: Demand) -> float:
    if demand.service.engine is None:
        return PLAIN_BACKLOG
    return RESUMED_BACKLOG if demand.resumed else HEAD_BACKLOG


def _slots(entry: RunnerEntry) -> int:
    return max(1, entry.slots)


def _standing_members(
    entries: Iterable[RunnerEntry],
) -> dict[tuple[str, int], int]:
    """Counts the members that stand, by name and epoch of their group."""
    counts: dict[tuple[str, int], int] = {}
    for entry in entries:
        group = entry.group
        if group is None or group.state not in _STANDING:
            continue
        key = (group.name, group.epoch)
        counts[key] = counts.get(key, 0) + 1
    return counts
