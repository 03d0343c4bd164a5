"""Wishes for I/O that controllers leave on the blackboard.

Adapters carry them out and call `reply` once, or never if the process ends.
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
    """Order in which platform calls share the call budget; lower first."""

    FENCING = 0
    CLAIM = 1
    CONFIG = 2
    PLACEMENT = 3
    STATUS = 4


class StoredObject:
    """An object as the platform keeps it.

    Attributes:
        key: Name, with slashes.
        value: Content, at most a megabyte.
        version: Rises with every write in the whole store; zero if absent.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class Intent:
    """Base of everything that a controller can ask the adapters for."""

    __slots__ = ()


class ReadObject(Intent):
    """Reads one object; an absent object comes back with version zero."""

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

    With `after_version` only those that were written later than that version
    of the store come back.
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

    A reply of OUTCOME_UNKNOWN means that the write may have happened: read
    back before trying again. CONFLICT means that it did not happen.
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
    """Deletes one object if its version is still `expected_version`."""

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
    """Sends a message to another router; it may be lost, late or crossed."""

    __slots__ = ("member_id", "message")

    def __init__(self, member_id: str, message: Message) -> None:
        self.member_id = member_id
        self.message = message


class ReadReport(Intent):
    """Asks a runner for its load; a silent runner comes back as a problem."""

    __slots__ = ("reply", "runner")

    def __init__(
        self,
        runner: Runner,
        *,
        reply: Callable[[Result[RunnerReport, Problem]], None],
    ) -> None:
        self.runner = runner
        self.reply = reply


class RunnerOrder(enum.Enum):
    """Orders that a VM of a group takes."""

    LOAD = "load"
    STOP = "stop"
    ROLE = "role"


class OrderRunner(Intent):
    """Gives an order to one VM of a group.

    Attributes:
        address: `host:port` of the VM.
        order: What to do.
        group_id: Group that the VM is to join or leave.
        generation: Generation of that group.
        fencing: Fencing number; VMs that check refuse lower ones.
        argument: Model, adapter or role, depending on the order.
        vm_ids: All VMs of the group.
        valid_until_seconds: Monotonic time from which the order must not be
            sent any more, since its sender's lease has lapsed.
        reply: Called with the confirmed generation.
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
        order: RunnerOrder,
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
        vms: The VMs, or None if the version was known already.
    """

    __slots__ = ("version", "vms")

    def __init__(self, version: int, vms: tuple[Vm, ...] | None) -> None:
        self.version = version
        self.vms = vms


class ReadVms(Intent):
    """Reads the platform's list of VMs unless `known_version` is current."""

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
    """Asks one VM which generation it executes for.

    Attributes:
        vm_id: Which VM.
        address: `host:port` of the VM.
        reply: Called with what the VM says.
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


class ReserveLoad(Intent):
    """Asks the weight store for one load; LIMIT_REACHED means not now.

    Attributes:
        load_id: Names the load; asking twice reserves once.
        model: What is loaded.
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


class ReleaseLoad(Intent):
    """Tells the weight store that a load ended, well or not."""

    __slots__ = ("load_id",)

    def __init__(self, load_id: str) -> None:
        self.load_id = load_id
