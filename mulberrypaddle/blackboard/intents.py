"""Requests for I/O that controllers put on the blackboard.

The driver executes them through adapters, which call `reply` exactly once, or
never if the process ends.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import Runner, RunnerReport, Vm
    from mulberrypaddle.core.groups import VmReport


class Priority(enum.IntEnum):
    """Priority of a platform call in the call budget; lower goes first."""

    # The membership record, whose epoch fences off earlier owners.
    FENCING = 0
    # Claims of idempotency keys.
    CLAIM = 1
    # Documents and runners that operators configure.
    CONFIG = 2
    # Groups and their VM claims.
    PLACEMENT = 3
    # Background cleanup that nothing waits for.
    STATUS = 4


class StoredObject:
    """An object of the platform's object store.

    Attributes:
        key: Name of the object; path components are separated by slashes.
        value: Content, at most a megabyte.
        version: Store-wide version of the last write; every write to any
            object increases it. Zero if the object is absent.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class Intent:
    """Base class of the I/O requests that a controller can make."""

    __slots__ = ()


class ReadObject(Intent):
    """Reads one object.

    Attributes:
        key: Key of the object.
        priority: Priority in the call budget.
        reply: Called with the object, which has version zero if absent.
    """

    __slots__ = ("key", "priority", "reply")

    def __init__(
        self,
        key: str,
        *,
        priority: Priority,
        reply: Callable[[Result[StoredObject, Problem]], None],
    ) -> None:
        self.key = key
        self.priority = priority
        self.reply = reply


class ListObjects(Intent):
    """Reads every object whose key starts with `prefix`.

    Attributes:
        prefix: Prefix of the keys.
        priority: Priority in the call budget.
        reply: Called with the objects.
        after_version: Only objects written after this version of the store
            are returned; zero returns all.
    """

    __slots__ = ("after_version", "prefix", "priority", "reply")

    def __init__(
        self,
        prefix: str,
        *,
        priority: Priority,
        reply: Callable[[Result[list[StoredObject], Problem]], None],
        after_version: int = 0,
    ) -> None:
        self.after_version = after_version
        self.prefix = prefix
        self.priority = priority
        self.reply = reply


class WriteObject(Intent):
    """Writes one object if its version is still `expected_version`.

    A reply of OUTCOME_UNKNOWN means that the write may have been applied:
    read the object before trying again. CONFLICT means that it was not.

    Attributes:
        key: Key of the object.
        value: New content.
        expected_version: Version that the object must have; zero if it must
            be absent.
        priority: Priority in the call budget.
        reply: Called with the written object.
    """

    __slots__ = ("expected_version", "key", "priority", "reply", "value")

    def __init__(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        priority: Priority,
        reply: Callable[[Result[StoredObject, Problem]], None],
    ) -> None:
        self.key = key
        self.value = value
        self.expected_version = expected_version
        self.priority = priority
        self.reply = reply


class DeleteObject(Intent):
    """Deletes one object if its version is still `expected_version`.

    Attributes:
        key: Key of the object.
        expected_version: Version that the object must have.
        priority: Priority in the call budget.
        reply: Called with the deleted object.
    """

    __slots__ = ("expected_version", "key", "priority", "reply")

    def __init__(
        self,
        key: str,
        *,
        expected_version: int,
        priority: Priority,
        reply: Callable[[Result[StoredObject, Problem]], None],
    ) -> None:
        self.key = key
        self.expected_version = expected_version
        self.priority = priority
        self.reply = reply


class SendToPeer(Intent):
    """Sends a message to another router.

    The message may be lost, delayed or reordered.

    Attributes:
        member_id: Id of the receiving router.
        message: The message, packed into the next envelope to that router.
    """

    __slots__ = ("member_id", "message")

    def __init__(self, member_id: str, message: Message) -> None:
        self.member_id = member_id
        self.message = message


