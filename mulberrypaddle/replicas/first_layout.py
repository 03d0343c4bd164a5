"""Chooses the groups to form when a deployment first starts.

There is no traffic yet. Each fabric domain is assigned to a single model as far
as the demand shares allow. The survivors of a lost group and the spares of the
domain then hold the same weights and can form a new group at once; a runner
whose domain holds other weights must first load new ones, which takes many
seconds. Each model is spread over the data centres, so that losing one of them
costs each model only a part of its groups.
"""

from __future__ import annotations

import math
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

# Fraction of the runners that the shares of the models leave out as spares for
# repairs: roughly two runners in a domain of ten.
SPARE_FRACTION = 0.15


class _DomainPlan:
    """A fabric domain and the groups placed in it so far.

    Attributes:
        data_centre: Data centre of the domain.
        free: Runners in no group yet.
        members: Number of runners in groups, by model.
    """

    __slots__ = ("data_centre", "free", "members")

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.free: list[RunnerEntry] = []
        self.members: dict[str, int] = {}

    @property
    def size(self) -> int:
        """Returns the number of runners in the domain, in groups or free."""
        return len(self.free) + sum(self.members.values())

    def hosts_other_models(self, model: str) -> bool:
        """Returns whether the domain holds groups of another model."""
        return any(name != model for name in self.members)

    def reserved_spares(self, demand: ModelDemand) -> int:
        """Returns how many free runners a further group must leave.

        Survivors of a large group need spares beside them: alone they form no
        group. A group of the smallest size needs none in its own domain.

        Args:
            demand: Demand for the model of the further group.
        """
        if self.hosts_other_models(demand.spec.name):
            return SPARES_PER_DOMAIN
        if demand.spec.size <= SPARES_PER_DOMAIN:
            return 0
        # A domain that has no room for a group and its spares gets the group.
        return max(0, min(SPARES_PER_DOMAIN, self.size - demand.spec.size))


def choose_first_groups(
    free: list[RunnerEntry],
    *,
    formed: list[tuple[ModelSpec, RunnerEntry]],
    traits: EngineTraits,
    demands: list[ModelDemand],
) -> list[Formation]:
    """Chooses groups so that each model gets its share of the runners.

    Models with large groups come first.

    Args:
        free: Runners in no group.
        formed: Model and member, for each member of a group that exists or
            is being formed.
        traits: Traits of the service.
        demands: Demand for each model. `groups` is incremented with each
            chosen group.

    Returns:
        The groups to form.
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
    # Ranks are set only where the number of runners is not fixed.
    is_scaled = any(runner.retention_rank for runner in free)
    ordered = sorted(demands, key=lambda demand: -demand.spec.size)
    formations: list[Formation] = []
    for demand in ordered:
        share = assignable_runners * demand.spec.demand_share / demand.spec.size
        # Rounded down, since a model's share also covers its spares; up for
        # the model with the smallest groups, which fit into what is left.
        quota = math.ceil(share) if demand is ordered[-1] else int(share)
        if is_scaled:
            # Its spares come from what is given back later, while a group of
            # many runners that is missing takes a load of weights to form.
            quota = max(quota, round(share))
        quota = max(1, quota)
        for _ in range(quota - demand.groups):
            best = _best_domain(domains, demand)
            if best is None and demand.groups == 0:
                # A first group goes before spares of other models.
                best = _best_domain(domains, demand, keep_spares=False)
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
    domains: list[_DomainPlan], demand: ModelDemand, *, keep_spares: bool = True
) -> _DomainPlan | None:
    """Returns the domain for a model's next group, or None if none fits.

    Prefers the data centre with the fewest runners of the model, then a domain
    without other models, then the one with the most runners of the model, then
    the one with the most free runners, then the one whose runners the platform
    takes away last.

    Args:
        domains: All fabric domains.
        demand: Demand for the model.
        keep_spares: Whether to leave the spares of the domain free.
    """
    name = demand.spec.name
    by_data_centre: dict[str, int] = {}
    for domain in domains:
        by_data_centre[domain.data_centre] = by_data_centre.get(
            domain.data_centre, 0
        ) + domain.members.get(name, 0)
    best: _DomainPlan | None = None
    best_rank: tuple[int, bool, int, int, int] | None = None
    for domain in domains:
        free_count = len(domain.free)
        if keep_spares:
            free_count -= domain.reserved_spares(demand)
        if free_count < demand.spec.size:
            continue
        rank = (
            by_data_centre[domain.data_centre],
            domain.hosts_other_models(name),
            -domain.members.get(name, 0),
            -len(domain.free),
            min(runner.retention_rank for runner in domain.free),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = domain, rank
    return best
