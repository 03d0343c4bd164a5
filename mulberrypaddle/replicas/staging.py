"""Chooses the weights that free runners hold.

A load takes ten seconds and more, a join of a runner that holds the weights
one or two: what a free runner holds decides how soon a loss is repaired. A
free runner with weights that nobody near it shares is idle for good, so that it
changes them where that completes a group of a model that is short.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import (
    SPARES_PER_DOMAIN,
    ModelDemand,
    runners_by_domain,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits
    from mulberrypaddle.fleet.runners import RunnerEntry

# Load of a model above which one more group of it goes before spares of other
# models: its requests then begin to wait for a slot.
HIGH_UTILISATION = 0.6

# How many times higher the load of a model must be than that of another one
# before a free runner gives the weights of the other up for it. What was given
# up costs a load of ten seconds and more to have again.
RESTAGE_UTILISATION_RATIO = 1.5

# Bounds on the load of a model where loads are compared: a model without a
# group is infinitely pressed, one without requests not at all.
MAX_UTILISATION = 100.0
MIN_UTILISATION = 0.01


class Staging:
    """A load of weights that is to be ordered.

    Attributes:
        runner: Free runner that loads them.
        model: Name of the model.
        pressure: Load of the model; the higher, the sooner.
        reason: Why, in a few words, for the log.
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
    """What the runners of one domain hold.

    Attributes:
        empty: Free runners without weights.
        idle: Free runners that hold weights, by model.
        loading: Runners that load weights, by model.
        serving: Runners in groups, by model.
    """

    __slots__ = ("empty", "idle", "loading", "serving")

    def __init__(self, models: list[str]) -> None:
        self.empty: list[RunnerEntry] = []
        self.idle: dict[str, list[RunnerEntry]] = {m: [] for m in models}
        self.loading: dict[str, int] = dict.fromkeys(models, 0)
        self.serving: dict[str, int] = dict.fromkeys(models, 0)

    def idle_or_loading(self, model: str) -> int:
        """Returns the free runners that hold or load a model's weights."""
        return len(self.idle[model]) + self.loading[model]


def choose_staging(
    free: list[RunnerEntry],
    *,
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    traits: EngineTraits,
    demands: list[ModelDemand],
) -> list[Staging]:
    """Chooses what free runners load, the most urgent first.

    Args:
        free: Runners in no group and with no order under way.
        service_runners: All runners of the service.
        loading: Model that a runner loads, by its id.
        traits: Traits of the service.
        loads: Demand by model.
    """
    by_name = {demand.spec.name: demand for demand in demands}
    domains = _inventory_by_domain(
        free, service_runners, loading, list(by_name)
    )
    planner = _StagingPlanner(by_name, domains, slots_per_group=traits.slots)
    for domain in domains:
        planner.complete_groups(domain)
        planner.add_spares(domain)
    planner.restage_idle_runners()
    return sorted(planner.chosen, key=lambda staging: -staging.utilisation)


class _StagingPlanner:
    """Chooses loads, and counts the groups that come of them.

    Attributes:
        chosen: Loads chosen so far.
    """

    __slots__ = (
        "_expected_groups",
        "_domains",
        "_demands",
        "_slots_per_group",
        "chosen",
    )

    def __init__(
        self,
        demands: dict[str, ModelDemand],
        domains: list[_DomainInventory],
        *,
        slots_per_group: int,
    ) -> None:
        self._demands = demands
        self._domains = domains
        self._slots_per_group = slots_per_group
        # Groups that free runners will make up, by model.
        self._expected_groups = {
            name: sum(
                domain.idle_or_loading(name) // demand.spec.size
                for domain in domains
            )
            for name, demand in demands.items()
        }
        self.chosen: list[Staging] = []

    def complete_groups(self, domain: _DomainInventory) -> None:
        """Lets empty runners complete groups of pressed models."""
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
        """Lets the other empty runners load what their domain holds most."""
        while domain.empty:
            best = max(
                self._demands,
                key=lambda name: (
                    max(MIN_UTILISATION, self._expected_utilisation(name))
                    * (1 + domain.serving[name] + domain.idle_or_loading(name))
                ),
            )
            runner = domain.empty.pop()
            self._plan_load(domain, runner, best, "a spare for repairs")

    def restage_idle_runners(self) -> None:
        """Lets idle runners of calm models complete groups of pressed ones."""
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
        demand = self._demands[name].utilisation(
            self._slots_per_group, extra_groups=self._expected_groups[name]
        )
        return min(demand, MAX_UTILISATION)

    def _missing_runners(self, domain: _DomainInventory, name: str) -> int:
        """Returns the runners that a domain lacks for one more group."""
        size = self._demands[name].spec.size
        return size - domain.idle_or_loading(name) % size

    def _utilisation_per_missing_runner(
        self, domain: _DomainInventory, name: str
    ) -> float:
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
        """Returns idle runners that complete a group of a model by a load.

        They are taken from models that are much less pressed. Empty if there
        are too few of them.
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
            if demand.spec.size > SPARES_PER_DOMAIN and domain.serving[other]:
                reserved = SPARES_PER_DOMAIN
            donors.extend(domain.idle[other][reserved:])
        missing = self._missing_runners(domain, name)
        if len(donors) < missing:
            return []
        taken = donors[:missing]
        for runners in domain.idle.values():
            runners[:] = [runner for runner in runners if runner not in taken]
        return taken


def _inventory_by_domain(
    free: list[RunnerEntry],
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    models: list[str],
) -> list[_DomainInventory]:
    """Returns what the runners of each domain hold."""
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
        domains.append(domain)
    return domains
