"""Time from a change's acceptance until it is in force on every router.

Runs seven routers on a fake network, clock and store, with faults, and seven
routers over loopback with real links. The baseline polls the object API from
each router. Usage: `python -m benchmarks.configuration`.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
import time

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.configuration import ConfigurationOptions
from mulberrypaddle.standins.local_fleet import LocalFleet
from tests.support.configured import Configured, document

ROUTERS = 7
CHANGES = 24
STEP_SECONDS = 0.02
# One way between data centres, with the wait for the next envelope.
DELAY_SECONDS = 0.015
TARGET_SECONDS = 5.0
FAULTS = ("none", "partitioned", "paused", "restarted", "lossy")
PAUSE_SECONDS = 3.0


class Measured:
    """Times of one scenario.

    Attributes:
        seconds: From acceptance to in force everywhere, one a change.
        reverts: Times at which a router's version fell.
    """

    def __init__(self) -> None:
        self.seconds: list[float] = []
        self.reverts = 0

    def show(self, scenario: str, way: str) -> None:
        """Prints one line."""
        print(
            f"scenario={scenario} way={way} changes={len(self.seconds)} "
            f"median_seconds={statistics.median(self.seconds):.3f} "
            f"max_seconds={max(self.seconds):.3f} "
            f"reverts={self.reverts} target_seconds={TARGET_SECONDS}"
        )


class _Watch:
    """Counts versions that fall within one process's life."""

    def __init__(self) -> None:
        self._seen: dict[int, int] = {}
        self.reverts = 0

    def look(self, fleet: Configured) -> None:
        """Compares all versions with those seen before."""
        for member_id, node in fleet.nodes.items():
            version = fleet.version(member_id)
            incarnation = node.context.incarnation
            if version < self._seen.get(incarnation, 0):
                self.reverts += 1
            self._seen[incarnation] = version


def _break(fleet: Configured, fault: str, member_id: str) -> None:
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


def simulate(fault: str, *, spread: bool) -> Measured:
    """Runs one scenario on the fakes.

    Args:
        fault: What befalls one router as the change is made; the time of a
            paused router counts from when it wakes, if that is later, and
            that of a restarted one includes its start.
        spread: Whether peers spread changes; otherwise each router polls.
    """
    fleet = Configured(
        ROUTERS,
        config=ConfigurationOptions(spread=spread, ask_peers=spread),
        seed=11,
    )
    fleet.delay_seconds = DELAY_SECONDS
    fleet.run(10, step_seconds=STEP_SECONDS)
    measured = Measured()
    watch = _Watch()
    for number in range(CHANGES):
        through = f"router-{number % ROUTERS + 1}"
        victim = f"router-{(number + 3) % ROUTERS + 1}"
        _break(fleet, fault, victim)
        version = fleet.version(through)
        answered = len(fleet.answers)
        text = document("out" if number % 2 == 0 else "in")
        fleet.submit(through, text, expected_version=version)
        while len(fleet.answers) == answered:
            fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
        accepted = fleet.answers[-1].unwrap()
        from_seconds = fleet.clock.monotonic_seconds()
        if fault == "paused":
            fleet.run(PAUSE_SECONDS, step_seconds=STEP_SECONDS)
            fleet.paused.clear()
            from_seconds = fleet.clock.monotonic_seconds()
        while len(fleet.in_force(accepted)) < ROUTERS:
            fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
            watch.look(fleet)
        measured.seconds.append(fleet.clock.monotonic_seconds() - from_seconds)
        fleet.cut.clear()
        fleet.run(fleet.rng.uniform(1, 4), step_seconds=STEP_SECONDS)
    measured.reverts = watch.reverts
    return measured


async def measure_loopback() -> Measured:
    """Changes a document through seven routers with real links."""
    measured = Measured()
    async with LocalFleet(router_count=ROUTERS) as fleet:
        await asyncio.sleep(3)
        for number in range(12):
            answer = await fleet.set_data_centre(
                "south", "out" if number % 2 == 0 else "in"
            )
            started = time.monotonic()
            if answer.code != 200:
                raise RuntimeError(f"got status {answer.code}, allowed is 200")
            version = fleet.store.version
            while not _all_have(fleet, version):
                await asyncio.sleep(0.005)
            measured.seconds.append(time.monotonic() - started)
            await asyncio.sleep(0.3)
    return measured


def _all_have(fleet: LocalFleet, version: int) -> bool:
    for router in fleet.routers:
        entry = router.context.board.entry(keys.CONFIGURATION)
        if entry is None:
            return False
        if max(entry.value.versions.values()) < version:
            return False
    return True


def main() -> None:
    """Prints all scenarios."""
    logging.disable(logging.CRITICAL)
    for fault in FAULTS:
        simulate(fault, spread=False).show(fault, "each_polls")
        simulate(fault, spread=True).show(fault, "spread")
    asyncio.run(measure_loopback()).show("loopback", "spread")


if __name__ == "__main__":
    main()
