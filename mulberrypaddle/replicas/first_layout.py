"""Chooses the groups of the first start, before any traffic.

Each domain is given to one model as far as the shares allow. Survivors of a
loss and spares are then of one kind and can form a group again; weights that
nobody near them shares are of no use until a load of many seconds. Each model
is spread over the data centres, so that the loss of one takes a part of each.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import (
    SPARES_PER_DOMAIN,
    Formation,
    pick_members,
    runners_by_domain,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.replicas.placement import ModelDemand

# Part of the runners that counts as free to repair with when the large models
# get their shares: two of a domain of ten runners.
SPARE_FRACTION = 0.15


class _DomainPlan:
    """A fabric domain while groups are chosen.

    Attributes:
        free: Runners in no group yet.
        members: Runners in groups, by model.
    """

    __slots__ = ("data_centre", "free", "members")

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.free: list[RunnerEntry] = []
        self.members: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Returns its runners, in groups or not."""
        return len(self.free) + sum(self.members.values())

    def hosts_other_models(self, model: str) -> bool:
        """Returns whether it holds groups of another model."""
        return any(name != model for name in self.members)


def choose_first_groups(
    free: list[RunnerEntry],
    *,
    formed: list[tuple[ModelSpec, RunnerEntry]],
    traits: EngineTraits,
    demands: list[ModelDemand],
) -> list[Formation]:
    """Gives each model its share of the runners, large groups first.

    Args:
        free: Runners in no group.
        formed: Models and members of the groups that stand or are formed.
        traits: Traits of the service.
        loads: Demand by model; counts of groups are raised with each choice.
    """
    by_key: dict[tuple[str, str], _DomainPlan] = {}
    for key, runners in runners_by_domain(free).items():
        by_key.setdefault(key, _DomainPlan(key[0])).free = runners
    for spec, member in formed:
        key = (member.data_centre, member.domain)
        domain = by_key.setdefault(key, _DomainPlan(key[0]))
        domain.members[spec.name] = domain.members.get(spec.name, 0) + 1
    domains = list(by_key.values())
    assignable_runners = sum(domain.size for domain in domains) * (
        1 - SPARE_FRACTION
    )
    ordered = sorted(demands, key=lambda demand: -demand.spec.size)
    formations: list[Formation] = []
    for demand in ordered:
        is_smallest = demand is ordered[-1]
        # Rounded down: the spares of large groups come out of the same share.
        quota = int(
            assignable_runners * demand.spec.demand_share / demand.spec.size
        )
        quota -= demand.groups
        # The smallest groups take what is left, but for the spares of others.
        max_groups = len(free) if is_smallest and len(ordered) > 1 else quota
        for _ in range(max_groups):
            best = _best_domain(domains, demand, keep_spares=is_smallest)
            if best is None:
                break
            formation = pick_members(best.free, demand.spec)
            taken = {member.runner_id for member in formation.members}
            best.free = [
                runner for runner in best.free if runner.runner_id not in taken
            ]
            name = demand.spec.name
            best.members[name] = best.members.get(name, 0) + demand.spec.size
            demand.groups += 1
            formations.append(formation)
    return formations


def _best_domain(
    domains: list[_DomainPlan], demand: ModelDemand, *, keep_spares: bool
) -> _DomainPlan | None:
    """Returns where the next group of a model goes, or None without room."""
    name = demand.spec.name
    by_data_centre: dict[str, int] = {}
    for domain in domains:
        by_data_centre[domain.data_centre] = by_data_centre.get(
            domain.data_centre, 0
        ) + domain.members.get(name, 0)
    best: _DomainPlan | None = None
    best_rank: tuple[int, bool, int, int] | None = None
    for domain in domains:
        free_count = len(domain.free)
        if keep_spares and domain.hosts_other_models(name):
            free_count -= SPARES_PER_DOMAIN
        if free_count < demand.spec.size:
            continue
        rank = (
            by_data_centre[domain.data_centre],
            domain.hosts_other_models(name),
            -domain.members.get(name, 0),
            -len(domain.free),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = domain, rank
    return best
