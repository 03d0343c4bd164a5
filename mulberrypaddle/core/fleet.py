"""VMs, data centres, groups, runners and services."""

from __future__ import annotations

import enum


class DataCentreState(enum.Enum):
    """Whether a data centre may receive new work."""

    IN = "in"
    OUT = "out"


class VmState(enum.Enum):
    """State of a VM as the platform's lagging list tells it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Vm:
    """A machine that can be a member of a group.

    Attributes:
        vm_id: Name given by the platform.
        address: `host:port`, by IP number.
        data_centre: Where the VM stands.
        fabric_domain: Fast network that the VM is attached to.
        accelerators: Accelerators in the VM.
        state: Live, leaving or gone.
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
    """A model or plain service that callers can name.

    Attributes:
        name: Name in the caller's path.
        kind: Engine or plain.
        model: Model that an engine loads; empty for a plain service.
        replicas: How many groups are wanted; zero for a plain service.
        vms_per_group: VMs in one replica.
        value: Order in the load queue; higher goes first.
        checks_fencing: Whether its runners refuse old fencing numbers.
        slots: Most requests in hand at one of its groups once warm.
        memory_tokens: Most prompt plus output tokens in hand at a group.
        cold_slots: Requests that a group bears directly after a start.
        version: Object version in the platform's object API.
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
    """An endpoint that executes requests: a whole group or a plain VM.

    Attributes:
        runner_id: Stable name; the group's id for an engine.
        service: Service that it belongs to.
        kind: Engine or plain.
        address: `host:port` of the endpoint, by IP number.
        data_centre: Where it stands.
        fabric_domain: Fast network that its VMs share.
        generation: Generation of its group; zero for a plain runner.
        vm_ids: Its VMs.
        slots: Most requests in hand once warm.
        memory_tokens: Most prompt plus output tokens in hand once warm.
        cold_slots: Requests that it bears directly after a start.
        leaving: Whether it must receive no new work.
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
    """What a runner says of itself; it lags behind the truth.

    Attributes:
        runner_id: Which runner.
        incarnation: Changes with every start of the runner.
        generation: Group generation that the runner confirms.
        member_vm_ids: VMs that confirm this generation.
        reported_at_seconds: Monotonic time of this router at receipt, less
            the age that the report states.
        uptime_seconds: Time since the runner started.
        running_requests: Requests in hand.
        held_tokens: Prompt plus output tokens in hand.
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
