"""Measures how long a configuration change takes to reach every router.

The time counts from the acceptance of the change until it is in force on all
routers. Runs seven routers on a simulated network, clock and store, with
faults, and seven routers with real connections over loopback. In the baseline
each router polls the object API. Run as `python -m benchmarks.configuration`.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
import time

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.configuration import ConfigurationOptions
from mulberrypaddle.standins.local_fleet import LocalFleet
from tests.support.configured_routers import ConfiguredRouters, document

ROUTERS = 7
CHANGE_COUNT = 24
STEP_SECONDS = 0.02
# One-way delay between data centres, including the wait until the next
# envelope is sent.
DELAY_SECONDS = 0.015
TARGET_SECONDS = 5.0
FAULTS = ("none", "partitioned", "paused", "restarted", "lossy")
PAUSE_SECONDS = 3.0


class ScenarioResult:
    """Results of one scenario.

    Attributes:
        seconds: For each change, the time from its acceptance until it was
            in force on all routers.
        reverts: How often the version of a router decreased.
    """

    def __init__(self) -> None:
        self.seconds: list[float] = []
        self.reverts = 0

    def print_result(self, scenario: str, variant: str) -> None:
        """Prints the results as one line of key=value pairs."""
        print(
            f"scenario={scenario} way={variant} changes={len(self.seconds)} "
            f"median_seconds={statistics.median(self.seconds):.3f} "
            f"max_seconds={max(self.seconds):.3f} "
            f"reverts={self.reverts} target_seconds={TARGET_SECONDS}"
        )


class _RevertCounter:
    """Counts how often a version decreases within one router incarnation."""

    def __init__(self) -> None:
        self._last_versions: dict[int, int] = {}
        self.reverts = 0

    def check(self, fleet: ConfiguredRouters) -> None:
        """Compares the version of each router with its previous one."""
        for member_id, node in fleet.nodes.items():
            version = fleet.version(member_id)
            incarnation = node.context.incarnation
            if version < self._last_versions.get(incarnation, 0):
                self.reverts += 1
            self._last_versions[incarnation] = version


def _inject_fault(fleet: ConfiguredRouters, fault: str, member_id: str) -> None:
    """Ends partitions and injects a fault of `FAULTS` into one router."""
    fleet.cut.clear()
    if fault == "partitioned":
        for other in fleet.nodes:
            if other != member_id:
                fleet.cut.add(frozenset((member_id, other)))
    if fault == "paused":
        fleet.paused.add(member_id)
    if fault == "restarted":
        fleet.kill(member_id)
        fleet.start(member_id)
    if fault == "lossy":
        fleet.loss = 0.2


def simulate_scenario(fault: str, *, spread: bool) -> ScenarioResult:
    """Runs one scenario on the simulated network.

    Args:
        fault: Fault of one router while a change is made. With a paused
            router the time counts from when it resumes, with a restarted
            one it includes the start.
        spread: Whether routers send changes to their peers; otherwise each
            router polls the store.
    """
    fleet = ConfiguredRouters(
        ROUTERS,
        config=ConfigurationOptions(spread=spread, ask_peers=spread),
        seed=11,
    )
    fleet.delay_seconds = DELAY_SECONDS
    fleet.run(10, step_seconds=STEP_SECONDS)
    result = ScenarioResult()
    revert_counter = _RevertCounter()
    for number in range(CHANGE_COUNT):
        submitter = f"router-{number % ROUTERS + 1}"
        victim = f"router-{(number + 3) % ROUTERS + 1}"
        _inject_fault(fleet, fault, victim)
        version = fleet.version(submitter)
        answer_count = len(fleet.answers)
        text = document("out" if number % 2 == 0 else "in")
        fleet.submit(submitter, text, expected_version=version)
        while len(fleet.answers) == answer_count:
            fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
        accepted = fleet.answers[-1].unwrap()
        start_seconds = fleet.clock.monotonic_seconds()
        if fault == "paused":
            fleet.run(PAUSE_SECONDS, step_seconds=STEP_SECONDS)
            fleet.paused.clear()
            start_seconds = fleet.clock.monotonic_seconds()
        while len(fleet.routers_in_force(accepted)) < ROUTERS:
            fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
            revert_counter.check(fleet)
        result.seconds.append(fleet.clock.monotonic_seconds() - start_seconds)
        fleet.cut.clear()
        fleet.run(fleet.rng.uniform(1, 4), step_seconds=STEP_SECONDS)
    result.reverts = revert_counter.reverts
    return result


async def measure_loopback() -> ScenarioResult:
    """Measures changes on seven routers with real connections."""
    result = ScenarioResult()
    async with LocalFleet(router_count=ROUTERS) as fleet:
        await asyncio.sleep(3)
        for number in range(12):
            answer = await fleet.set_data_centre(
                "south", "out" if number % 2 == 0 else "in"
            )
            started = time.monotonic()
            if answer.code != 200:
                raise RuntimeError(f"got status {answer.code}, expected 200")
            version = fleet.store.version
            while not _have_version(fleet, version):
                await asyncio.sleep(0.005)
            result.seconds.append(time.monotonic() - started)
            await asyncio.sleep(0.3)
    return result


def _have_version(fleet: LocalFleet, version: int) -> bool:
    """Returns whether a version is in force on all routers."""
    for router in fleet.routers:
        entry = router.context.board.entry(keys.CONFIGURATION)
        if entry is None:
            return False
        if max(entry.value.versions.values()) < version:
            return False
    return True


def main() -> None:
    """Runs all scenarios and prints their results."""
    logging.disable(logging.CRITICAL)
    for fault in FAULTS:
        simulate_scenario(fault, spread=False).print_result(fault, "each_polls")
        simulate_scenario(fault, spread=True).print_result(fault, "spread")
    asyncio.run(measure_loopback()).print_result("loopback", "spread")


if __name__ == "__main__":
    main()
