"""Chooses which model's weights free runners load (stage) onto their hosts.

Loading weights takes ten seconds and more; joining a group with the weights
already loaded takes one or two. The weights that free runners hold therefore
decide how quickly a lost group is replaced. A free runner whose weights no
other runner in its domain holds can never join a group, so it loads other
weights where that completes a group of a highly utilised model.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import (
    SPARES_PER_DOMAIN,
    ModelDemand,
    runners_by_domain,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits
    from mulberrypaddle.fleet.runners import RunnerEntry
    from mulberrypaddle.replicas.loss_rate import LossRate

# Utilisation of a model above which another group of it has priority over
# spares of other models: its requests then start to wait for a slot.
HIGH_UTILISATION = 0.6

# Ratio by which a model's utilisation must exceed that of another model before
# a free runner replaces the other model's weights by its own. Loading the
# replaced weights again takes ten seconds and more.
RESTAGE_UTILISATION_RATIO = 1.5

# Serving runners assumed in a domain that has none of a model: its spares help
# little there, but a new group may be formed of them.
MIN_SERVING = 0.1

# Groups that a model could lose before its reserved spares are needed.
RESERVE_GROUPS = 2

# Bounds on the utilisation of a model in comparisons: it is infinite for a
# model without a group and zero for one without requests.
MAX_UTILISATION = 100.0
MIN_UTILISATION = 0.01


class Staging:
    """A planned load of a model's weights onto a runner's host.

    Attributes:
        runner: Free runner that loads the weights.
        model: Name of the model.
        utilisation: Expected utilisation of the model; loads for the most
            utilised model come first.
        reason: Why the weights are loaded, in a few words, for the log.
    """

    __slots__ = ("model", "utilisation", "reason", "runner")

    def __init__(
        self,
        runner: RunnerEntry,
        model: str,
        *,
        utilisation: float,
        reason: str,
    ) -> None:
        self.runner = runner
        self.model = model
        self.utilisation = utilisation
        self.reason = reason


class _DomainInventory:
    """Runners of one fabric domain by the weights that they hold.

    Attributes:
        empty: Free runners without weights.
        idle: Free runners that hold weights, by model.
        loading: Number of runners that are loading weights, by model.
        serving: Number of runners that hold weights and are not free, mostly
            members of groups, by model.
    """

    __slots__ = ("empty", "idle", "loading", "serving")

    def __init__(self, models: list[str]) -> None:
        self.empty: list[RunnerEntry] = []
        self.idle: dict[str, list[RunnerEntry]] = {m: [] for m in models}
        self.loading: dict[str, int] = dict.fromkeys(models, 0)
        self.serving: dict[str, int] = dict.fromkeys(models, 0)

    def idle_or_loading(self, model: str) -> int:
        """Returns how many runners are idle with or load the weights."""
        return len(self.idle[model]) + self.loading[model]


def choose_staging(
    free: list[RunnerEntry],
    *,
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    traits: EngineTraits,
    demands: list[ModelDemand],
    loss_rate: LossRate,
) -> list[Staging]:
    """Chooses the weights that free runners load, the most urgent first.

    Args:
        free: Runners in no group and with no order in flight.
        service_runners: All live runners of the service.
        loading: Model that is being loaded, by runner id.
        traits: Traits of the service.
        demands: Demand for each model.
        loss_rate: Rate at which members of groups are lost.
    """
    by_name = {demand.spec.name: demand for demand in demands}
    domains = _inventory_by_domain(
        free, service_runners, loading, list(by_name)
    )
    planner = _StagingPlanner(
        by_name, domains, slots_per_group=traits.slots, loss_rate=loss_rate
    )
    for domain in domains:
        planner.complete_groups(domain)
        planner.add_spares(domain)
    planner.restage_idle_runners()
    return sorted(planner.chosen, key=lambda staging: -staging.utilisation)


class _StagingPlanner:
    """Chooses loads of weights and counts the groups that they make possible.

    Attributes:
        chosen: Loads chosen so far.
    """

    __slots__ = (
        "_expected_groups",
        "_domains",
        "_demands",
        "_loss_chances",
        "_slots_per_group",
        "chosen",
    )

    def __init__(
        self,
        demands: dict[str, ModelDemand],
        domains: list[_DomainInventory],
        *,
        slots_per_group: int,
        loss_rate: LossRate,
    ) -> None:
        self._demands = demands
        # Chance that a runner is lost while another loads the weights.
        self._loss_chances = {
            name: loss_rate.chance_within(demand.spec.load_seconds)
            for name, demand in demands.items()
        }
        self._domains = domains
        self._slots_per_group = slots_per_group
        # Groups that free runners can form once their loads end, by model.
        self._expected_groups = {
            name: sum(
                domain.idle_or_loading(name) // demand.spec.size
                for domain in domains
            )
            for name, demand in demands.items()
        }
        self.chosen: list[Staging] = []

    def complete_groups(self, domain: _DomainInventory) -> None:
        """Plans loads on empty runners that complete new groups.

        Only for models with an expected utilisation of at least
        `HIGH_UTILISATION`.
        """
        for name in sorted(
            self._demands,
            key=lambda name: (
                -self._utilisation_per_missing_runner(domain, name)
            ),
        ):
            missing = self._missing_runners(domain, name)
            while (
                self._expected_utilisation(name) >= HIGH_UTILISATION
                and len(domain.empty) >= missing
            ):
                for _ in range(missing):
                    runner = domain.empty.pop()
                    self._plan_load(
                        domain, runner, name, "it completes a group"
                    )
                missing = self._missing_runners(domain, name)

    def add_spares(self, domain: _DomainInventory) -> None:
        """Plans loads on the remaining empty runners, which become spares.

        Each loads the model with the highest `_spare_value` in the domain.
        """
        while domain.empty:
            best = max(
                self._demands, key=lambda name: self._spare_value(domain, name)
            )
            runner = domain.empty.pop()
            self._plan_load(domain, runner, best, "a spare for repairs")

    def _spare_value(self, domain: _DomainInventory, name: str) -> float:
        """Returns the value of one more spare of a model in a domain.

        It is the chance that members in the domain are lost, before runners
        that replace them have loaded the weights, more often than there are
        spares, times the utilisation of the model.
        """
        spares = domain.idle_or_loading(name)
        expected_losses = (
            max(MIN_SERVING, domain.serving[name]) * self._loss_chances[name]
        )
        return max(
            MIN_UTILISATION, self._expected_utilisation(name)
        ) * _chance_of_more_than(spares, mean=expected_losses)

    def restage_idle_runners(self) -> None:
        """Plans loads that replace the weights of idle runners.

        They switch to models with an expected utilisation of at least
        `HIGH_UTILISATION`, and only where that completes a group.
        """
        for name in sorted(
            self._demands, key=self._expected_utilisation, reverse=True
        ):
            for domain in self._domains:
                if self._expected_utilisation(name) < HIGH_UTILISATION:
                    break
                for runner in self._claim_donors(domain, name):
                    self._plan_load(
                        domain, runner, name, "it completes a group"
                    )

    def _expected_utilisation(self, name: str) -> float:
        """Returns a model's utilisation once its expected groups exist."""
        utilisation = self._demands[name].utilisation(
            self._slots_per_group, extra_groups=self._expected_groups[name]
        )
        return min(utilisation, MAX_UTILISATION)

    def _missing_runners(self, domain: _DomainInventory, name: str) -> int:
        """Returns how many more runners must load weights for a new group."""
        size = self._demands[name].spec.size
        return size - domain.idle_or_loading(name) % size

    def _utilisation_per_missing_runner(
        self, domain: _DomainInventory, name: str
    ) -> float:
        """Returns the expected utilisation divided by `_missing_runners`."""
        return self._expected_utilisation(name) / self._missing_runners(
            domain, name
        )

    def _plan_load(
        self,
        domain: _DomainInventory,
        runner: RunnerEntry,
        name: str,
        reason: str,
    ) -> None:
        """Adds a load to the plan and counts the group that it completes."""
        self.chosen.append(
            Staging(
                runner,
                name,
                utilisation=self._expected_utilisation(name),
                reason=reason,
            )
        )
        domain.loading[name] += 1
        if domain.idle_or_loading(name) % self._demands[name].spec.size == 0:
            self._expected_groups[name] += 1

    def _claim_donors(
        self, domain: _DomainInventory, name: str
    ) -> list[RunnerEntry]:
        """Takes idle runners that can switch weights to complete a group.

        They hold the weights of models with a much lower utilisation, and are
        removed from `domain.idle`. Returns none if too few runners qualify.
        """
        utilisation = self._demands[name].utilisation(self._slots_per_group)
        donors: list[RunnerEntry] = []
        for other in sorted(self._demands, key=self._expected_utilisation):
            demand = self._demands[other]
            if other == name:
                continue
            if utilisation < RESTAGE_UTILISATION_RATIO * demand.utilisation(
                self._slots_per_group
            ):
                continue
            reserved = 0
            needs_reserve = (
                utilisation
                < RESTAGE_UTILISATION_RATIO
                * demand.utilisation(
                    self._slots_per_group, extra_groups=-RESERVE_GROUPS
                )
            )
            if (
                needs_reserve
                and demand.spec.size > SPARES_PER_DOMAIN
                and domain.serving[other]
            ):
                reserved = SPARES_PER_DOMAIN
            donors.extend(domain.idle[other][reserved:])
        missing = self._missing_runners(domain, name)
        if len(donors) < missing:
            return []
        taken = donors[:missing]
        for runners in domain.idle.values():
            runners[:] = [runner for runner in runners if runner not in taken]
        return taken


