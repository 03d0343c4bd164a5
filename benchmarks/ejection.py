"""Compares no ejection, ejection on consecutive failures and of outliers.

Each of seven routers evaluates only its own attempts, and no request is
retried. On healthy runners, too, five in a thousand requests fail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.ejection.outliers import OutlierDetector
from tests.support.consecutive_failures import ConsecutiveFailures
from tests.support.failing_runners import FailingRunners, Fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers.ejection.detector import Detector

FAILING_COUNTS = (6, 18)


def _no_ejection() -> Detector:
    """Returns a detector whose ejections last no time."""
    return ConsecutiveFailures(recovery_seconds=0.0)


def _short_recovery() -> Detector:
    """Returns a detector that probes an ejected runner after 10 s."""
    return ConsecutiveFailures(recovery_seconds=10.0)


DETECTORS: dict[str, Callable[[], Detector]] = {
    "none": _no_ejection,
    "consecutive_60s": ConsecutiveFailures,
    "consecutive_10s": _short_recovery,
    "outliers": OutlierDetector,
}


def main() -> None:
    """Measures each detector with each fault and number of failing runners."""
    for failing in FAILING_COUNTS:
        for fault in Fault:
            if fault is Fault.NONE and failing != FAILING_COUNTS[0]:
                continue
            for name, make_detector in DETECTORS.items():
                tally = FailingRunners(
                    seed=1,
                    fault=fault,
                    failing=failing,
                    make_detector=make_detector,
                ).run(fault_seconds=80.0, healed_seconds=40.0)
                print(
                    f"fault={fault.value} failing={failing}/60 way={name} "
                    f"requests={tally.requests} failed={tally.failed} "
                    f"slow={tally.slow} "
                    f"healthy_ejected_share={tally.healthy_out:.4f} "
                    f"peak_ejected={tally.peak_out}"
                )


if __name__ == "__main__":
    main()
