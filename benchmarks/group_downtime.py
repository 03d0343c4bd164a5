"""Measures group downtime and stranded accelerators over a simulated day.

Run as `python -m benchmarks.group_downtime [SEED]`. 60 replicas of four VMs
run in three data centres. The present behaviour is that of one router's
controllers on fake VMs. In the baseline each group waits until its own VMs are
back, and groups load in the order in which they became complete. The bound on
the downtime is the detection time plus the time of one load for each group
that broke.
"""

from __future__ import annotations

import heapq
import random
import sys

from mulberrypaddle.controllers.groups.contact import (
    CALL_INTERVAL_SECONDS,
    CALL_TIMEOUT_SECONDS,
)
from mulberrypaddle.core.fleet import VmState
from mulberrypaddle.core.groups import GroupState
from tests.support.vm_world import VmWorld

DAY_SECONDS = 86_400.0
REPLICAS = 60
VMS_PER_GROUP = 4
ACCELERATORS = 8
LOAD_SECONDS = 120.0
LOAD_SLOTS = 6
VM_LOSSES = 24
VM_RESTARTS = 24
RESTART_SECONDS = 60.0
DOMAIN_OUTAGE_SECONDS = 3_600.0
STEP_SECONDS = 0.5
SETTLE_SECONDS = 60.0
DETECTION_SECONDS = CALL_INTERVAL_SECONDS + 2 * CALL_TIMEOUT_SECONDS

_TRANSIENT_STATES = frozenset(
    {
        GroupState.FORMING,
        GroupState.LOADING,
        GroupState.STOPPING,
        GroupState.DRAINING,
    }
)


def make_domains() -> dict[str, int]:
    """Returns the VMs of each fabric domain: 270, of which 240 are needed."""
    domains = {}
    for data_centre in "abc":
        for number in range(5):
            domains[f"{data_centre}-{number}"] = 17
        domains[f"{data_centre}-5"] = 5
    return domains


class Outage:
    """A period in which one VM is down.

    Attributes:
        vm_id: Id of the VM.
        start_seconds: When the VM stops, since the start of the day.
        end_seconds: When it has restarted, without a model.
        listed: Whether the platform's list shows the VM as gone meanwhile.
    """

    __slots__ = ("start_seconds", "listed", "end_seconds", "vm_id")

    def __init__(
        self,
        vm_id: str,
        start_seconds: float,
        end_seconds: float,
        *,
        listed: bool,
    ) -> None:
        self.vm_id = vm_id
        self.start_seconds = start_seconds
        self.end_seconds = end_seconds
        self.listed = listed


def make_outages(seed: int) -> list[Outage]:
    """Returns VM losses, VM restarts and the loss of a domain, by start."""
    rng = random.Random(seed)
    domains = make_domains()
    vm_ids = []
    for domain, count in domains.items():
        for number in range(count):
            vm_ids.append(f"{domain}.{number:02d}")
    outages = []
    for _ in range(VM_LOSSES):
        begin_seconds = rng.uniform(300, DAY_SECONDS - 7_200)
        length_seconds = rng.uniform(1_200, 3_600)
        outages.append(
            Outage(
                rng.choice(vm_ids),
                begin_seconds,
                begin_seconds + length_seconds,
                listed=True,
            )
        )
    for _ in range(VM_RESTARTS):
        begin_seconds = rng.uniform(300, DAY_SECONDS - 7_200)
        outages.append(
            Outage(
                rng.choice(vm_ids),
                begin_seconds,
                begin_seconds + RESTART_SECONDS,
                listed=False,
            )
        )
    begin_seconds = rng.uniform(20_000, 60_000)
    for vm_id in vm_ids:
        if vm_id.startswith("b-2."):
            outages.append(
                Outage(
                    vm_id,
                    begin_seconds,
                    begin_seconds + DOMAIN_OUTAGE_SECONDS,
                    listed=False,
                )
            )
    return _without_overlaps(sorted(outages, key=lambda o: o.start_seconds))


