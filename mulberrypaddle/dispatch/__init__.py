"""Dispatch of one request: runner choice, queueing, admission and retries.

No module here does I/O. Start with `Chooser`, which selects the runner of
a request. It relies on `Soundness` (health of the runners), `Loads`
(requests in flight at each runner) and `ColdRate` (rate limit of cold
runners).

`judge` decides whether a request may wait, `WaitingLine` in which order,
`RetryBudget` whether it may be retried, and `CrashRecords` whether it has
crashed too many runners. The module `stalls` decides when a silent stream
moves to another runner.
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
