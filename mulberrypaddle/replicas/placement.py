"""Chooses which groups to form, of which runners.

Answers the steady loss of runners, once traffic has come. `first_layout`
chooses before it, `staging` what free runners hold.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry

# Load of a model's groups above which runners that hold its weights form one
# more. They cost nothing meanwhile, and more groups lose fewer streams with
# one; below it they are left alone as spares.
MIN_UTILISATION_TO_FORM = 0.2

# Free runners of a domain that are kept for each model of large groups there:
# the commonest trouble takes two runners of a domain.
SPARES_PER_DOMAIN = 2


class ModelDemand:
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

    def utilisation(
        self, slots_per_group: int, *, extra_groups: int = 0
    ) -> float:
        """Returns wanted slots for each slot; infinite without a group."""
        available_slots = (self.groups + extra_groups) * slots_per_group
        if available_slots <= 0:
            return math.inf if self.wanted_slots > 0 else 0.0
        return self.wanted_slots / available_slots


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


def runners_by_domain(
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
    traits: EngineTraits,
    demands: list[ModelDemand],
    max_formations: int,
) -> list[Formation]:
    """Chooses groups of free runners that hold the weights.

    Others get weights by `staging` first: runners that wait in a formation for
    the load of one of them could not be used for a sooner one.

    Args:
        free: Runners in no group.
        traits: Traits of the service.
        loads: Demand by model; counts of groups are raised with each choice.
        most: Groups to choose at most.
    """
    domains = runners_by_domain(free)
    chosen: list[Formation] = []
    while len(chosen) < max_formations:
        best: tuple[tuple[str, str], ModelDemand] | None = None
        best_score = 0.0
        for key, runners in domains.items():
            for demand in demands:
                if demand.utilisation(traits.slots) < MIN_UTILISATION_TO_FORM:
                    continue
                name = demand.spec.name
                staged = sum(name in runner.staged for runner in runners)
                if staged < demand.spec.size:
                    continue
                # Full domains first, so that spares stay spread.
                score = _formation_priority(demand, traits) * (
                    1 + staged / 1000
                )
                if score > best_score:
                    best, best_score = (key, demand), score
        if best is None:
            break
        key, demand = best
        formation = pick_members(domains[key], demand.spec)
        chosen.append(formation)
        demand.groups += 1
        domains[key] = [
            runner for runner in domains[key] if runner not in formation.members
        ]
    return chosen


def pick_members(runners: list[RunnerEntry], spec: ModelSpec) -> Formation:
    """Picks the runners that join soonest: staged, then empty, then others."""

    def cost(runner: RunnerEntry) -> tuple[int, str]:
        if spec.name in runner.staged:
            return (0, runner.runner_id)
        if not runner.staged:
            return (1, runner.runner_id)
        return (2, runner.runner_id)

    return Formation(spec, sorted(runners, key=cost)[: spec.size])


def _formation_priority(demand: ModelDemand, traits: EngineTraits) -> float:
    """Returns how much one more group of a model is wanted."""
    priority = demand.utilisation(traits.slots)
    if math.isinf(priority):
        priority = 10.0 + demand.wanted_slots
    # A group of few runners serves the same slots for less.
    return priority / math.sqrt(demand.spec.size)


def shares_as_slots(traits: EngineTraits) -> dict[str, float]:
    """Returns slots in proportion to the demand that is expected.

    A model's share is a share of the work of runners: a group of more
    runners does the same work with fewer slots.
    """
    return {
        spec.name: spec.demand_share / spec.size
        for spec in traits.models.values()
    }