def _without_overlaps(outages: list[Outage]) -> list[Outage]:
    """Drops outages less than 600 s after the VM's previous one ended."""
    last_end_seconds: dict[str, float] = {}
    kept = []
    for outage in outages:
        if (
            outage.start_seconds
            < last_end_seconds.get(outage.vm_id, 0.0) + 600.0
        ):
            continue
        last_end_seconds[outage.vm_id] = outage.end_seconds
        kept.append(outage)
    return kept


class DayTotals:
    """Downtime and idle accelerators over one day.

    Attributes:
        downtime_seconds: Seconds out of service, summed over the groups.
        stranded_seconds: Seconds for which accelerators were idle although
            groups lacked VMs, summed over the accelerators.
        failures: Number of times that a group went out of service unplanned.
    """

    __slots__ = ("failures", "downtime_seconds", "stranded_seconds")

    def __init__(self) -> None:
        self.failures = 0
        self.downtime_seconds = 0.0
        self.stranded_seconds = 0.0

    def add(
        self,
        elapsed_seconds: float,
        *,
        serving: int,
        loading: int,
        live_vms: int,
    ) -> None:
        """Adds a period in which the state does not change.

        Args:
            elapsed_seconds: Length of the period.
            serving: Number of groups that serve.
            loading: Number of groups that load their model.
            live_vms: Number of VMs that run.
        """
        missing = max(0, REPLICAS - serving)
        self.downtime_seconds += missing * elapsed_seconds
        idle_vms = live_vms - VMS_PER_GROUP * (serving + loading)
        wanted_vms = VMS_PER_GROUP * max(0, missing - loading)
        stranded_vms = max(0, min(idle_vms, wanted_vms))
        self.stranded_seconds += stranded_vms * ACCELERATORS * elapsed_seconds


def run_controllers(outages: list[Outage]) -> DayTotals:
    """Runs the controllers of one router over the day."""
    world = VmWorld(
        ["r1"],
        domains=make_domains(),
        replicas=REPLICAS,
        vms_per_group=VMS_PER_GROUP,
        slots=LOAD_SLOTS,
        load_seconds=1.0,
        list_lag_seconds=30.0,
    )
    while len(world.groups()) < REPLICAS:
        world.run_unchecked(1.0, step_seconds=STEP_SECONDS)
    for agent in world.agents.values():
        agent.load_seconds = LOAD_SECONDS
    totals = DayTotals()
    start_seconds = world.fleet.clock.monotonic_seconds()
    events: list[tuple[float, int, Outage, bool]] = []
    for number, outage in enumerate(outages):
        heapq.heappush(events, (outage.start_seconds, number, outage, False))
        heapq.heappush(
            events, (outage.end_seconds, number + 10_000, outage, True)
        )
    settled_from_seconds = 0.0
    while True:
        now_seconds = world.fleet.clock.monotonic_seconds() - start_seconds
        if now_seconds >= DAY_SECONDS:
            return totals
        while events and events[0][0] <= now_seconds:
            _, _, outage, is_over = heapq.heappop(events)
            _apply_outage(world, outage, is_over)
            settled_from_seconds = now_seconds + SETTLE_SECONDS
        step_seconds = STEP_SECONDS
        if now_seconds >= settled_from_seconds and not _is_busy(world):
            next_seconds = events[0][0] if events else DAY_SECONDS
            step_seconds = max(STEP_SECONDS, next_seconds - now_seconds)
        serving_before = len(world.groups())
        totals.add(
            step_seconds,
            serving=_count_intact_groups(world),
            loading=len(world.groups(GroupState.LOADING)),
            live_vms=sum(not a.dead for a in world.agents.values()),
        )
        world.fleet.clock.advance(step_seconds)
        world.fleet.turn()
        totals.failures += max(0, serving_before - len(world.groups()))


def _is_busy(world: VmWorld) -> bool:
    """Returns whether a group is between two stable states."""
    for domain in world.domains().values():
        for group in domain.groups.values():
            if group.state in _TRANSIENT_STATES:
                return True
    return False


