"""Measures what groups cost one router, by the size of its region.

Run as `python -m benchmarks.group_control_cost`. One router is stepped as
often as in production. The other members exist only in the member list, so
that the router owns its share of the region's duties. Prints one line for each
size; the last one is a region of the planned fleet.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import ReadVmReport, SendToPeer
from mulberrypaddle.controllers.groups.codec import PREFIX, encode_domain
from mulberrypaddle.core.groups import Domain, Group, GroupState
from mulberrypaddle.core.rendezvous import Duty, owner_of
from mulberrypaddle.driver import STEP_SECONDS
from tests.support.vm_world import SERVICE, VmWorld

if TYPE_CHECKING:
    from mulberrypaddle.blackboard import Intent
    from mulberrypaddle.node import Node

SIZES = ((7, 15), (25, 50), (100, 140), (211, 278))
VMS_PER_GROUP = 4
GROUPS_PER_DOMAIN = 4
WARM_SECONDS = 8.0
RUN_SECONDS = 20.0


class TrafficCounts:
    """Counts of the router's outgoing traffic.

    Attributes:
        reports: Number of calls that read a VM's report.
        peer_bytes: Size of the messages to other routers, without framing.
    """

    __slots__ = ("peer_bytes", "reports")

    def __init__(self) -> None:
        self.reports = 0
        self.peer_bytes = 0


def serving_domain(world: VmWorld, name: str, owner: str) -> Domain:
    """Returns a fabric domain whose groups all serve.

    The VMs of `world` are set to the generation of their group.
    """
    domain = Domain(name, epoch=1, write_id=f"{owner}/1/1")
    for index in range(GROUPS_PER_DOMAIN):
        generation = domain.issue_number()
        vm_ids = []
        for offset in range(VMS_PER_GROUP):
            vm_ids.append(f"{name}.{index * VMS_PER_GROUP + offset:02d}")
        group = Group(
            f"{SERVICE}.{name}.{generation}",
            service=SERVICE,
            model="m1",
            generation=generation,
            fencing=generation,
            vm_ids=tuple(vm_ids),
            state=GroupState.SERVING,
            reason="all_vms_ready",
            since_seconds=0.0,
            down_since_seconds=0.0,
        )
        domain.groups[group.group_id] = group
        for vm_id in vm_ids:
            world.agents[vm_id].generation = generation
            world.agents[vm_id].vm_ids = group.vm_ids
    return domain


def make_world(members: int, domains: int, counts: TrafficCounts) -> VmWorld:
    """Returns a world with one router, which is one of many members.

    Args:
        members: Number of routers in the member list.
        domains: Number of fabric domains in the region.
        counts: Receives the counts of the router's traffic.
    """
    member_ids = [f"r{number}" for number in range(1, members + 1)]
    vms_by_domain = {}
    for number in range(domains):
        vms_by_domain[f"{'abc'[number % 3]}-{number}"] = (
            VMS_PER_GROUP * GROUPS_PER_DOMAIN
        )
    world = VmWorld(
        ["r1"], domains=vms_by_domain, replicas=domains * GROUPS_PER_DOMAIN
    )
    for name in vms_by_domain:
        owner = owner_of(Duty("fabric_domain", name), member_ids) or ""
        value = encode_domain(serving_domain(world, name, owner))
        world.fleet.store.write(PREFIX + name, value, expected_version=0)
    world.change_members(member_ids)
    outside = world.fleet.outside
    send = world.fleet.send

    def count_outside(intent: Intent, node: Node) -> None:
        counts.reports += isinstance(intent, ReadVmReport)
        if outside is not None:
            outside(intent, node)

    def count_send(sender: Node, intent: SendToPeer) -> None:
        counts.peer_bytes += intent.message.ByteSize()
        send(sender, intent)

    world.fleet.outside = count_outside
    world.fleet.send = count_send  # type: ignore[method-assign]
    return world


def measure(members: int, domains: int) -> None:
    """Prints the figures of one size."""
    tracemalloc.start()
    counts = TrafficCounts()
    world = make_world(members, domains, counts)
    before_bytes = tracemalloc.get_traced_memory()[0]
    world.run_unchecked(WARM_SECONDS, step_seconds=STEP_SECONDS)
    held_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    counts.reports = 0
    counts.peer_bytes = 0
    reads = world.fleet.store.reads
    # The fake membership of the test is not part of the cost.
    world.memberships["r1"].lease_seconds = 10 * RUN_SECONDS
    world.run_unchecked(STEP_SECONDS, step_seconds=STEP_SECONDS)
    world.fleet.nodes["r1"].controllers.pop(0)
    start_cpu_seconds = time.process_time()
    world.run_unchecked(RUN_SECONDS, step_seconds=STEP_SECONDS)
    cpu_seconds = time.process_time() - start_cpu_seconds
    print(
        f"members={members} groups={domains * GROUPS_PER_DOMAIN} "
        f"core_share={cpu_seconds / RUN_SECONDS:.4f} "
        f"vm_calls_per_second={counts.reports / RUN_SECONDS:.2f} "
        f"peer_bytes_per_second={counts.peer_bytes / RUN_SECONDS:.0f} "
        f"store_reads_per_second="
        f"{(world.fleet.store.reads - reads) / RUN_SECONDS:.2f} "
        f"held_kilobytes={held_bytes / 1000:.0f}"
    )


def main() -> None:
    """Measures every size."""
    for members, domains in SIZES:
        measure(members, domains)


if __name__ == "__main__":
    main()
