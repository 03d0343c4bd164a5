"""Dispatch of one request: runner choice, queueing, admission and retries.

No module here does I/O. Start with `RunnerChooser`, which selects the runner of
a request. It relies on `RunnerHealth` (health of the runners), `InFlightCounts`
(requests in flight at each runner), `RunnerPauses` (runners
that asked for a pause), `IdleConnections` (runners that a connection is kept
to) and `ColdRateLimiter` (rate limit of cold runners).

`decide_wait` decides whether a request may wait, `WaitQueue` in which order,
`RetryBudget` whether it may be retried, `HedgePolicy` when a second send runs
beside the first one, `rank_competition` what more urgent requests of other
routers come before it, `CrashRecords` whether it has crashed too many runners,
and `CrashAttribution` whether a part of its prompt crashes each runner. The
module `stalls` decides when a silent stream moves to another runner,
`stop_schedule` what is sent to runners during a planned stop.
"""

from __future__ import annotations

from mulberrypaddle.dispatch.cold_rate import ColdRateLimiter
from mulberrypaddle.dispatch.crash_attribution import CrashAttribution
from mulberrypaddle.dispatch.crash_records import CrashRecords
from mulberrypaddle.dispatch.hedging import HedgePolicy
from mulberrypaddle.dispatch.idle_connections import IdleConnections
from mulberrypaddle.dispatch.in_flight import InFlightCounts
from mulberrypaddle.dispatch.pauses import RunnerPauses
from mulberrypaddle.dispatch.retry_budget import RetryBudget
from mulberrypaddle.dispatch.runner_choice import (
    RunnerChooser,
    RunnerRequirements,
)
from mulberrypaddle.dispatch.runner_health import RunnerHealth
from mulberrypaddle.dispatch.wait_decision import WaitDecision, decide_wait
from mulberrypaddle.dispatch.wait_queue import WaitQueue

__all__ = [
    "RunnerChooser",
    "ColdRateLimiter",
    "CrashAttribution",
    "CrashRecords",
    "RunnerRequirements",
    "HedgePolicy",
    "IdleConnections",
    "InFlightCounts",
    "WaitDecision",
    "RetryBudget",
    "RunnerHealth",
    "RunnerPauses",
    "WaitQueue",
    "decide_wait",
]
