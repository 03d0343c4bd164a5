"""Tests of the ejection over seven routers."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.controllers.ejection.controller import MAX_EJECTED_SHARE
from mulberrypaddle.controllers.ejection.detector import Observation
from mulberrypaddle.controllers.ejection.outliers import (
    EJECT_SECONDS,
    OutlierDetector,
)
from tests.support.consecutive_failures import ConsecutiveFailures
from tests.support.failing_runners import FailingRunners, Fault, Tally


def run_fault(fault: Fault, *, never: bool = False, **options: int) -> Tally:
    """Runs a fault of six runners among 24 with outlier ejection or none."""
    return FailingRunners(
        seed=1,
        fault=fault,
        failing=options.get("failing", 6),
        runners=24,
        make_detector=(
            (lambda: ConsecutiveFailures(recovery_seconds=0.0))
            if never
            else OutlierDetector
        ),
    ).run(requests_per_second=100.0, fault_seconds=40.0, healed_seconds=20.0)


class FaultTest(testtools.TestCase):
    """Each fault costs less than without ejection."""

    def test_partial_failure(self) -> None:
        present = run_fault(Fault.PARTIAL).failed
        without = run_fault(Fault.PARTIAL, never=True).failed
        self.assertThat(present, matchers.LessThan(0.8 * without))

    def test_slow_runners(self) -> None:
        present = run_fault(Fault.SLOW).slow
        without = run_fault(Fault.SLOW, never=True).slow
        self.assertThat(present, matchers.LessThan(0.5 * without))

    def test_lost_runners(self) -> None:
        present = run_fault(Fault.LOST).failed
        without = run_fault(Fault.LOST, never=True).failed
        self.assertThat(present, matchers.LessThan(0.4 * without))

    def test_never_ejects_more_than_the_stated_share(self) -> None:
        tally = run_fault(Fault.LOST, failing=11)
        most = int(24 * MAX_EJECTED_SHARE)
        self.assertEqual(most, tally.peak_out)


class ReturnTest(testtools.TestCase):
    """A runner that was out comes back gradually."""

    def setUp(self) -> None:
        super().setUp()
        self.detector = OutlierDetector()
        for number in range(8):
            for _ in range(6):
                self._see(f"healthy-{number}", 0.0, failed=False)
        for _ in range(3):
            self._see("broken", 0.0, failed=True)

    def _see(self, runner_id: str, at: float, *, failed: bool) -> None:
        seen = Observation(runner_id, failed=failed, latency_seconds=0.3)
        self.detector.observe(seen, at)

    def _open_share(self, start: float) -> float:
        times = [start + 0.1 * step for step in range(40)]
        closed = 0
        for at in times:
            closed += "broken" in self.detector.ejected(at)
        return 1.0 - closed / len(times)

    def test_opens_for_a_growing_part_of_the_time(self) -> None:
        shares = []
        for stage in range(4):
            shares.append(self._open_share(EJECT_SECONDS + 4.0 * stage))
        self.assertEqual(0.0, self._open_share(0.0))
        self.assertEqual(sorted(shares), shares)
        self.assertThat(shares[0], matchers.LessThan(0.3))
        self.assertEqual(1.0, shares[-1])

    def test_failing_again_takes_it_out_for_longer(self) -> None:
        self._see("broken", EJECT_SECONDS + 5.0, failed=True)
        self.assertEqual(0.0, self._open_share(2 * EJECT_SECONDS + 10.0))

    def test_failures_of_all_runners_eject_none(self) -> None:
        for _ in range(9):
            for number in range(8):
                self._see(f"healthy-{number}", 1.0, failed=True)
        out = self.detector.ejected(1.0)
        self.assertThat(len(out), matchers.LessThan(5))
