"""Property test: a duty has one owner, and no epoch is issued twice."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.lease_store import LinkState
from tests.support.lease_world import LeaseWorld, run_lease_world

if TYPE_CHECKING:
    from collections.abc import Callable

_STATES = tuple(state.value for state in LinkState)
_FAULTS = (*_STATES, "all_links", "restart", "release", "deaf", "hear")
# Age of the copy, by restore of the store.
_RESTORES = {"restore_new": 1.0, "restore_old": 4.0, "restore_first": 60.0}
_RESTORE_FAULTS = (
    *_RESTORES,
    "up",
    "silent",
    "late_writes",
    "restart",
    "release",
    "deaf",
)


def _make_steps(
    faults: tuple[str, ...], *, min_size: int
) -> st.SearchStrategy[list[tuple[str, int, float]]]:
    """Returns a strategy of faults, processes and pauses after the faults."""
    return st.lists(
        st.tuples(
            st.sampled_from(faults),
            st.sampled_from((0, *LeaseWorld.VMS)),
            st.sampled_from((0.05, 0.3, 0.7, 1.1, 2.0, 3.5)),
        ),
        min_size=min_size,
        max_size=20,
    )


def _inject_fault(world: LeaseWorld, fault: str, vm: int) -> None:
    """Injects a fault into the process of a VM; 0 stands for the owner's.

    A restore of the store concerns all processes.
    """
    if fault in _RESTORES:
        world.objects.restore(_RESTORES[fault])
        return
    process = world.owner() if vm == 0 else world.processes[vm]
    if process is None:
        return
    if fault in _STATES:
        process.store.state = LinkState(fault)
    elif fault == "all_links":
        for other in world.processes.values():
            other.store.state = process.store.state
    elif fault == "restart":
        world.start(process.vm)
    elif fault == "release":
        world.spawn_release(process)
    else:
        process.deaf = fault == "deaf"


def _make_scenario(
    steps: list[tuple[str, int, float]],
) -> Callable[[LeaseWorld], object]:
    """Returns a scenario that injects faults, each followed by a pause."""

    async def scenario(world: LeaseWorld) -> None:
        for fault, vm, pause_seconds in steps:
            _inject_fault(world, fault, vm)
            await asyncio.sleep(pause_seconds)
        for process in world.processes.values():
            process.store.state = LinkState.UP
            process.deaf = False
        # An outstanding late write may still end the next ownership.
        await asyncio.sleep(15.0)

    return scenario


class OwnershipTest(testtools.TestCase):
    """Fencing tokens and epochs of one duty."""

    @settings(max_examples=100)
    @given(_make_steps(_FAULTS, min_size=4), st.integers(0, 1000))
    def test_no_epoch_is_issued_twice(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        self._check(steps, seed)

    @settings(max_examples=200)
    @given(_make_steps(_RESTORE_FAULTS, min_size=8), st.integers(0, 1000))
    def test_no_epoch_is_issued_twice_across_restores(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        self._check(steps, seed)

    def _check(self, steps: list[tuple[str, int, float]], seed: int) -> None:
        """Checks the owners, fencing tokens and epochs of a scenario."""
        world = run_lease_world(_make_scenario(steps), seed=seed)
        self.assertEqual(sorted(set(world.acquired)), world.acquired)
        epochs = [epoch for _, epoch in world.issued]
        self.assertEqual(len(set(epochs)), len(epochs))
        by_fence = [epoch for _, epoch in sorted(world.issued)]
        self.assertEqual(sorted(epochs), by_fence)
        self.assertEqual(1, world.max_owners)
