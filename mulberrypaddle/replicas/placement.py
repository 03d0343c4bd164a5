"""Chooses which groups to form, of which runners.

Answers the steady loss of runners: those that come new hold no weights, and a
load takes many times as long as a join of a runner that holds them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry

# Load of a model's groups above which one more is formed. Members that hold
# the weights cost nothing; for others it has to be worth a load.
FORM_ABOVE_LOAD = 0.5
FORM_BY_LOADING_ABOVE_LOAD = 0.75

# How many times higher the load of a model must be than that of another one
# before a free runner gives the weights of the other up for it. What was given
# up costs a load of ten seconds and more to have again.
RESTAGE_LOAD_RATIO = 1.5

# Time over which a later start halves the worth of a group: about the time
# until the next loss.
WORTH_SECONDS = 6.0

# Part of a domain that is kept free at the first start, to repair with.
SPARE_PART = 0.15


class ModelLoad:
    """Demand for a model against the slots that serve it.

    Attributes:
        spec: The model.
        wanted_slots: Slots that its requests keep busy.
        groups: Groups that serve it or are being formed.
    """

    __slots__ = ("groups", "spec", "wanted_slots")

    def __init__(
        self, spec: ModelSpec, *, wanted_slots: float, groups: int
    ) -> None:
        self.spec = spec
        self.wanted_slots = wanted_slots
        self.groups = groups

    def load(self, slots: int, *, extra_groups: int = 0) -> float:
        """Returns wanted slots for each slot; infinite without a group."""
        have = (self.groups + extra_groups) * slots
        if have <= 0:
            return math.inf if self.wanted_slots > 0 else 0.0
        return self.wanted_slots / have


class Formation:
    """A group that is to be formed.

    Attributes:
        spec: Model that it will serve.
        members: Its runners, the head first.
    """

    __slots__ = ("members", "spec")

    def __init__(self, spec: ModelSpec, members: list[RunnerEntry]) -> None:
        self.spec = spec
        self.members = members

    @property
    def unstaged(self) -> list[RunnerEntry]:
        """Returns the members whose hosts don't hold the weights."""
        return [
            member
            for member in self.members
            if self.spec.name not in member.staged
        ]


def by_domain(
    runners: list[RunnerEntry],
) -> dict[tuple[str, str], list[RunnerEntry]]:
    """Returns runners by data centre and fabric domain."""
    domains: dict[tuple[str, str], list[RunnerEntry]] = {}
    for runner in runners:
        key = (runner.data_centre, runner.domain)
        domains.setdefault(key, []).append(runner)
    return domains


def choose_formations(
    free: list[RunnerEntry],
    *,
    domain_sizes: dict[tuple[str, str], int],
    traits: EngineTraits,
    loads: list[ModelLoad],
    first_start: bool,
    most: int,
) -> list[Formation]:
    """Chooses groups for free runners, the most useful first.

    Args:
        free: Runners in no group.
        domain_sizes: Runners of each domain, in groups or not.
        traits: Traits of the service.
        loads: Demand by model; counts of groups are raised with each choice.
        first_start: Whether no traffic has come yet; loads are quick then,
            and a part of each domain is kept free.
        most: Groups to choose at most.
    """
    domains = by_domain(free)
    chosen: list[Formation] = []
    if first_start:
        chosen = _choose_by_share(domains, domain_sizes, traits, loads)
    while len(chosen) < most:
        best: Formation | None = None
        best_score = 0.0
        best_load: ModelLoad | None = None
        for key, runners in domains.items():
            reserve = 0
            if first_start:
                reserve = _reserve(domain_sizes.get(key, 0))
            for load in loads:
                if len(runners) - reserve < load.spec.size:
                    continue
                pressure = load.load(traits.slots)
                if not first_start and pressure < FORM_ABOVE_LOAD:
                    continue
                formation = _pick_members(runners, load)
                if not first_start and not _gives_up_less(
                    formation, load, loads, traits
                ):
                    continue
                if (
                    formation.unstaged
                    and not first_start
                    and pressure < FORM_BY_LOADING_ABOVE_LOAD
                ):
                    continue
                score = _score(formation, load, traits, first_start)
                # Full domains first, so that spares stay spread.
                score *= 1 + len(runners) / 1000
                if score > best_score:
                    best, best_score, best_load = formation, score, load
        if best is None or best_load is None:
            break
        chosen.append(best)
        best_load.groups += 1
        _take(domains, best)
    return chosen


def _reserve(domain_size: int) -> int:
    """Returns the runners of a domain that are kept free at the start."""
    return round(domain_size * SPARE_PART)


def _take(
    domains: dict[tuple[str, str], list[RunnerEntry]], formation: Formation
) -> None:
    """Takes the members of a formation out of the free runners."""
    taken = {member.runner_id for member in formation.members}
    for key, runners in domains.items():
        domains[key] = [
            runner for runner in runners if runner.runner_id not in taken
        ]