class ReadRunnerReport(Intent):
    """Requests a runner's load report.

    Attributes:
        runner: The runner to ask.
        reply: Called with the report, or a problem if the runner does not
            answer.
    """

    __slots__ = ("reply", "runner")

    def __init__(
        self,
        runner: Runner,
        *,
        reply: Callable[[Result[RunnerReport, Problem]], None],
    ) -> None:
        self.runner = runner
        self.reply = reply


class VmOrder(enum.Enum):
    """Orders that a VM of a group accepts."""

    LOAD = "load"
    STOP = "stop"
    ROLE = "role"


class SendVmOrder(Intent):
    """Sends an order to one VM of a group.

    Attributes:
        address: `host:port` of the VM.
        order: Kind of the order.
        group_id: Group that the VM is to join or leave.
        generation: Generation of that group.
        fencing: Fencing token; VMs that check it refuse an order whose token
            is lower than the highest they have seen.
        argument: Model, adapter or role, depending on the order.
        vm_ids: All VMs of the group.
        valid_until_seconds: Monotonic time at which the sender's lease
            expires; the order must not be sent from then on.
        reply: Called with the generation that the VM confirms.
    """

    __slots__ = (
        "address",
        "argument",
        "fencing",
        "generation",
        "group_id",
        "order",
        "reply",
        "valid_until_seconds",
        "vm_ids",
    )

    def __init__(
        self,
        address: str,
        order: VmOrder,
        *,
        group_id: str,
        generation: int,
        fencing: int,
        argument: str = "",
        vm_ids: tuple[str, ...] = (),
        valid_until_seconds: float = float("inf"),
        reply: Callable[[Result[int, Problem]], None],
    ) -> None:
        self.address = address
        self.order = order
        self.group_id = group_id
        self.generation = generation
        self.fencing = fencing
        self.argument = argument
        self.vm_ids = vm_ids
        self.valid_until_seconds = valid_until_seconds
        self.reply = reply


class VmList:
    """The platform's list of VMs at one version.

    Attributes:
        version: Version of the list.
        vms: The VMs, or None if the reader already knew this version.
    """

    __slots__ = ("version", "vms")

    def __init__(self, version: int, vms: tuple[Vm, ...] | None) -> None:
        self.version = version
        self.vms = vms


class ReadVms(Intent):
    """Reads the platform's list of VMs.

    Attributes:
        known_version: Version that the reader already has; the VMs are left
            out of the reply if it is still current.
        reply: Called with the list.
    """

    __slots__ = ("known_version", "reply")

    def __init__(
        self,
        *,
        known_version: int,
        reply: Callable[[Result[VmList, Problem]], None],
    ) -> None:
        self.known_version = known_version
        self.reply = reply


class ReadVmReport(Intent):
    """Requests a VM's report, which names the generation that it serves.

    Attributes:
        vm_id: Id of the VM.
        address: `host:port` of the VM.
        reply: Called with the report.
    """

    __slots__ = ("address", "reply", "vm_id")

    def __init__(
        self,
        vm_id: str,
        *,
        address: str,
        reply: Callable[[Result[VmReport, Problem]], None],
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.reply = reply


class ReserveWeightLoad(Intent):
    """Reserves one load of model weights at the rate-limited weight store.

    A reply of LIMIT_REACHED means that no load is free at the moment.

    Attributes:
        load_id: Idempotency key of the reservation: asking twice with the
            same id reserves one load.
        model: Model whose weights are loaded.
        reply: Called with the seconds until the reservation expires.
    """

    __slots__ = ("load_id", "model", "reply")

    def __init__(
        self,
        load_id: str,
        *,
        model: str,
        reply: Callable[[Result[float, Problem]], None],
    ) -> None:
        self.load_id = load_id
        self.model = model
        self.reply = reply


class ReleaseWeightLoad(Intent):
    """Releases a reservation at the weight store after a load has ended.

    Attributes:
        load_id: Id under which the load was reserved.
    """

    __slots__ = ("load_id",)

    def __init__(self, load_id: str) -> None:
        self.load_id = load_id
