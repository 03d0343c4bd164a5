"""Metrics of usage reports; they exist only where reports are asked for."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from prometheus_client import Gauge

from mulberrypaddle.serving.metrics import REGISTRY

if TYPE_CHECKING:
    from mulberrypaddle.duties.usage_reporter import UsageReporter


@functools.cache
def _gauges() -> tuple[Gauge, Gauge, Gauge]:
    """Returns the gauges, which are registered at the first call."""
    return (
        Gauge(
            "mulberrypaddle_serving_usage_window",
            "Last window whose report this router got accepted; -1 if none.",
            registry=REGISTRY,
        ),
        Gauge(
            "mulberrypaddle_serving_usage_age_seconds",
            "Time since the end of that window; -1 if there is none.",
            registry=REGISTRY,
        ),
        Gauge(
            "mulberrypaddle_serving_usage_token",
            "Fencing token under which this router holds the duty; 0 if not.",
            registry=REGISTRY,
        ),
    )


def bind_usage_gauges(reporter: UsageReporter) -> None:
    """Makes the gauges read the state of the reporter at each scrape."""
    window, age, token = _gauges()
    window.set_function(lambda: reporter.last_reported_window)
    age.set_function(reporter.last_report_age_seconds)
    token.set_function(lambda: reporter.token)
