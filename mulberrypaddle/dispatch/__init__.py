"""Decisions about one request: where, when, whether, and how often.

No module here does I/O. Begin at `choice`; the others answer for it whether a
runner is sound (`soundness`), how loaded it is (`loads`), whether it may be
sent once more (`retry_budget`), whether a cold one bears it (`cold_rate`) and
whether the request breaks runners (`crash_records`).
"""

from __future__ import annotations

from mulberrypaddle.dispatch.choice import Chooser, Demand
from mulberrypaddle.dispatch.cold_rate import ColdRate
from mulberrypaddle.dispatch.crash_records import CrashRecords
from mulberrypaddle.dispatch.loads import Loads
from mulberrypaddle.dispatch.patience import Patience, judge
from mulberrypaddle.dispatch.retry_budget import RetryBudget
from mulberrypaddle.dispatch.soundness import Soundness
from mulberrypaddle.dispatch.waiting import WaitingLine

__all__ = [
    "Chooser",
    "ColdRate",
    "CrashRecords",
    "Demand",
    "Loads",
    "Patience",
    "RetryBudget",
    "Soundness",
    "WaitingLine",
    "judge",
]
