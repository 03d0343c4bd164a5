"""Property test: seven routers keep the limits under random faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.support.serving_fleet import ServingFleet

if TYPE_CHECKING:
    from mulberrypaddle.controllers.credits import Protections

STEP_SECONDS = 0.05
# Time until a restarted runner answers again: longer than routers take to find
# it silent, and longer than a grant stays valid.
DOWN_SECONDS = 6.0
FAULTS = ("loss", "cut", "pause", "kill", "leave", "restart", "store", "part")


class FaultRun:
    """Runs a fleet under load and faults.

    Attributes:
        rng: Source of all random choices.
        fleet: The routers and runners.
        outage: Whether the store is down.
    """

    def __init__(self, seed: int, protections: Protections | None) -> None:
        self.rng = random.Random(seed)
        self.fleet = ServingFleet(
            7,
            contracts={"museum": 30, "cards": 6},
            protections=protections,
            seed=seed,
            report_lag_seconds=0.3,
        )
        self.outage = False
        self._next_member = 7

    def run(self, duration_seconds: float, *, share: float = 0.4) -> None:
        """Runs the fleet under load.

        Args:
            duration_seconds: How long to run, in simulated time.
            share: Probability that a router is offered a request in a step.
        """
        for _ in range(int(duration_seconds / STEP_SECONDS)):
            self.fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
            for member_id in list(self.fleet.nodes):
                if self.rng.random() > share:
                    continue
                self.fleet.submit_request(
                    member_id,
                    self.rng.choice(("museum", "museum", "cards")),
                    run_seconds=self.rng.choice((0.1, 0.4, 2.0)),
                )

    def inject_fault(self, fault: str) -> None:
        """Injects one fault."""
        fleet = self.fleet
        victim = self.rng.choice(sorted(fleet.nodes))
        if fault == "loss":
            fleet.loss = 0.2
        elif fault == "cut":
            other = self.rng.choice(sorted(fleet.nodes))
            fleet.cut.add(frozenset((victim, other)))
        elif fault == "pause":
            fleet.paused.add(victim)
        elif fault == "restart":
            fake = fleet.runners[self.rng.choice(sorted(fleet.runners))]
            fake.restart(fleet.clock.monotonic_seconds(), DOWN_SECONDS)
        elif fault == "store":
            # No lease is renewed and no member changes during the outage.
            self.outage = True
            for membership in fleet.memberships.values():
                membership.renews = False
        elif fault == "kill":
            fleet.kill(victim)
            fleet.start(victim)
            fleet.memberships[victim].renews = not self.outage
        elif fault == "leave":
            self._replace(victim)
        else:
            self._partition(victim)

    def heal(self) -> None:
        """Ends all faults that do not end by themselves."""
        fleet = self.fleet
        fleet.loss = 0.0
        fleet.cut.clear()
        fleet.paused.clear()
        self.outage = False
        for member_id in sorted(fleet.nodes):
            if member_id in fleet.member_ids:
                fleet.memberships[member_id].renews = True
        for member_id in sorted(fleet.nodes):
            if member_id not in fleet.member_ids:
                # A removed router restarts under its new membership.
                fleet.kill(member_id)
                fleet.start(member_id)
                fleet.change_members([*fleet.member_ids, member_id])
        for member_id in sorted(set(fleet.member_ids) - set(fleet.nodes)):
            self._replace(member_id)

    def _replace(self, victim: str) -> None:
        """Kills a router; a new member replaces it unless the store is down."""
        fleet = self.fleet
        fleet.kill(victim)
        if self.outage:
            return
        fresh = f"r{self._next_member}"
        self._next_member += 1
        remaining = [name for name in fleet.member_ids if name != victim]
        fleet.change_members([*remaining, fresh])
        fleet.start(fresh)

    def _partition(self, victim: str) -> None:
        """Partitions a router from all others, which then remove it."""
        fleet = self.fleet
        if len(fleet.member_ids) < 5 or victim not in fleet.member_ids:
            return
        for other in fleet.nodes:
            if other != victim:
                fleet.cut.add(frozenset((victim, other)))
        if self.outage:
            return
        fleet.memberships[victim].renews = False
        fleet.change_members(
            [name for name in fleet.member_ids if name != victim]
        )


@st.composite
def _schedules(draw: st.DrawFn) -> list[tuple[str, float]]:
    """Draws faults, each with the seconds until the next one."""
    count = draw(st.integers(3, 6))
    schedule = []
    for _ in range(count):
        fault = draw(st.sampled_from((*FAULTS, "heal")))
        schedule.append((fault, draw(st.sampled_from((0.5, 1.5, 5.0, 9.0)))))
    return schedule


def run_with_faults(
    seed: int,
    schedule: list[tuple[str, float]],
    protections: Protections | None = None,
) -> FaultRun:
    """Runs a schedule of faults; a breach of an invariant raises."""
    fault_run = FaultRun(seed, protections)
    fault_run.run(4.0)
    for fault, duration_seconds in schedule:
        if fault == "heal":
            fault_run.heal()
        else:
            fault_run.inject_fault(fault)
        fault_run.run(duration_seconds)
    fault_run.heal()
    return fault_run


class CreditsTest(testtools.TestCase):
    """Capacity limits hold under faults, and service resumes afterwards."""

    # A run takes seconds, so a failing example is not shrunk.
    @settings(max_examples=6, phases=(Phase.explicit, Phase.generate))
    @given(st.integers(0, 1_000_000), _schedules())
    def test_limits_hold_under_faults(
        self, seed: int, schedule: list[tuple[str, float]]
    ) -> None:
        fault_run = run_with_faults(seed, schedule)
        fault_run.run(16.0, share=0.1)
        fleet = fault_run.fleet
        fleet.completed.clear()
        fault_run.run(4.0)
        self.assertTrue(fleet.completed.get("museum"), fleet.refused)
        self.assertTrue(fleet.completed.get("cards"), fleet.refused)
