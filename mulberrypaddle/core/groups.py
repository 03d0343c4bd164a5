"""Groups of VMs, the claims of one fabric domain, and what a VM reports."""

from __future__ import annotations

import enum

from mulberrypaddle.core.invariants import Invariant, check


class GroupState(enum.Enum):
    """Where a group stands in its life."""

    FORMING = "forming"
    LOADING = "loading"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"
    DOWN = "down"


class Group:
    """One replica of a model on VMs of one fabric domain.

    Attributes:
        group_id: Stable name; the runner's id.
        service: Service that it serves.
        model: Model of this generation.
        generation: Rises with every new set of VMs in the domain.
        fencing: Fencing number of the orders that its state calls for.
        vm_ids: Its VMs; the first one answers requests. Empty while down.
        state: Where it stands.
        reason: Why it is in this state.
        since_seconds: Wall time at which the state began.
        down_since_seconds: Wall time since which it does not serve, or zero.
        retiring: Whether it is not to be formed again.
    """

    __slots__ = (
        "down_since_seconds",
        "fencing",
        "generation",
        "group_id",
        "model",
        "reason",
        "retiring",
        "service",
        "since_seconds",
        "state",
        "vm_ids",
    )

    def __init__(
        self,
        group_id: str,
        *,
        service: str,
        model: str,
        generation: int,
        fencing: int,
        vm_ids: tuple[str, ...],
        state: GroupState,
        reason: str,
        since_seconds: float,
        down_since_seconds: float,
        retiring: bool = False,
    ) -> None:
        self.group_id = group_id
        self.service = service
        self.model = model
        self.generation = generation
        self.fencing = fencing
        self.vm_ids = vm_ids
        self.state = state
        self.reason = reason
        self.since_seconds = since_seconds
        self.down_since_seconds = down_since_seconds
        self.retiring = retiring

    def copy(self) -> Group:
        """Returns a group that can be changed without changing this one."""
        return Group(
            self.group_id,
            service=self.service,
            model=self.model,
            generation=self.generation,
            fencing=self.fencing,
            vm_ids=self.vm_ids,
            state=self.state,
            reason=self.reason,
            since_seconds=self.since_seconds,
            down_since_seconds=self.down_since_seconds,
            retiring=self.retiring,
        )


class Domain:
    """All groups and VM claims of one fabric domain; one stored object.

    Attributes:
        name: The fabric domain.
        groups: By group id.
        held: VMs that may still execute for an ended generation, with the
            fencing number of the stop that frees them.
        counter: Source of generations and fencing numbers; only rises.
        epoch: Membership epoch of the owner that wrote it.
        write_id: Names the write, to recognise it when read back.
    """

    __slots__ = ("counter", "epoch", "groups", "held", "name", "write_id")

    def __init__(
        self,
        name: str,
        *,
        groups: dict[str, Group] | None = None,
        held: dict[str, int] | None = None,
        counter: int = 0,
        epoch: int = 0,
        write_id: str = "",
    ) -> None:
        self.name = name
        self.groups = groups or {}
        self.held = held or {}
        self.counter = counter
        self.epoch = epoch
        self.write_id = write_id

    def copy(self) -> Domain:
        """Returns a domain that can be changed without changing this one."""
        groups = {}
        for group in self.groups.values():
            groups[group.group_id] = group.copy()
        return Domain(
            self.name,
            groups=groups,
            held=dict(self.held),
            counter=self.counter,
            epoch=self.epoch,
            write_id=self.write_id,
        )

    def next_number(self) -> int:
        """Returns a new generation or fencing number."""
        self.counter += 1
        return self.counter

    def claimed(self) -> set[str]:
        """Returns the VMs that are not free for a new group."""
        claimed = set(self.held)
        for group in self.groups.values():
            claimed.update(group.vm_ids)
        return claimed


class StoredDomain:
    """A domain as the object API keeps it.

    Attributes:
        domain: The content; readers must not change it.
        version: Version of the object.
        value: The object's bytes.
    """

    __slots__ = ("domain", "value", "version")

    def __init__(self, domain: Domain, version: int, value: bytes) -> None:
        self.domain = domain
        self.version = version
        self.value = value


class VmPhase(enum.Enum):
    """What a VM does for its group."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class VmReport:
    """What a VM says of itself.

    Attributes:
        vm_id: Which VM.
        incarnation: Changes with every start of the VM.
        generation: Generation that it executes for; zero if idle.
        phase: What it does.
        member_vm_ids: VMs of its group that it sees ready at its generation.
        running_requests: Requests in hand.
    """

    __slots__ = (
        "generation",
        "incarnation",
        "member_vm_ids",
        "phase",
        "running_requests",
        "vm_id",
    )

    def __init__(
        self,
        vm_id: str,
        *,
        incarnation: str,
        generation: int,
        phase: VmPhase,
        member_vm_ids: tuple[str, ...] = (),
        running_requests: int = 0,
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.generation = generation
        self.phase = phase
        self.member_vm_ids = member_vm_ids
        self.running_requests = running_requests


def check_claims(domain: Domain) -> None:
    """Asserts that no VM is claimed twice in a fabric domain."""
    seen: dict[str, str] = dict.fromkeys(domain.held, "held")
    for group in domain.groups.values():
        _check_group(domain, group, seen)


def _check_group(domain: Domain, group: Group, seen: dict[str, str]) -> None:
    for vm_id in group.vm_ids:
        check(
            vm_id not in seen,
            Invariant.VM_IN_ONE_GROUP,
            f"{vm_id} of {domain.name} is claimed by {group.group_id} "
            f"and {seen.get(vm_id)}",
        )
        seen[vm_id] = group.group_id
