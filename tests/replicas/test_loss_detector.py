"""Tests when a runner counts as lost."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.loss_detector import (
    LINK_PROOF_MAX_AGE_SECONDS,
    MAX_LOCAL_DELAY_SECONDS,
    PROBE_INTERVAL_SECONDS,
    SETTLED_PROBE_INTERVAL_SECONDS,
    UNANSWERED_PROBES_BEFORE_LOST,
    LossDetector,
)

_RUNNER = ("r1", 1)
_OTHER_RUNNER = ("r2", 1)


def _detector_with_working_link(now: float = 0.0) -> LossDetector:
    """Returns a detector whose own network link works."""
    detector = LossDetector()
    detector.record_answer(_OTHER_RUNNER, now)
    return detector


def _miss_probe(
    detector: LossDetector, waited: float = 0.35, now: float = 0.0
) -> bool:
    """Records an unanswered probe; returns whether the runner is now lost."""
    return detector.record_timeout(
        _RUNNER, waited_seconds=waited, limit_seconds=0.35, now_seconds=now
    )


class LossDetectorTest(testtools.TestCase):
    """Probes that are answered or time out."""

    def test_single_unanswered_probe_is_tolerated(self) -> None:
        detector = _detector_with_working_link()
        self.assertFalse(_miss_probe(detector))
        detector.record_answer(_RUNNER, 0.0)
        self.assertFalse(_miss_probe(detector))
        self.assertEqual(set(), detector.lost)

    def test_silent_runner_is_lost_within_a_second(self) -> None:
        detector = _detector_with_working_link()
        probes = 0
        now = 0.0
        while not detector.lost:
            if detector.start_probe_if_due(_RUNNER, now):
                probes += 1
                _miss_probe(detector, now=now)
            now += 0.1
        self.assertEqual(UNANSWERED_PROBES_BEFORE_LOST, probes)
        self.assertLess(now + 0.35, 1.0)

    def test_probes_keep_their_interval(self) -> None:
        detector = _detector_with_working_link()
        self.assertTrue(detector.start_probe_if_due(_RUNNER, 0.0))
        self.assertFalse(
            detector.start_probe_if_due(_RUNNER, PROBE_INTERVAL_SECONDS / 2)
        )
        self.assertTrue(
            detector.start_probe_if_due(_RUNNER, PROBE_INTERVAL_SECONDS)
        )

    def test_timeout_of_a_delayed_router_is_ignored(self) -> None:
        detector = _detector_with_working_link()
        for _ in range(5):
            self.assertFalse(
                _miss_probe(detector, 0.35 + 2 * MAX_LOCAL_DELAY_SECONDS)
            )
        self.assertEqual(set(), detector.lost)

    def test_lost_runner_that_answers_is_no_longer_lost(self) -> None:
        detector = _detector_with_working_link()
        for _ in range(UNANSWERED_PROBES_BEFORE_LOST):
            _miss_probe(detector)
        self.assertEqual({_RUNNER}, detector.lost)
        self.assertTrue(detector.record_answer(_RUNNER, 0.0))
        self.assertEqual(set(), detector.lost)

    def test_new_incarnation_of_a_lost_runner_is_not_lost(self) -> None:
        detector = _detector_with_working_link()
        for _ in range(UNANSWERED_PROBES_BEFORE_LOST):
            _miss_probe(detector)
        detector.keep_only([("r1", 2)])
        self.assertEqual(set(), detector.lost)

    def test_timeouts_are_ignored_while_no_runner_answers(self) -> None:
        # The router's own link is saturated, so that all its probes time out.
        detector = _detector_with_working_link(0.0)
        for turn in range(20):
            _miss_probe(detector, now=LINK_PROOF_MAX_AGE_SECONDS + 0.1 + turn)
        self.assertEqual(set(), detector.lost)

    def test_runner_that_answered_is_probed_less_often(self) -> None:
        detector = _detector_with_working_link()
        self.assertTrue(detector.start_probe_if_due(_RUNNER, 0.0))
        detector.record_answer(_RUNNER, 0.0)
        self.assertFalse(
            detector.start_probe_if_due(_RUNNER, 2 * PROBE_INTERVAL_SECONDS)
        )
        self.assertTrue(
            detector.start_probe_if_due(_RUNNER, SETTLED_PROBE_INTERVAL_SECONDS)
        )
