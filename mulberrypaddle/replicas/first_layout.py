"""Chooses the groups of the first start, before any traffic.

Each domain is given to one model as far as the shares allow. Survivors of a
loss and spares are then of one kind and can form a group again; weights that
nobody near them shares are of no use until a load of many seconds. Each model
is spread over the data centres, so that the loss of one takes a part of each.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import (
    SPARES_OF_A_DOMAIN,
    Formation,
    by_domain,
    pick_members,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits, ModelSpec
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.replicas.placement import ModelLoad

# Part of the runners that counts as free to repair with when the large models
# get their shares: two of a domain of ten runners.
SPARE_PART = 0.15


class _Domain:
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

    def has_other_than(self, model: str) -> bool:
        """Returns whether it holds groups of another model."""
        return any(name != model for name in self.members)


def choose_first_groups(
    free: list[RunnerEntry],
    *,
    formed: list[tuple[ModelSpec, RunnerEntry]],
    traits: EngineTraits,
    loads: list[ModelLoad],
) -> list[Formation]:
    """Gives each model its share of the runners, large groups first.

    Args:
        free: Runners in no group.
        formed: Models and members of the groups that stand or are formed.
        traits: Traits of the service.
        loads: Demand by model; counts of groups are raised with each choice.
    """
    by_key: dict[tuple[str, str], _Domain] = {}
    for key, runners in by_domain(free).items():
        by_key.setdefault(key, _Domain(key[0])).free = runners
    for spec, member in formed:
        key = (member.data_centre, member.domain)
        domain = by_key.setdefault(key, _Domain(key[0]))
        domain.members[spec.name] = domain.members.get(spec.name, 0) + 1
    domains = list(by_key.values())
    usable = sum(domain.size for domain in domains) * (1 - SPARE_PART)
    ordered = sorted(loads, key=lambda load: -load.spec.size)
    chosen: list[Formation] = []
    for load in ordered:
        smallest = load is ordered[-1]
        # Rounded down: the spares of large groups come out of the same share.
        quota = int(usable * load.spec.demand_share / load.spec.size)
        quota -= load.groups
        # The smallest groups take what is left, but for the spares of others.
        most = len(free) if smallest and len(ordered) > 1 else quota
        for _ in range(most):
            best = _best_domain(domains, load, keep_spares=smallest)
            if best is None:
                break
            formation = pick_members(best.free, load.spec)
            taken = {member.runner_id for member in formation.members}
            best.free = [
                runner for runner in best.free if runner.runner_id not in taken
            ]
            name = load.spec.name
            best.members[name] = best.members.get(name, 0) + load.spec.size
            load.groups += 1
            chosen.append(formation)
    return chosen


def _best_domain(
    domains: list[_Domain], load: ModelLoad, *, keep_spares: bool
) -> _Domain | None:
    """Returns where the next group of a model goes, or None without room."""
    name = load.spec.name
    by_data_centre: dict[str, int] = {}
    for domain in domains:
        by_data_centre[domain.data_centre] = by_data_centre.get(
            domain.data_centre, 0
        ) + domain.members.get(name, 0)
    best: _Domain | None = None
    best_rank: tuple[int, bool, int, int] | None = None
    for domain in domains:
        room = len(domain.free)
        if keep_spares and domain.has_other_than(name):
            room -= SPARES_OF_A_DOMAIN
        if room < load.spec.size:
            continue
        rank = (
            by_data_centre[domain.data_centre],
            domain.has_other_than(name),
            -domain.members.get(name, 0),
            -len(domain.free),
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = domain, rank
    return best
