"""When copies of the store are checked."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.serving import check_schedule
from mulberrypaddle.serving.check_schedule import CheckSchedule
from mulberrypaddle.serving.peer_exchange import HEARTBEAT_INTERVAL_SECONDS
from mulberrypaddle.serving.relays import MAX_RELAY_INTERVAL_SECONDS
from mulberrypaddle.serving.router import MAX_REPORT_DELAY_SECONDS

BOUNDS_SECONDS = (2.0, 3.0, 4.0, 5.0)


class CheckScheduleTest(testtools.TestCase):
    """Ages, timeouts and pauses, and their sum."""

    def test_two_checks_fit_into_the_bound(self) -> None:
        # The first check is lost with its connection. Rounds of the periodic
        # work start the checks, and other routers' reports may be late.
        for bound_seconds in BOUNDS_SECONDS:
            for seed in range(50):
                schedule = CheckSchedule(bound_seconds, rng=random.Random(seed))
                total = schedule.limit_seconds() + MAX_REPORT_DELAY_SECONDS
                total += HEARTBEAT_INTERVAL_SECONDS + schedule.begin()
                schedule.end(total, succeeded=False)
                self.assertTrue(schedule.is_due(total, total))
                total += HEARTBEAT_INTERVAL_SECONDS
                self.assertLess(total, bound_seconds)

    def test_reports_of_a_watcher_keep_all_others_from_checking(self) -> None:
        # Watcher, relay and the relay of another data centre.
        for bound_seconds in BOUNDS_SECONDS:
            watcher = CheckSchedule(bound_seconds, is_watcher=lambda: True)
            other = CheckSchedule(bound_seconds)
            interval_seconds = (
                HEARTBEAT_INTERVAL_SECONDS
                if bound_seconds < 4.0
                else MAX_RELAY_INTERVAL_SECONDS
            )
            age_seconds = watcher.limit_seconds() + HEARTBEAT_INTERVAL_SECONDS
            if bound_seconds > 2.0:
                age_seconds += interval_seconds
            age_seconds += interval_seconds
            self.assertLess(age_seconds, other.limit_seconds())

    def test_pauses_grow_up_to_the_age_of_a_check(self) -> None:
        schedule = CheckSchedule(3.0)
        for pause_seconds in (0.0, 0.1, 0.2, 0.4, 0.8, 1.26, 1.26):
            schedule.begin()
            schedule.end(0.0, succeeded=False)
            self.assertTrue(schedule.is_due(60.0, pause_seconds + 0.01))
            if pause_seconds:
                self.assertFalse(schedule.is_due(60.0, pause_seconds - 0.01))

    def test_rate_of_a_large_fleet_without_the_store_is_bounded(self) -> None:
        routers = 1_900
        schedule = CheckSchedule(3.0, routers=lambda: routers)
        for _ in range(20):
            schedule.begin()
            schedule.end(0.0, succeeded=False)
        longest_seconds = routers * check_schedule.PAUSE_SECONDS_PER_ROUTER
        self.assertFalse(schedule.is_due(60.0, longest_seconds - 0.1))
        self.assertTrue(schedule.is_due(60.0, longest_seconds))

    def test_timeouts_grow_with_failures_and_start_again(self) -> None:
        schedule = CheckSchedule(2.0)
        timeouts = []
        for _ in range(3):
            timeouts.append(schedule.begin())
            schedule.end(0.0, succeeded=False)
        schedule.begin()
        schedule.end(0.0, succeeded=True)
        timeouts.append(schedule.begin())
        self.assertEqual([0.4, 0.8, 1.5, 0.4], timeouts)

    def test_only_one_check_runs_at_a_time(self) -> None:
        schedule = CheckSchedule()
        self.assertTrue(schedule.is_due(5.0, 0.0))
        schedule.begin()
        self.assertFalse(schedule.is_due(5.0, 0.0))
