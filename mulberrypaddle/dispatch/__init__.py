"""Dispatch of one request: runner choice, queueing, admission and retries.

No module here does I/O. Start with `choice`, which selects the runner for a
request. It relies on `soundness` (which runners are healthy), `loads` (requests
in flight at each runner) and `cold_rate` (the rate limit of cold runners).
`patience` and `waiting` decide whether and in which order requests wait,
`stalls` when a silent stream moves to another runner, `retry_budget` whether
one may be retried and `crash_records` whether it crashes its runners.
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
