"""VMs, data centres, runners and services."""

from __future__ import annotations

import enum


class DataCentreState(enum.Enum):
    """Whether a data centre may receive new work."""

    IN = "in"
    OUT = "out"


class VmState(enum.Enum):
    """State of a VM in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ServiceKind(enum.Enum):
    """Kind of a service's runners: model engines or plain HTTP services."""

    ENGINE = "engine"
    PLAIN = "plain"


class Vm:
    """A VM with accelerators that can be a member of a group.

    Attributes:
        vm_id: Id assigned by the platform.
        address: `host:port` of the VM, with an IP address.
        data_centre: Name of the VM's data centre.
        fabric_domain: Fast network that the VM is attached to; a group does
            not span several of them.
        accelerators: Number of accelerators in the VM.
        state: Whether the VM is live, leaving or gone.
    """

    __slots__ = (
        "accelerators",
        "address",
        "data_centre",
        "fabric_domain",
        "state",
        "vm_id",
    )

    def __init__(
        self,
        vm_id: str,
        *,
        address: str,
        data_centre: str,
        fabric_domain: str,
        accelerators: int = 8,
        state: VmState = VmState.LIVE,
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.data_centre = data_centre
        self.fabric_domain = fabric_domain
        self.accelerators = accelerators
        self.state = state


class Service:
    """A model or plain service that callers can address.

    Attributes:
        name: Name of the service in the request path.
        kind: Whether its runners are model engines or plain HTTP services.
        model: Model that an engine loads; empty for a plain service.
        replicas: Desired number of groups; zero for a plain service.
        vms_per_group: Number of VMs in one group.
        value: Priority in the queue for loads of weights; higher goes first.
        checks_fencing: Whether its runners refuse outdated fencing tokens.
        slots: Maximum requests in flight at one group once it is warm.
        memory_tokens: Maximum prompt plus output tokens of the requests in
            flight at one group.
        cold_slots: Maximum requests in flight at one group right after its
            start.
        version: Version of the stored object; zero if it is not stored.
    """

    __slots__ = (
        "checks_fencing",
        "cold_slots",
        "kind",
        "memory_tokens",
        "model",
        "name",
        "replicas",
        "slots",
        "value",
        "version",
        "vms_per_group",
    )

    def __init__(
        self,
        name: str,
        *,
        kind: ServiceKind,
        model: str = "",
        replicas: int = 0,
        vms_per_group: int = 1,
        value: int = 1,
        checks_fencing: bool = True,
        slots: int = 16,
        memory_tokens: int = 262_144,
        cold_slots: int = 2,
        version: int = 0,
    ) -> None:
        self.name = name
        self.kind = kind
        self.model = model
        self.replicas = replicas
        self.vms_per_group = vms_per_group
        self.value = value
        self.checks_fencing = checks_fencing
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.cold_slots = cold_slots
        self.version = version


class Runner:
    """An endpoint that executes requests: a group of VMs or a plain service.

    Attributes:
        runner_id: Stable id; the group's id for an engine.
        service: Name of the service that it belongs to.
        kind: Whether it is a model engine or a plain HTTP service.
        address: `host:port` of the endpoint, with an IP address.
        data_centre: Name of its data centre.
        fabric_domain: Fast network that its VMs share; empty for a plain
            runner.
        generation: Generation of its group; zero for a plain runner.
        vm_ids: Ids of its VMs; may be empty for a plain runner.
        slots: Maximum requests in flight once it is warm.
        memory_tokens: Maximum prompt plus output tokens of the requests in
            flight once it is warm.
        cold_slots: Maximum requests in flight right after its start.
        leaving: Whether it is being drained and must receive no new requests.
    """

    __slots__ = (
        "address",
        "cold_slots",
        "data_centre",
        "fabric_domain",
        "generation",
        "kind",
        "leaving",
        "memory_tokens",
        "runner_id",
        "service",
        "slots",
        "vm_ids",
    )

    def __init__(
        self,
        runner_id: str,
        *,
        service: str,
        kind: ServiceKind,
        address: str,
        data_centre: str,
        fabric_domain: str = "",
        generation: int = 0,
        vm_ids: tuple[str, ...] = (),
        slots: int = 16,
        memory_tokens: int = 262_144,
        cold_slots: int = 2,
        leaving: bool = False,
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.kind = kind
        self.address = address
        self.data_centre = data_centre
        self.fabric_domain = fabric_domain
        self.generation = generation
        self.vm_ids = vm_ids
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.cold_slots = cold_slots
        self.leaving = leaving


class RunnerReport:
    """A runner's load report, which lags behind its actual state.

    Attributes:
        runner_id: Id of the runner.
        incarnation: Id that changes with every start of the runner.
        generation: Generation of the group that the runner confirms; zero
            for a plain runner.
        member_vm_ids: Ids of the VMs that confirm this generation.
        reported_at_seconds: Monotonic time of this router at receipt, minus
            the age that the report states.
        uptime_seconds: Time since the runner started.
        running_requests: Number of requests in flight at the runner.
        held_tokens: Prompt plus output tokens of the requests in flight.
        ready: Whether the model is loaded.
    """

    __slots__ = (
        "generation",
        "held_tokens",
        "incarnation",
        "member_vm_ids",
        "ready",
        "reported_at_seconds",
        "runner_id",
        "running_requests",
        "uptime_seconds",
    )

    def __init__(
        self,
        runner_id: str,
        *,
        incarnation: str,
        generation: int = 0,
        member_vm_ids: tuple[str, ...] = (),
        reported_at_seconds: float,
        uptime_seconds: float,
        running_requests: int,
        held_tokens: int,
        ready: bool = True,
    ) -> None:
        self.runner_id = runner_id
        self.incarnation = incarnation
        self.generation = generation
        self.member_vm_ids = member_vm_ids
        self.reported_at_seconds = reported_at_seconds
        self.uptime_seconds = uptime_seconds
        self.running_requests = running_requests
        self.held_tokens = held_tokens
        self.ready = ready
