"""The blackboard: shared state and I/O requests of one router's controllers."""

from __future__ import annotations

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.board import Board, Entry, Key
from mulberrypaddle.blackboard.intents import (
    DeleteObject,
    Intent,
    ListObjects,
    OrderRunner,
    Priority,
    ReadObject,
    ReadReport,
    ReadVmReport,
    ReadVms,
    ReleaseLoad,
    ReserveLoad,
    RunnerOrder,
    SendToPeer,
    StoredObject,
    VmList,
    WriteObject,
)

__all__ = [
    "Board",
    "DeleteObject",
    "Entry",
    "Intent",
    "Key",
    "ListObjects",
    "OrderRunner",
    "Priority",
    "ReadObject",
    "ReadReport",
    "ReadVmReport",
    "ReadVms",
    "ReleaseLoad",
    "ReserveLoad",
    "RunnerOrder",
    "SendToPeer",
    "StoredObject",
    "VmList",
    "WriteObject",
    "keys",
]
