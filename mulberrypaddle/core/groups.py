"""Groups of VMs, the VM claims of a fabric domain, and reports of VMs."""

from __future__ import annotations

import enum

from mulberrypaddle.core.invariants import Invariant, check


class GroupState(enum.Enum):
    """State in the lifecycle of a group."""

    # It has VMs and waits for a load reservation at the weight store.
    FORMING = "forming"
    # Its VMs load the model.
    LOADING = "loading"
    # It accepts requests.
    SERVING = "serving"
    # It finishes its requests in flight and accepts no new ones.
    DRAINING = "draining"
    # It waits until its VMs confirm that they have stopped.
    STOPPING = "stopping"
    # It has no VMs.
    DOWN = "down"


class Group:
    """One replica of a model on VMs of one fabric domain.

    Attributes:
        group_id: Stable id, which is also the runner's id.
        service: Name of the service that it serves.
        model: Model that this generation loads.
        generation: Number of the current set of VMs; increases whenever a
            group of the domain is formed.
        fencing: Fencing token of the orders that follow from its state.
        vm_ids: Ids of its VMs; the first one is the head, which answers
            requests. Empty while down.
        state: State in its lifecycle.
        reason: Why it is in this state.
        since_seconds: Wall time at which it entered the state.
        down_since_seconds: Wall time at which it stopped serving, or zero
            while it serves.
        retiring: Whether it is removed instead of being formed again.
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
        """Returns an independent copy of the group."""
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
    """All groups and VM claims of one fabric domain, stored as one object.

    Attributes:
        name: Name of the fabric domain.
        groups: Groups by group id.
        held: VMs that may still execute for an ended generation: by VM id,
            the fencing token of the stop order whose confirmation frees it.
        counter: Last number issued as generation or fencing token; never
            decreases.
        epoch: Membership epoch of the owner that wrote the object.
        write_id: Id of the write, by which the writer recognises it when it
            reads the object back.
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
        """Returns an independent copy of the domain and its groups."""
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

    def issue_number(self) -> int:
        """Issues the next number for a generation or a fencing token."""
        self.counter += 1
        return self.counter

    def claimed_vm_ids(self) -> set[str]:
        """Returns the ids of the VMs that are in a group or still held."""
        claimed_vm_ids = set(self.held)
        for group in self.groups.values():
            claimed_vm_ids.update(group.vm_ids)
        return claimed_vm_ids


class StoredDomain:
    """A domain as stored in the object API.

    Attributes:
        domain: The parsed content; readers must not change it.
        version: Version of the object.
        value: The serialized content.
    """

    __slots__ = ("domain", "value", "version")

    def __init__(self, domain: Domain, version: int, value: bytes) -> None:
        self.domain = domain
        self.version = version
        self.value = value


class VmPhase(enum.Enum):
    """Phase of a VM's work for its group."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class VmReport:
    """A VM's report on its own state.

    Attributes:
        vm_id: Id of the VM.
        incarnation: Id that changes with every start of the VM.
        generation: Generation of the group that it works for; zero if idle.
        phase: Whether it is idle, loading weights or ready.
        member_vm_ids: VMs of its group that it sees ready at its generation.
        running_requests: Number of requests in flight.
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


def check_vm_claims(domain: Domain) -> None:
    """Checks the invariant that no VM of a fabric domain is claimed twice.

    Args:
        domain: Domain whose groups and held VMs are checked.
    """
    seen: dict[str, str] = dict.fromkeys(domain.held, "held")
    for group in domain.groups.values():
        _check_group_claims(domain, group, seen)


def _check_group_claims(
    domain: Domain, group: Group, seen: dict[str, str]
) -> None:
    """Checks one group's VMs and adds them to `seen`.

    Args:
        domain: Domain of the group.
        group: Group to check.
        seen: Claimant of each VM so far by VM id: a group id or "held".
    """
    for vm_id in group.vm_ids:
        check(
            vm_id not in seen,
            Invariant.VM_IN_ONE_GROUP,
            f"{vm_id} of {domain.name} is claimed by {group.group_id} "
            f"and {seen.get(vm_id)}",
        )
        seen[vm_id] = group.group_id