def _chance_of_more_than(count: int, *, mean: float) -> float:
    """Returns the chance of more than `count` events, by Poisson's law.

    Args:
        count: Number of events that must be exceeded.
        mean: Mean number of events.
    """
    term = math.exp(-mean)
    chance_of_at_most = term
    for number in range(1, count + 1):
        term *= mean / number
        chance_of_at_most += term
    return max(0.0, 1.0 - chance_of_at_most)


def _inventory_by_domain(
    free: list[RunnerEntry],
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    models: list[str],
) -> list[_DomainInventory]:
    """Classifies the runners of each fabric domain by their weights."""
    free_ids = {runner.runner_id for runner in free}
    domains: list[_DomainInventory] = []
    for runners in runners_by_domain(service_runners).values():
        domain = _DomainInventory(models)
        for runner in runners:
            loading_model = loading.get(runner.runner_id)
            held_model = next((m for m in runner.staged if m in models), None)
            if loading_model in domain.loading:
                domain.loading[loading_model] += 1
            elif runner.runner_id not in free_ids:
                if held_model is not None:
                    domain.serving[held_model] += 1
            elif held_model is None:
                domain.empty.append(runner)
            else:
                domain.idle[held_model].append(runner)
        # Empty runners are used from the end; those that the platform takes
        # away last come first to be used.
        domain.empty.sort(key=lambda runner: -runner.retention_rank)
        domains.append(domain)
    return domains
