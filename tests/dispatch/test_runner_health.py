"""Passive health checks of runners: how long failures count."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import RunnerHealth
from mulberrypaddle.dispatch.runner_health import (
    FIRST_EJECTION_SECONDS,
    SUSPICION_TTL_SECONDS,
    UNREACHABLE_SECONDS,
)


class RunnerHealthTest(testtools.TestCase):
    """Failing, unreachable and suspected runners."""

    def test_second_consecutive_failure_ejects(self) -> None:
        runner_health = RunnerHealth()
        runner_health.record_failure("r1", 0.0)
        self.assertFalse(runner_health.is_ejected("r1", 0.0))
        runner_health.record_failure("r1", 0.0)
        self.assertTrue(runner_health.is_ejected("r1", 0.0))
        self.assertFalse(runner_health.is_ejected("r1", FIRST_EJECTION_SECONDS))

    def test_report_of_a_peer_hides_no_own_finding(self) -> None:
        runner_health = RunnerHealth()
        runner_health.record_failure("r1", 0.0)
        runner_health.record_failure("r1", 0.0)
        runner_health.record_unreachable("r2", 0.0)
        runner_health.apply_peer_report(
            failing=["r1", "r2", "r3"], silent=[], now_seconds=0.1
        )
        self.assertEqual(["r1"], runner_health.locally_ejected(0.2))
        self.assertEqual(["r2"], runner_health.locally_unreachable(0.2))

    def test_success_ends_ejection_and_unreachability(self) -> None:
        runner_health = RunnerHealth()
        runner_health.record_failure("r1", 0.0)
        runner_health.record_failure("r1", 0.0)
        runner_health.record_unreachable("r1", 0.0)
        runner_health.record_success("r1")
        self.assertFalse(runner_health.is_ejected("r1", 0.0))
        self.assertFalse(runner_health.is_unreachable("r1", 0.0))

    def test_unreachable_until_the_entry_of_a_dead_runner_expires(self) -> None:
        runner_health = RunnerHealth()
        runner_health.record_unreachable("r1", 0.0)
        self.assertTrue(
            runner_health.is_unreachable("r1", UNREACHABLE_SECONDS - 1)
        )
        self.assertFalse(
            runner_health.is_unreachable("r1", UNREACHABLE_SECONDS)
        )

    def test_reports_of_other_routers_are_not_repeated(self) -> None:
        runner_health = RunnerHealth()
        runner_health.apply_peer_report(
            failing=["r1"], silent=["r2"], now_seconds=0.0
        )
        self.assertTrue(runner_health.is_ejected("r1", 0.5))
        self.assertEqual([], runner_health.locally_ejected(0.5))
        self.assertEqual([], runner_health.locally_unreachable(0.5))

    def test_runner_unreachable_for_another_router_is_only_suspected(
        self,
    ) -> None:
        # A router whose own network link is saturated or down reaches no
        # runner.
        runner_health = RunnerHealth()
        runner_health.apply_peer_report(
            failing=[], silent=["r2"], now_seconds=0.0
        )
        self.assertFalse(runner_health.is_unreachable("r2", 0.1))
        self.assertTrue(runner_health.is_suspected("r2", 0.1))

    def test_suspicion_expires_without_a_new_observation(self) -> None:
        runner_health = RunnerHealth()
        runner_health.mark_suspected("h1", 1.0)
        runner_health.mark_suspected("h1", 0.5)
        self.assertTrue(
            runner_health.is_suspected("h1", 1.0 + SUSPICION_TTL_SECONDS / 2)
        )
        self.assertFalse(
            runner_health.is_suspected("h1", 1.0 + SUSPICION_TTL_SECONDS)
        )

    def test_records_of_removed_runners_are_dropped(self) -> None:
        runner_health = RunnerHealth()
        runner_health.record_unreachable("r1", 0.0)
        runner_health.mark_suspected("r1", 0.0)
        runner_health.retain_only([])
        self.assertFalse(runner_health.is_unreachable("r1", 0.0))
        self.assertFalse(runner_health.is_suspected("r1", 0.0))
