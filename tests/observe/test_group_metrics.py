"""Tests of the group metrics."""

from __future__ import annotations

import prometheus_client
import testtools
from testtools import matchers

from mulberrypaddle.blackboard import Board, keys
from mulberrypaddle.blackboard.values import FleetStatus, ServiceStatus
from mulberrypaddle.observe.group_metrics import export_group_metrics


class GroupMetricsTest(testtools.TestCase):
    """Samples that a scrape returns."""

    def test_scrape_shows_the_fleet_status(self) -> None:
        board = Board()
        row = ServiceStatus(
            "hints",
            wanted=3,
            serving=2,
            downtime_seconds=7.5,
            stranded_accelerators=16,
        )
        board.write(
            keys.FLEET_STATUS,
            FleetStatus((), {"hints": row}),
            writer="fleet_status",
            now_seconds=1.0,
        )
        export_group_metrics(board)
        self.addCleanup(export_group_metrics, Board())
        text = prometheus_client.generate_latest().decode()
        for line in (
            'mulberrypaddle_groups_serving{service="hints"} 2.0',
            'mulberrypaddle_groups_wanted{service="hints"} 3.0',
            'mulberrypaddle_stranded_accelerators{service="hints"} 16.0',
            'mulberrypaddle_group_downtime_seconds_total{service="hints"} 7.5',
        ):
            self.assertThat(text, matchers.Contains(line))
