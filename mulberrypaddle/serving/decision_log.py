"""Log records of the serving path: every decision, in a bounded volume.

Every failure, refusal and state change is logged. Successes are sampled: one
in `SUCCESS_SAMPLE` is logged, with the number of those skipped before it, so
that the volume under load stays small.
"""

from __future__ import annotations

import logging
from typing import Any

_REQUESTS = logging.getLogger("mulberrypaddle.requests")
_BELIEFS = logging.getLogger("mulberrypaddle.beliefs")

# One success in this many is logged.
SUCCESS_SAMPLE = 25

# Longer ages, and unknown ones, are logged as this.
MAX_LOGGED_AGE_SECONDS = 999.0


class _SampleCounter:
    """Counts the successes that were skipped since the last logged one."""

    __slots__ = ("skipped",)

    def __init__(self) -> None:
        self.skipped = 0


_SAMPLE_COUNTER = _SampleCounter()


def log_request(event: str, *, request_id: str, **fields: Any) -> None:
    """Logs one decision about a request."""
    _REQUESTS.info(event, extra={"request": request_id, **fields})


def log_success(*, request_id: str, **fields: Any) -> None:
    """Logs one in `SUCCESS_SAMPLE` answered requests; counts the others."""
    if _SAMPLE_COUNTER.skipped + 1 < SUCCESS_SAMPLE:
        _SAMPLE_COUNTER.skipped += 1
        return
    skipped = _SAMPLE_COUNTER.skipped
    _SAMPLE_COUNTER.skipped = 0
    log_request("answered", request_id=request_id, left_out=skipped, **fields)


def loggable_age_seconds(age_seconds: float) -> float:
    """Returns an age as it is logged; it may be infinite."""
    return round(min(age_seconds, MAX_LOGGED_AGE_SECONDS), 3)


def log_state_change(event: str, **fields: Any) -> None:
    """Logs one change of the state of the fleet as this process sees it."""
    _BELIEFS.info(event, extra=fields)