def _choose_by_share(
    domains: dict[tuple[str, str], list[RunnerEntry]],
    domain_sizes: dict[tuple[str, str], int],
    traits: EngineTraits,
    loads: list[ModelLoad],
) -> list[Formation]:
    """Gives each model its share of the runners, large groups first.

    Small groups fit anywhere; formed first they would leave no domain with
    room for a large one.
    """
    chosen: list[Formation] = []
    usable = sum(
        max(0, len(runners) - _reserve(domain_sizes.get(key, 0)))
        for key, runners in domains.items()
    )
    for load in sorted(loads, key=lambda load: -load.spec.size):
        spec = load.spec
        quota = round(usable * spec.demand_share / spec.size) - load.groups
        for _ in range(quota):
            key = max(domains, key=lambda key: len(domains[key]))
            reserve = _reserve(domain_sizes.get(key, 0))
            if len(domains[key]) - reserve < spec.size:
                break
            formation = _pick_members(domains[key], load)
            chosen.append(formation)
            load.groups += 1
            _take(domains, formation)
    return chosen


def _pick_members(runners: list[RunnerEntry], load: ModelLoad) -> Formation:
    """Picks the runners that join soonest: staged, then empty, then others."""
    name = load.spec.name

    def cost(runner: RunnerEntry) -> tuple[int, str]:
        if name in runner.staged:
            return (0, runner.runner_id)
        if not runner.staged:
            return (1, runner.runner_id)
        return (2, runner.runner_id)

    return Formation(load.spec, sorted(runners, key=cost)[: load.spec.size])


def _gives_up_less(
    formation: Formation,
    load: ModelLoad,
    loads: list[ModelLoad],
    traits: EngineTraits,
) -> bool:
    """Returns whether the weights that members give up are wanted less."""
    own = load.load(traits.slots)
    for member in formation.unstaged:
        for other in loads:
            if other.spec.name not in member.staged:
                continue
            if own < RESTAGE_LOAD_RATIO * other.load(traits.slots):
                return False
    return True


def _score(
    formation: Formation,
    load: ModelLoad,
    traits: EngineTraits,
    first_start: bool,
) -> float:
    seconds = load.spec.warm_seconds
    if formation.unstaged and not first_start:
        seconds = load.spec.load_seconds
    pressure = load.load(traits.slots)
    if math.isinf(pressure):
        pressure = 10.0 + load.wanted_slots
    # A group of few runners serves the same slots for less.
    worth = pressure / math.sqrt(load.spec.size)
    if first_start:
        worth = pressure
    return worth / (1 + seconds / WORTH_SECONDS)


def shares_as_slots(traits: EngineTraits) -> dict[str, float]:
    """Returns slots in proportion to the demand that is expected.

    A model's share is a share of the work of runners: a group of more
    runners does the same work with fewer slots.
    """
    return {
        spec.name: spec.demand_share / spec.size
        for spec in traits.models.values()
    }


def choose_staging(
    free: list[RunnerEntry],
    *,
    service_runners: list[RunnerEntry],
    traits: EngineTraits,
    loads: list[ModelLoad],
) -> list[tuple[RunnerEntry, str]]:
    """Chooses the weights that empty free runners load, to repair with.

    Args:
        free: Runners in no group and with no order under way.
        service_runners: All runners of the service.
        traits: Traits of the service.
        loads: Demand by model.
    """
    chosen: list[tuple[RunnerEntry, str]] = []
    free_ids = {runner.runner_id for runner in free}
    domains = by_domain(service_runners)
    spares = {load.spec.name: 0 for load in loads}
    for runner in free:
        for name in runner.staged:
            if name in spares:
                spares[name] += 1
    for key, runners in by_domain(free).items():
        held = _held_in(domains.get(key, []), free_ids, spares)
        local = dict.fromkeys(spares, 0)
        for runner in runners:
            for name in runner.staged:
                if name in local:
                    local[name] += 1
        for runner in runners:
            if runner.staged:
                continue
            best = max(
                loads,
                key=lambda load: _staging_score(
                    load,
                    traits,
                    spares=spares[load.spec.name],
                    held=held[load.spec.name],
                    local_spares=local[load.spec.name],
                ),
            ).spec.name
            chosen.append((runner, best))
            spares[best] += 1
            local[best] += 1
    return chosen


def _held_in(
    runners: list[RunnerEntry], free_ids: set[str], names: dict[str, int]
) -> dict[str, int]:
    """Counts the runners of a domain that serve each model."""
    held = dict.fromkeys(names, 0)
    for runner in runners:
        if runner.runner_id in free_ids:
            continue
        for name in runner.staged:
            if name in held:
                held[name] += 1
    return held


def _staging_score(
    load: ModelLoad,
    traits: EngineTraits,
    *,
    spares: int,
    held: int,
    local_spares: int,
) -> float:
    """Returns how useful one more spare of a model is.

    Spares help where members may be lost, and the more, the higher the load
    of the model and the fewer spares there are.
    """
    pressure = load.load(traits.slots, extra_groups=spares // load.spec.size)
    if math.isinf(pressure):
        pressure = 10.0 + load.wanted_slots
    return pressure * (1 + held) / (1 + local_spares)
