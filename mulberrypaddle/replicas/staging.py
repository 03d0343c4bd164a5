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
    from collections.abc import Callable

    from mulberrypaddle.fleet.config import EngineTraits
    from mulberrypaddle.fleet.runners import RunnerEntry

# Load of a model above which one more group of it goes before spares of other
# models: its requests then begin to wait for a slot.
PRESSED_LOAD = 0.6

# How many times higher the load of a model must be than that of another one
# before a free runner gives the weights of the other up for it. What was given
# up costs a load of ten seconds and more to have again.
RESTAGE_LOAD_RATIO = 1.5


class Staging:
    """A load of weights that is to be ordered.

    Attributes:
        runner: Free runner that loads them.
        model: Name of the model.
        urgency: Load of the model; the higher, the sooner.
        reason: Why, in a few words, for the log.
    """

    __slots__ = ("model", "reason", "runner", "urgency")

    def __init__(
        self, runner: RunnerEntry, model: str, *, urgency: float, reason: str
    ) -> None:
        self.runner = runner
        self.model = model
        self.urgency = urgency
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
    coming = {
        name: sum(domain.coming(name) // load.spec.size for domain in domains)
        for name, load in by_name.items()
    }
    chosen: list[Staging] = []

    def urgency(name: str) -> float:
        return min(
            by_name[name].load(traits.slots, extra_groups=coming[name]), 100.0
        )

    def take(domain: _Domain, runner: RunnerEntry, name: str, why: str) -> None:
        chosen.append(Staging(runner, name, urgency=urgency(name), reason=why))
        domain.loading[name] += 1
        if domain.coming(name) % by_name[name].spec.size == 0:
            coming[name] += 1

    for domain in domains:
        for name in _pressed_first(by_name, domain, urgency):
            missing = by_name[name].spec.size - (
                domain.coming(name) % by_name[name].spec.size
            )
            while missing and urgency(name) >= PRESSED_LOAD:
                if missing > len(domain.empty):
                    break
                for _ in range(missing):
                    runner = domain.empty.pop()
                    take(domain, runner, name, "it completes a group")
                missing = by_name[name].spec.size
        while domain.empty:
            best = max(
                by_name,
                key=lambda name: (
                    (urgency(name) + 0.01)
                    * (1 + domain.serving[name] + domain.coming(name))
                ),
            )
            take(domain, domain.empty.pop(), best, "a spare for repairs")
    for name in sorted(by_name, key=urgency, reverse=True):
        for domain in domains:
            if urgency(name) < PRESSED_LOAD:
                break
            for runner in _change_over(domain, by_name, name, traits):
                take(domain, runner, name, "it completes a group")
    chosen.sort(key=lambda staging: -staging.urgency)
    return chosen


def _pressed_first(
    loads: dict[str, ModelLoad],
    domain: _Domain,
    urgency: Callable[[str], float],
) -> list[str]:
    """Returns the models, those that need little for much slots first."""

    def gain(name: str) -> float:
        size = loads[name].spec.size
        return urgency(name) / (size - domain.coming(name) % size)

    return sorted(loads, key=gain, reverse=True)


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


def _change_over(
    domain: _Domain,
    loads: dict[str, ModelLoad],
    name: str,
    traits: EngineTraits,
) -> list[RunnerEntry]:
    """Returns idle runners that complete a group of a model by a load.

    They are taken from models that are much less pressed. Empty if there are
    too few of them, or if a group comes without them.
    """
    size = loads[name].spec.size
    missing = size - domain.coming(name) % size
    pressure = loads[name].load(traits.slots)
    donors: list[RunnerEntry] = []
    for other, load in sorted(
        loads.items(), key=lambda item: item[1].load(traits.slots)
    ):
        if other == name:
            continue
        if pressure < RESTAGE_LOAD_RATIO * load.load(traits.slots):
            continue
        kept = 0
        if load.spec.size > SPARES_OF_A_DOMAIN and domain.serving[other]:
            kept = SPARES_OF_A_DOMAIN
        donors.extend(domain.idle[other][kept:])
    if len(donors) < missing:
        return []
    taken = donors[:missing]
    for runners in domain.idle.values():
        runners[:] = [runner for runner in runners if runner not in taken]
    return taken