def _count_intact_groups(world: VmWorld) -> int:
    """Counts groups whose VMs all run, whatever the router knows of them."""
    count = 0
    for group in world.groups():
        intact = True
        for vm_id in group.vm_ids:
            agent = world.agents[vm_id]
            if agent.dead or agent.generation != group.generation:
                intact = False
        count += intact
    return count


def _apply_outage(world: VmWorld, outage: Outage, is_over: bool) -> None:
    """Starts an outage, or ends it if `is_over` is set."""
    if is_over:
        world.return_vm(outage.vm_id)
        return
    world.agents[outage.vm_id].kill()
    if outage.listed:
        world.set_state(outage.vm_id, VmState.GONE)


def run_baseline(outages: list[Outage]) -> DayTotals:
    """Simulates groups that wait for their own VMs.

    A group whose VMs are all back loads its model; groups load in the order
    in which they became complete, `LOAD_SLOTS` at a time.
    """
    group_of_vm, spare_vms = _baseline_groups()
    missing: dict[str, int] = dict.fromkeys(group_of_vm.values(), 0)
    queue: list[str] = []
    loading: dict[str, int] = {}
    down: dict[str, bool] = {}
    totals = DayTotals()
    live_vms = len(group_of_vm) + spare_vms
    last_seconds = 0.0
    events: list[tuple[float, int, str, str]] = []
    number = 0
    for outage in outages:
        number += 2
        events.append((outage.start_seconds, number, "lost", outage.vm_id))
        events.append((outage.end_seconds, number + 1, "back", outage.vm_id))
    heapq.heapify(events)
    while events:
        at_seconds, _, kind, name = heapq.heappop(events)
        if at_seconds > DAY_SECONDS:
            break
        totals.add(
            at_seconds - last_seconds,
            serving=REPLICAS - sum(down.values()),
            loading=len(loading),
            live_vms=live_vms,
        )
        last_seconds = at_seconds
        if kind == "loaded":
            group, _, load_number = name.partition("#")
            if loading.get(group) == int(load_number):
                del loading[group]
                down[group] = False
        else:
            live_vms += 1 if kind == "back" else -1
            home_group = group_of_vm.get(name)
            if home_group is not None and kind == "lost":
                totals.failures += not down.get(home_group, False)
                down[home_group] = True
                missing[home_group] += 1
                loading.pop(home_group, None)
                if home_group in queue:
                    queue.remove(home_group)
            if home_group is not None and kind == "back":
                missing[home_group] -= 1
                if missing[home_group] == 0:
                    queue.append(home_group)
        while queue and len(loading) < LOAD_SLOTS:
            group = queue.pop(0)
            number += 1
            loading[group] = number
            heapq.heappush(
                events,
                (
                    at_seconds + LOAD_SECONDS,
                    number,
                    "loaded",
                    f"{group}#{number}",
                ),
            )
    return totals


def _baseline_groups() -> tuple[dict[str, str], int]:
    """Returns the group of each VM in one, and the number of spare VMs."""
    group_of_vm = {}
    spare_vms = 0
    for domain, count in make_domains().items():
        for number in range(count):
            group = number // VMS_PER_GROUP
            if count < 17 or group >= count // VMS_PER_GROUP:
                spare_vms += 1
                continue
            group_of_vm[f"{domain}.{number:02d}"] = f"{domain}/{group}"
    return group_of_vm, spare_vms


def main(seed: int) -> None:
    """Measures the baseline and the controllers on the same outages."""
    outages = make_outages(seed)
    baseline = run_baseline(outages)
    present = run_controllers(outages)
    bound_seconds = present.failures * (DETECTION_SECONDS + LOAD_SECONDS)
    print(f"seed={seed} vms=270 replicas={REPLICAS} outages={len(outages)}")
    for name, totals in (("baseline", baseline), ("present", present)):
        print(
            f"{name}_group_downtime_seconds={totals.downtime_seconds:.0f} "
            f"{name}_stranded_accelerator_seconds="
            f"{totals.stranded_seconds:.0f} {name}_breaks={totals.failures}"
        )
    print(f"bound_group_downtime_seconds={bound_seconds:.0f}")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
