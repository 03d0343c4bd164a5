"""Log lines of the serving path: every decision, in a bounded volume.

Failures, refusals and changes of belief are written whole. Successes are
summed, and one in some is written, so that the volume under load stays small.
"""

from __future__ import annotations

import logging
from typing import Any

_REQUESTS = logging.getLogger("mulberrypaddle.requests")
_BELIEFS = logging.getLogger("mulberrypaddle.beliefs")

# One calm success in this many is written.
SUCCESS_SAMPLE = 25


class _Sampler:
    """Counts successes between two written ones."""

    __slots__ = ("left_out",)

    def __init__(self) -> None:
        self.left_out = 0


_SAMPLER = _Sampler()


def log_request(event: str, *, request_id: str, **fields: Any) -> None:
    """Writes one decision about a request."""
    _REQUESTS.info(event, extra={"request": request_id, **fields})


def log_success(*, request_id: str, **fields: Any) -> None:
    """Writes or counts a request that was answered whole."""
    if _SAMPLER.left_out + 1 < SUCCESS_SAMPLE:
        _SAMPLER.left_out += 1
        return
    left_out = _SAMPLER.left_out
    _SAMPLER.left_out = 0
    log_request("answered", request_id=request_id, left_out=left_out, **fields)


def log_belief(event: str, **fields: Any) -> None:
    """Writes one change of what the process believes."""
    _BELIEFS.info(event, extra=fields)
