"""Property test: no duty has two owners under any faults."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrypaddle.controllers.membership import MembershipOptions
from mulberrypaddle.core.invariants import InvariantBreachError
from tests.support.routers import Routers

_ROUTERS = 5
_FAULTS = (
    "kill",
    "start",
    "stop",
    "pause",
    "resume",
    "isolate",
    "cut_pair",
    "cut_store",
    "heal",
    "store_down",
    "store_up",
    "lose_answer",
    "loss",
    "slow",
)
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(_FAULTS),
        st.integers(1, _ROUTERS),
        st.sampled_from((0.1, 0.7, 2.0, 5.0, 9.0)),
    ),
    min_size=4,
    max_size=14,
)


def _inject_fault(fleet: Routers, fault: str, number: int) -> None:
    """Injects a fault into the router with a number, if it applies."""
    member_id = f"router-{number}"
    other_id = f"router-{number % _ROUTERS + 1}"
    running = member_id in fleet.nodes
    if fault == "kill":
        fleet.kill(member_id)
    elif fault == "start" and not running:
        fleet.start(member_id)
    elif fault == "stop" and running:
        fleet.nodes[member_id].stop()
    elif fault == "pause" and running:
        fleet.paused.add(member_id)
    elif fault == "resume":
        fleet.paused.clear()
    elif fault == "isolate":
        fleet.isolate(
            member_id, [f"router-{n}" for n in range(1, _ROUTERS + 1)]
        )
    elif fault == "cut_pair":
        fleet.cut.add(frozenset((member_id, other_id)))
    elif fault == "cut_store":
        fleet.store_cut.add(member_id)
    elif fault == "heal":
        heal(fleet)
    elif fault in ("store_down", "store_up"):
        fleet.store.down = fault == "store_down"
    elif fault == "lose_answer":
        fleet.store.lost_responses_remaining += 1
    elif fault == "loss":
        fleet.loss = 0.3
    elif fault == "slow":
        fleet.delay_seconds = 0.6


def heal(fleet: Routers) -> None:
    """Ends all faults."""
    fleet.cut.clear()
    fleet.store_cut.clear()
    fleet.paused.clear()
    fleet.store.down = False
    fleet.store.lost_responses_remaining = 0
    fleet.loss = 0.0
    fleet.delay_seconds = 0.005


def run_schedule(
    steps: list[tuple[str, int, float]],
    *,
    seed: int,
    options: MembershipOptions | None = None,
) -> Routers:
    """Runs a fleet under faults; each step checks for two owners."""
    fleet = Routers(_ROUTERS, seed=seed, options=options)
    fleet.run(10)
    for fault, number, duration_seconds in steps:
        _inject_fault(fleet, fault, number)
        fleet.run(duration_seconds)
    return fleet


def restart_all(fleet: Routers) -> None:
    """Ends the faults, restarts every router in turn and waits."""
    heal(fleet)
    for number in range(1, _ROUTERS + 1):
        fleet.kill(f"router-{number}")
        fleet.run(0.5)
        fleet.start(f"router-{number}")
        fleet.run(3)
    fleet.run(25)


class SingleOwnerTest(testtools.TestCase):
    """Random faults on five routers."""

    @settings(max_examples=14)
    @given(steps=_STEPS, seed=st.integers(0, 2**16))
    def test_no_duty_has_two_owners(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        fleet = run_schedule(steps, seed=seed)
        restart_all(fleet)
        self.assertEqual(1.0, fleet.owned_share[-1])

    def test_schedules_find_two_owners_without_the_wait(self) -> None:
        steps = [("isolate", number, 14.0) for number in (1, 2, 3)]
        run_schedule(steps, seed=1)
        self.assertRaises(
            InvariantBreachError,
            run_schedule,
            steps,
            seed=1,
            options=MembershipOptions(settle_wait=False),
        )
