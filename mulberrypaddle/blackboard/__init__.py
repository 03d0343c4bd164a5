"""The blackboard: shared state and I/O requests of one router's controllers."""

from __future__ import annotations

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.board import Board, Entry, Key
from mulberrypaddle.blackboard.intents import (
    DeleteObject,
    Intent,
    ListObjects,
    Priority,
    ReadObject,
    ReadRunnerReport,
    ReadVmReport,
    ReadVms,
    ReleaseWeightLoad,
    ReserveWeightLoad,
    SendToPeer,
    SendVmOrder,
    StoredObject,
    VmList,
    VmOrder,
    WriteObject,
)

__all__ = [
    "Board",
    "DeleteObject",
    "Entry",
    "Intent",
    "Key",
    "ListObjects",
    "SendVmOrder",
    "Priority",
    "ReadObject",
    "ReadRunnerReport",
    "ReadVmReport",
    "ReadVms",
    "ReleaseWeightLoad",
    "ReserveWeightLoad",
    "VmOrder",
    "SendToPeer",
    "StoredObject",
    "VmList",
    "WriteObject",
    "keys",
]
