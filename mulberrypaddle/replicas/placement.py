"""Chooses which groups to form from which runners, once traffic has started.

It replaces the groups that the steady loss of runners takes away. Before any
traffic, `first_layout` chooses the groups; `staging` chooses which weights free
runners load.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry

# Utilisation of a model's groups above which free runners with its weights form
# another group. The runners would otherwise be idle, and the more groups share
# the streams, the fewer are lost with one group. Below it they stay spares.
MIN_UTILISATION_TO_FORM = 0.2

# Free runners that a domain reserves as spares for a model with large groups
# there: the most common failure takes two runners of a domain.
SPARES_PER_DOMAIN = 2


class ModelDemand:
    """Demand for a model and the number of groups that serve it.

    Attributes:
        spec: The model.
        wanted_slots: Slots that its requests keep busy.
        groups: Number of existing groups that serve it, plus those that are
            being formed.
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
        """Returns the ratio of the wanted slots to the slots of the groups.

        Infinite if there is demand but no group.

        Args:
            slots_per_group: Requests that one group serves at once.
            extra_groups: Groups to count in addition to `groups`.
        """
        available_slots = (self.groups + extra_groups) * slots_per_group
        if available_slots <= 0:
            return math.inf if self.wanted_slots > 0 else 0.0
        return self.wanted_slots / available_slots


class Formation:
    """A planned group: a model and the runners chosen to serve it.

    Attributes:
        spec: Model that it will serve.
        members: Its runners, sorted by rank, the head first.
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
    """Groups the runners by data centre and fabric domain."""
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
    """Chooses new groups, made of free runners that already hold the weights.

    Runners without the weights are left to `staging`: if a group had to wait
    until one member has loaded them, its other members could not join a group
    that is ready earlier.

    Args:
        free: Runners in no group.
        traits: Traits of the service.
        demands: Demand for each model. `groups` is incremented with each
            chosen group.
        max_formations: Maximum number of groups to choose.

    Returns:
        The groups to form, in order of priority.
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
                # Prefers domains with many such runners, so that spares stay
                # spread over the domains.
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
    """Picks the runners that can join a group of a model soonest.

    Runners that hold its weights come first, then those without any weights,
    then those with other weights. Ties are broken by how late the platform
    takes a runner away, then by runner id.
    """

    def join_cost(runner: RunnerEntry) -> tuple[int, int, str]:
        """Returns a sort key; the runner that can join soonest is first."""
        if spec.name in runner.staged:
            return (0, runner.retention_rank, runner.runner_id)
        if not runner.staged:
            return (1, runner.retention_rank, runner.runner_id)
        return (2, runner.retention_rank, runner.runner_id)

    return Formation(spec, sorted(runners, key=join_cost)[: spec.size])


def _formation_priority(demand: ModelDemand, traits: EngineTraits) -> float:
    """Returns the priority of forming one more group; the highest is first."""
    priority = demand.utilisation(traits.slots)
    if math.isinf(priority):
        priority = 10.0 + demand.wanted_slots
    # A small group provides as many slots with fewer runners.
    return priority / math.sqrt(demand.spec.size)


def relative_slots_by_model(traits: EngineTraits) -> dict[str, float]:
    """Returns each model's expected demand as relative numbers of slots.

    A model's demand share is its share of all runners. A group has the same
    number of slots whatever its size, so the share is divided by the size.
    """
    return {
        spec.name: spec.demand_share / spec.size
        for spec in traits.models.values()
    }
