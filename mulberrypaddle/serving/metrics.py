"""Prometheus metrics of one router; every label has few values."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.feed import Feed

# Bucket bounds of the histograms: latency targets of routes lie between 0.1 s
# and 0.5 s, deadlines between 1 s and 8 s.
LATENCY_BUCKETS_SECONDS = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
)

# A separate registry: the default one also collects metrics of the process,
# which costs time at each scrape.
REGISTRY = CollectorRegistry(auto_describe=False)

REQUESTS = Counter(
    "mulberrypaddle_serving_requests",
    "Requests that ended, by service and outcome.",
    ["service", "outcome"],
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "mulberrypaddle_serving_attempts",
    "Sends to runners that ended, by service and end.",
    ["service", "end"],
    registry=REGISTRY,
)
HEDGES = Counter(
    "mulberrypaddle_serving_hedges",
    "Second sends that were due, by service and what became of them: sent or "
    "why not, won by the second send, and sends cancelled since the other won.",
    ["service", "event"],
    registry=REGISTRY,
)
FIRST_BYTE_SECONDS = Histogram(
    "mulberrypaddle_serving_first_byte_seconds",
    "Time from a request's last byte to the first of its answer.",
    ["service"],
    buckets=LATENCY_BUCKETS_SECONDS,
    registry=REGISTRY,
)
ANSWER_SECONDS = Histogram(
    "mulberrypaddle_serving_answer_seconds",
    "Time from a request's last byte to the end of its answer.",
    ["service"],
    buckets=LATENCY_BUCKETS_SECONDS,
    registry=REGISTRY,
)
CONFIG_AGE_SECONDS = Histogram(
    "mulberrypaddle_serving_config_age_seconds",
    "Time since which a newer configuration may have been in the store, by "
    "which a request was judged.",
    buckets=LATENCY_BUCKETS_SECONDS,
    registry=REGISTRY,
)
LATE_ANSWERS = Counter(
    "mulberrypaddle_serving_late_answers",
    "Answers that missed the target of their route, by service and cause.",
    ["service", "cause"],
    registry=REGISTRY,
)
RANK_DECISIONS = Counter(
    "mulberrypaddle_serving_rank_decisions",
    "Decisions on requests that compete with other urgency ranks and ends of "
    "them, by service, rank (0 is the most urgent) and decision.",
    ["service", "rank", "decision"],
    registry=REGISTRY,
)
EARLY_LEAVES = Counter(
    "mulberrypaddle_serving_early_leaves",
    "Attempts that left a slow plain runner in time for another, by service.",
    ["service"],
    registry=REGISTRY,
)
CLOSED_CONNECTIONS = Counter(
    "mulberrypaddle_serving_closed_connections",
    "Connections of callers that were closed at a limit, by reason.",
    ["reason"],
    registry=REGISTRY,
)
ORDERS = Counter(
    "mulberrypaddle_serving_orders",
    "Orders to runners, by order and outcome.",
    ["order", "outcome"],
    registry=REGISTRY,
)
OPEN_GROUPS = Gauge(
    "mulberrypaddle_serving_groups_open",
    "Groups that serve, by model; told by the owner of the groups.",
    ["model"],
    registry=REGISTRY,
)
RUNNER_COUNTS = Gauge(
    "mulberrypaddle_serving_runner_counts",
    "Runners by service, data centre and kind: desired, ordered or present; "
    "told by the routers that decide on them.",
    ["service", "data_centre", "kind"],
    registry=REGISTRY,
)
_IN_FLIGHT = Gauge(
    "mulberrypaddle_serving_in_hand", "Requests in hand.", registry=REGISTRY
)
_WAITING = Gauge(
    "mulberrypaddle_serving_waiting",
    "Requests that wait for a runner.",
    registry=REGISTRY,
)
_QUARANTINES = Gauge(
    "mulberrypaddle_serving_quarantines",
    "Quarantines of prompt parts that crash runners.",
    registry=REGISTRY,
)
_RUNNERS_LEAVING = Gauge(
    "mulberrypaddle_serving_runners_leaving",
    "Listed runners that announced that they are leaving.",
    registry=REGISTRY,
)
_RUNNERS_PAUSED = Gauge(
    "mulberrypaddle_serving_runners_paused",
    "Runners that asked this router for a pause that has not ended.",
    registry=REGISTRY,
)
_ROUTERS = Gauge(
    "mulberrypaddle_serving_routers",
    "Routers that may be alive.",
    registry=REGISTRY,
)
_CONFIG = Gauge(
    "mulberrypaddle_serving_config_version",
    "Version of the configuration in force; 0 before the first.",
    registry=REGISTRY,
)
_BUFFERED_BYTES = Gauge(
    "mulberrypaddle_serving_buffered_bytes",
    "Bytes that are held of answers and of bodies of requests.",
    ["kind"],
    registry=REGISTRY,
)
_BUFFER_EVICTIONS = Gauge(
    "mulberrypaddle_serving_buffer_evictions",
    "Calls that were ended since they held most of too many bytes.",
    ["kind"],
    registry=REGISTRY,
)
_COPY_AGE = Gauge(
    "mulberrypaddle_serving_copy_age_seconds",
    "Time since which changes may be missing from the copy of a collection.",
    ["collection"],
    registry=REGISTRY,
)


def bind_gauges(board: Blackboard, feeds: Iterable[Feed]) -> None:
    """Makes the gauges read the state of a router at each scrape.

    Args:
        board: State of the router.
        feeds: Its copies of the store's collections.
    """
    for feed in feeds:
        _COPY_AGE.labels(feed.collection.value).set_function(feed.age_seconds)
    for kind, budget in (
        ("answers", board.answer_buffers),
        ("requests", board.request_buffers),
    ):
        _BUFFERED_BYTES.labels(kind).set_function(
            functools.partial(getattr, budget, "held_bytes")
        )
        _BUFFER_EVICTIONS.labels(kind).set_function(
            functools.partial(getattr, budget, "evicted_count")
        )
    _IN_FLIGHT.set_function(lambda: board.in_flight_count)
    _WAITING.set_function(
        lambda: sum(len(queue) for queue in board.queues.values())
    )
    _QUARANTINES.set_function(
        lambda: len(board.crash_attribution.quarantines())
    )
    _RUNNERS_LEAVING.set_function(
        lambda: sum(entry.announced_leaving for entry in board.view)
    )
    _RUNNERS_PAUSED.set_function(lambda: board.pauses.count(board.now()))
    _ROUTERS.set_function(lambda: board.live_routers)
    _CONFIG.set_function(
        lambda: board.config.version if board.config is not None else 0
    )
