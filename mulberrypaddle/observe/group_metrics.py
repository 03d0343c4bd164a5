"""Prometheus metrics of groups.

They show the replicas, the downtime and the stranded accelerators of each
service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import REGISTRY
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import FleetStatus

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from mulberrypaddle.blackboard import Board

_LABELS = ("service",)


class _GroupCollector(Collector):
    """Exports the fleet status of a blackboard at each scrape.

    Attributes:
        board: Blackboard to read; None before the router has started.
    """

    def __init__(self) -> None:
        self.board: Board | None = None

    def collect(self) -> Iterator[Metric]:
        """Yields one metric family for each column of the status."""
        status = FleetStatus((), {})
        if self.board is not None:
            status = self.board.latest(keys.FLEET_STATUS, status)
        serving = GaugeMetricFamily(
            "mulberrypaddle_groups_serving", "Groups that serve.", None, _LABELS
        )
        wanted = GaugeMetricFamily(
            "mulberrypaddle_groups_wanted", "Groups wanted.", None, _LABELS
        )
        stranded = GaugeMetricFamily(
            "mulberrypaddle_stranded_accelerators",
            "Idle accelerators that missing groups could use.",
            None,
            _LABELS,
        )
        downtime = CounterMetricFamily(
            "mulberrypaddle_group_downtime_seconds",
            "Group seconds missed since this router started.",
            None,
            _LABELS,
        )
        for name, row in status.services.items():
            serving.add_metric([name], row.serving)
            wanted.add_metric([name], row.wanted)
            stranded.add_metric([name], row.stranded_accelerators)
            downtime.add_metric([name], row.downtime_seconds)
        yield from (serving, wanted, stranded, downtime)


_COLLECTOR = _GroupCollector()
REGISTRY.register(_COLLECTOR)


def export_group_metrics(board: Board) -> None:
    """Exports the group metrics of a router from now on.

    Args:
        board: The router's blackboard. It replaces the previous one, since a
            process runs one router.
    """
    _COLLECTOR.board = board
