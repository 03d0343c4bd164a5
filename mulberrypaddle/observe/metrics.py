"""Prometheus metrics of one router process.

Each label has a bounded set of values.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

from mulberrypaddle.core import invariants

if TYPE_CHECKING:
    from mulberrypaddle.controllers.stream_memory import StreamMemory

# Service label of a request to no configured service.
NO_SERVICE = "none"

# Outcome label of a request with a complete answer.
ANSWERED = "answered"

REQUESTS = Counter(
    "mulberrypaddle_requests",
    "Requests that ended, by service and kind of outcome.",
    ["service", "outcome"],
)
IN_FLIGHT = Gauge("mulberrypaddle_requests_in_hand", "Requests in hand.")
DISCARDED_BYTES = Counter(
    "mulberrypaddle_late_answer_bytes",
    "Answer bytes of given-up attempts that were dropped.",
)

_ANSWER_BYTES = Gauge(
    "mulberrypaddle_answer_bytes", "Answer bytes held and reserved."
)
_ANSWER_PEAK_BYTES = Gauge(
    "mulberrypaddle_answer_peak_bytes", "Most answer bytes held and reserved."
)
_READER_PEAK_BYTES = Gauge(
    "mulberrypaddle_reader_peak_bytes", "Most answer bytes for one reader."
)
_PARKED_ANSWERS = Gauge(
    "mulberrypaddle_answers_parked", "Answers cut back to their offset."
)
_STALLED_READERS = Gauge(
    "mulberrypaddle_readers_stalled", "Readers ended for taking nothing."
)
_INVARIANT_BREACHES = Gauge(
    "mulberrypaddle_invariant_breaches",
    "Breaches of an invariant since the start.",
    ["invariant"],
)


def _export_breach_counts() -> None:
    """Makes the gauge of each invariant read its breach count at a scrape."""
    for invariant in invariants.Invariant:
        _INVARIANT_BREACHES.labels(invariant.value).set_function(
            functools.partial(invariants.breach_count, invariant)
        )


def count_early_refusal(outcome: str) -> None:
    """Counts a request that was refused before its service was known.

    Args:
        outcome: Value of the outcome label.
    """
    REQUESTS.labels(NO_SERVICE, outcome).inc()


def export_memory_metrics(memory: StreamMemory) -> None:
    """Makes the answer gauges read a router's stream memory at a scrape."""
    _ANSWER_BYTES.set_function(lambda: memory.charged_bytes)
    _ANSWER_PEAK_BYTES.set_function(lambda: memory.peak_bytes)
    _READER_PEAK_BYTES.set_function(lambda: memory.peak_reader_bytes)
    _PARKED_ANSWERS.set_function(lambda: memory.sheds)
    _STALLED_READERS.set_function(lambda: memory.stalls)


_export_breach_counts()
