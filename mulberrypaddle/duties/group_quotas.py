"""How many groups and runners each data centre needs for a demand.

The groups have slots for the demand after the loss of a data centre, and for
bursts; the runners hold them and the spares that replace lost members.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import SPARES_PER_DOMAIN

if TYPE_CHECKING:
    from mulberrypaddle.duties.demand_history import ModelNeed
    from mulberrypaddle.fleet.config import (
        EngineTraits,
        ModelSpec,
        ScalingLimits,
    )

# Least ratio of the slots to the level of demand. With few data centres the
# loss of one asks for more.
LEAST_HEADROOM = 1.25

# Ratio of the slots to the highest demand. Requests are not spread evenly over
# the groups, and one or two groups are being formed anew at most times.
PEAK_HEADROOM = 1.1

# Share of the ordered runners below which a data centre counts as lost. Less
# than half is left neither by single losses nor by the loss of one of three
# fabric domains.
LOST_SHARE = 0.5


class DataCentreRunners:
    """Runners of one service in one data centre, as they were last reported.

    Attributes:
        domains: Fabric domain of each runner that is listed and not leaving,
            in the order in which the platform keeps them.
        free: Number of those that are in no group, by fabric domain.
        groups: Number of groups with all members, by model.
        ordered: Number that was ordered last, or the most that were seen lately
            if this router has ordered none.
        expected: Number that should be listed, without those that are started.
        ceiling: Number that the platform may hold; an order below it may take
            runners away.
        lowest_safe: Lowest number that takes away no runner that is in use.
        evacuated: Whether the data centre is evacuated.
    """

    __slots__ = (
        "ceiling",
        "domains",
        "evacuated",
        "expected",
        "free",
        "groups",
        "lowest_safe",
        "ordered",
    )

    def __init__(
        self,
        *,
        domains: tuple[str, ...],
        free: dict[str, int],
        groups: dict[str, int],
        ordered: int,
        expected: int,
        ceiling: int,
        lowest_safe: int,
        evacuated: bool,
    ) -> None:
        self.domains = domains
        self.free = free
        self.groups = groups
        self.ordered = ordered
        self.expected = expected
        self.ceiling = ceiling
        self.lowest_safe = lowest_safe
        self.evacuated = evacuated

    @property
    def missing(self) -> int:
        """Returns how many of the ordered runners are not listed."""
        return max(0, self.ordered - len(self.domains))

    @property
    def is_lost(self) -> bool:
        """Returns whether too few runners are left to count on it."""
        present = len(self.domains)
        return present == 0 or present < LOST_SHARE * self.expected


class GroupQuota:
    """Groups of each model that a data centre is to have.

    Attributes:
        groups: Number of groups by model.
        runners: Number of runners for them and for spares, before limits.
    """

    __slots__ = ("groups", "runners")

    def __init__(self, groups: dict[str, int], runners: int) -> None:
        self.groups = groups
        self.runners = runners


def needed_groups(
    need: ModelNeed,
    *,
    slots: int,
    data_centres: int,
    active: int,
    loss_chance: float = 0.0,
) -> int:
    """Returns how many groups of a model all data centres need together.

    Args:
        need: Expected need of the model.
        slots: Requests that one group serves at once.
        data_centres: Number of data centres of the deployment.
        active: Number of those that are neither lost nor evacuated.
        loss_chance: Chance that a group loses a member in the time that a
            runner takes to load the weights. About this share of the groups
            waits for a member at any time.
    """
    headroom = LEAST_HEADROOM
    if data_centres > 1:
        # The others take the share of one that is lost.
        headroom = max(headroom, data_centres / (data_centres - 1))
    count = max(
        1,
        math.ceil(need.level_slots * headroom / slots - 1e-9),
        math.ceil(need.peak_slots * PEAK_HEADROOM / slots - 1e-9),
    )
    if active == data_centres and active > 1:
        # The data centre with the most groups may be the one that is lost.
        while (count - math.ceil(count / active)) * slots < need.level_slots:
            count += 1
    return math.floor(count * (1.0 + loss_chance) + 0.5)


def divide_groups(
    needed: dict[str, int],
    *,
    specs: dict[str, ModelSpec],
    fleet: dict[str, DataCentreRunners],
) -> dict[str, dict[str, int]]:
    """Divides the groups of each model evenly over the data centres.

    What can't be divided goes to the data centres that have most groups of
    the model already, so that few groups are formed anew.

    Args:
        needed: Number of groups by model.
        specs: The models.
        fleet: The data centres to divide them over.

    Returns:
        Number of groups by data centre and model.
    """
    quotas: dict[str, dict[str, int]] = {name: {} for name in fleet}
    runners = dict.fromkeys(fleet, 0)
    for model in sorted(needed, key=lambda model: (-specs[model].size, model)):
        base, rest = divmod(needed[model], len(fleet))
        preferred = sorted(
            fleet,
            key=lambda name: (
                -min(fleet[name].groups.get(model, 0), base + 1),
                runners[name],
                name,
            ),
        )
        for position, name in enumerate(preferred):
            count = base + (position < rest)
            quotas[name][model] = count
            runners[name] += count * specs[model].size
    return quotas


def runners_for(
    groups: dict[str, int],
    *,
    specs: dict[str, ModelSpec],
    domains: tuple[str, ...],
    limits: ScalingLimits,
) -> int:
    """Returns how many runners hold some groups and their spares.

    Groups lie within one fabric domain. Runners beyond the present ones are
    expected in the smallest domains.

    Args:
        groups: Number of groups by model.
        specs: The models.
        domains: Fabric domain of each present runner, in the order in which
            the platform keeps them.
        limits: Limits on the number of runners.
    """
    sizes: dict[str, int] = dict.fromkeys(domains, 0)
    if not sizes:
        sizes[""] = 0
    for count in range(1, limits.max_runners + 1):
        if count <= len(domains):
            domain = domains[count - 1]
        else:
            domain = min(sizes, key=lambda name: (sizes[name], name))
        sizes[domain] += 1
        if count >= limits.min_runners and _fits(groups, specs, sizes):
            return count
    return limits.max_runners


def _fits(
    groups: dict[str, int],
    specs: dict[str, ModelSpec],
    sizes: dict[str, int],
) -> bool:
    """Returns whether groups fit into domains beside their spares.

    Args:
        groups: Number of groups by model.
        specs: The models.
        sizes: Number of runners by domain.
    """
    free = [max(0, size - SPARES_PER_DOMAIN) for size in sizes.values()]
    for model in sorted(groups, key=lambda model: -specs[model].size):
        size = specs[model].size
        for _ in range(groups[model]):
            fitting = [i for i, count in enumerate(free) if count >= size]
            if not fitting:
                return False
            # The fullest domain leaves room for large groups in the others.
            free[min(fitting, key=lambda i: free[i])] -= size
    return True


def runners_short(
    groups: dict[str, int],
    *,
    specs: dict[str, ModelSpec],
    present: DataCentreRunners,
) -> int:
    """Returns how many more runners the missing groups need.

    Runners that are left over in several domains form no group, although there
    would be enough of them in one.

    Args:
        groups: Number of groups that there should be, by model.
        specs: The models.
        present: Runners of the data centre.
    """
    free = dict(present.free) or {"": 0}
    short = 0
    for model in sorted(groups, key=lambda model: -specs[model].size):
        size = specs[model].size
        for _ in range(groups[model] - present.groups.get(model, 0)):
            domain = max(free, key=lambda name: (free[name], name))
            short += max(0, size - free[domain])
            free[domain] = max(0, free[domain] - size)
    return short


def quotas_for(
    needs: dict[str, ModelNeed],
    *,
    traits: EngineTraits,
    limits: ScalingLimits,
    fleet: dict[str, DataCentreRunners],
    data_centres: int,
    loss_chances: dict[str, float],
) -> dict[str, GroupQuota]:
    """Returns the groups and runners that each active data centre needs.

    Args:
        needs: Expected need of each model.
        traits: Traits of the service.
        limits: Limits on the number of runners of a data centre.
        fleet: The data centres that are neither lost nor evacuated.
        data_centres: Number of data centres of the deployment.
        loss_chances: See `needed_groups`, by model.
    """
    if not fleet:
        return {}
    needed = {
        model: needed_groups(
            need,
            slots=traits.slots,
            data_centres=data_centres,
            active=len(fleet),
            loss_chance=loss_chances.get(model, 0.0),
        )
        for model, need in needs.items()
    }
    divided = divide_groups(needed, specs=traits.models, fleet=fleet)
    return {
        name: GroupQuota(
            divided[name],
            runners_for(
                divided[name],
                specs=traits.models,
                domains=fleet[name].domains,
                limits=limits,
            ),
        )
        for name in fleet
    }
