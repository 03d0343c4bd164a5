"""Chooses the weights that free runners hold.

A load takes ten seconds and more, a join of a runner that holds the weights
one or two: what a free runner holds decides how soon a loss is repaired. A
free runner with weights that nobody near it shares is idle for good, so that it
changes them where that completes a group of a model that is short.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.replicas.placement import (
    SPARES_OF_A_DOMAIN,
    ModelLoad,
    by_domain,
)

if TYPE_CHECKING:
    from mulberrypaddle.fleet.config import EngineTraits
    from mulberrypaddle.fleet.runners import RunnerEntry

# Load of a model above which one more group of it goes before spares of other
# models: its requests then begin to wait for a slot.
PRESSED_LOAD = 0.6

# How many times higher the load of a model must be than that of another one
# before a free runner gives the weights of the other up for it. What was given
# up costs a load of ten seconds and more to have again.
RESTAGE_LOAD_RATIO = 1.5

# Bounds on the load of a model where loads are compared: a model without a
# group is infinitely pressed, one without requests not at all.
MOST_PRESSURE = 100.0
LEAST_PRESSURE = 0.01


class Staging:
    """A load of weights that is to be ordered.

    Attributes:
        runner: Free runner that loads them.
        model: Name of the model.
        pressure: Load of the model; the higher, the sooner.
        reason: Why, in a few words, for the log.
    """

    __slots__ = ("model", "pressure", "reason", "runner")

    def __init__(
        self, runner: RunnerEntry, model: str, *, pressure: float, reason: str
    ) -> None:
        self.runner = runner
        self.model = model
        self.pressure = pressure
        self.reason = reason


class _Domain:
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

    def coming(self, model: str) -> int:
        """Returns the free runners that hold or load a model's weights."""
        return len(self.idle[model]) + self.loading[model]


def choose_staging(
    free: list[RunnerEntry],
    *,
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    traits: EngineTraits,
    loads: list[ModelLoad],
) -> list[Staging]:
    """Chooses what free runners load, the most urgent first.

    Args:
        free: Runners in no group and with no order under way.
        service_runners: All runners of the service.
        loading: Model that a runner loads, by its id.
        traits: Traits of the service.
        loads: Demand by model.
    """
    by_name = {load.spec.name: load for load in loads}
    domains = _survey(free, service_runners, loading, list(by_name))
    planner = _Planner(by_name, domains, slots=traits.slots)
    for domain in domains:
        planner.complete_groups(domain)
        planner.add_spares(domain)
    planner.change_over()
    return sorted(planner.chosen, key=lambda staging: -staging.pressure)


class _Planner:
    """Chooses loads, and counts the groups that come of them.

    Attributes:
        chosen: Loads chosen so far.
    """

    __slots__ = ("_coming", "_domains", "_loads", "_slots", "chosen")

    def __init__(
        self,
        loads: dict[str, ModelLoad],
        domains: list[_Domain],
        *,
        slots: int,
    ) -> None:
        self._loads = loads
        self._domains = domains
        self._slots = slots
        # Groups that free runners will make up, by model.
        self._coming = {
            name: sum(
                domain.coming(name) // load.spec.size for domain in domains
            )
            for name, load in loads.items()
        }
        self.chosen: list[Staging] = []

    def complete_groups(self, domain: _Domain) -> None:
        """Lets empty runners complete groups of pressed models."""
        for name in sorted(
            self._loads, key=lambda name: -self._gain(domain, name)
        ):
            missing = self._missing(domain, name)
            while (
                self._pressure(name) >= PRESSED_LOAD
                and len(domain.empty) >= missing
            ):
                for _ in range(missing):
                    runner = domain.empty.pop()
                    self._take(domain, runner, name, "it completes a group")
                missing = self._missing(domain, name)

    def add_spares(self, domain: _Domain) -> None:
        """Lets the other empty runners load what their domain holds most."""
        while domain.empty:
            best = max(
                self._loads,
                key=lambda name: (
                    max(LEAST_PRESSURE, self._pressure(name))
                    * (1 + domain.serving[name] + domain.coming(name))
                ),
            )
            runner = domain.empty.pop()
            self._take(domain, runner, best, "a spare for repairs")

    def change_over(self) -> None:
        """Lets idle runners of calm models complete groups of pressed ones."""
        for name in sorted(self._loads, key=self._pressure, reverse=True):
            for domain in self._domains:
                if self._pressure(name) < PRESSED_LOAD:
                    break
                for runner in self._donors(domain, name):
                    self._take(domain, runner, name, "it completes a group")

    def _pressure(self, name: str) -> float:
        load = self._loads[name].load(
            self._slots, extra_groups=self._coming[name]
        )
        return min(load, MOST_PRESSURE)

    def _missing(self, domain: _Domain, name: str) -> int:
        """Returns the runners that a domain lacks for one more group."""
        size = self._loads[name].spec.size
        return size - domain.coming(name) % size

    def _gain(self, domain: _Domain, name: str) -> float:
        return self._pressure(name) / self._missing(domain, name)

    def _take(
        self, domain: _Domain, runner: RunnerEntry, name: str, reason: str
    ) -> None:
        self.chosen.append(
            Staging(runner, name, pressure=self._pressure(name), reason=reason)
        )
        domain.loading[name] += 1
        if domain.coming(name) % self._loads[name].spec.size == 0:
            self._coming[name] += 1

    def _donors(self, domain: _Domain, name: str) -> list[RunnerEntry]:
        """Returns idle runners that complete a group of a model by a load.

        They are taken from models that are much less pressed. Empty if there
        are too few of them.
        """
        pressure = self._loads[name].load(self._slots)
        donors: list[RunnerEntry] = []
        for other in sorted(self._loads, key=self._pressure):
            load = self._loads[other]
            if other == name:
                continue
            if pressure < RESTAGE_LOAD_RATIO * load.load(self._slots):
                continue
            kept = 0
            if load.spec.size > SPARES_OF_A_DOMAIN and domain.serving[other]:
                kept = SPARES_OF_A_DOMAIN
            donors.extend(domain.idle[other][kept:])
        missing = self._missing(domain, name)
        if len(donors) < missing:
            return []
        taken = donors[:missing]
        for runners in domain.idle.values():
            runners[:] = [runner for runner in runners if runner not in taken]
        return taken


def _survey(
    free: list[RunnerEntry],
    service_runners: list[RunnerEntry],
    loading: dict[str, str],
    models: list[str],
) -> list[_Domain]:
    """Returns what the runners of each domain hold."""
    free_ids = {runner.runner_id for runner in free}
    domains: list[_Domain] = []
    for runners in by_domain(service_runners).values():
        domain = _Domain(models)
        for runner in runners:
            loads_model = loading.get(runner.runner_id)
            held = next((m for m in runner.staged if m in models), None)
            if loads_model in domain.loading:
                domain.loading[loads_model] += 1
            elif runner.runner_id not in free_ids:
                if held is not None:
                    domain.serving[held] += 1
            elif held is None:
                domain.empty.append(runner)
            else:
                domain.idle[held].append(runner)
        domains.append(domain)
    return domains
