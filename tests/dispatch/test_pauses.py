"""Pauses that runners ask for when they refuse a request."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.pauses import (
    LOG_INTERVAL_SECONDS,
    MAX_PAUSE_SECONDS,
    RunnerPauses,
)

_RUNNER = ("a", 1)


class PauseTest(testtools.TestCase):
    """Length of pauses, and what they hold back."""

    def test_pause_ends_after_its_time(self) -> None:
        pauses = RunnerPauses()
        pauses.record(_RUNNER, 2.0, 10.0)
        self.assertTrue(pauses.is_paused(_RUNNER, 11.9))
        self.assertFalse(pauses.is_paused(_RUNNER, 12.0))
        self.assertFalse(pauses.is_paused(("a", 2), 11.0))

    def test_shorter_pause_does_not_end_a_longer_one(self) -> None:
        pauses = RunnerPauses()
        pauses.record(_RUNNER, 5.0, 10.0)
        pauses.record(_RUNNER, 0.1, 11.0)
        self.assertTrue(pauses.is_paused(_RUNNER, 14.9))

    def test_pause_is_bounded(self) -> None:
        for seconds in (1e300, float("inf")):
            pauses = RunnerPauses()
            pauses.record(_RUNNER, seconds, 0.0)
            self.assertFalse(pauses.is_paused(_RUNNER, MAX_PAUSE_SECONDS))

    def test_pause_of_no_length_is_none(self) -> None:
        pauses = RunnerPauses()
        for seconds in (0.0, -1.0):
            self.assertFalse(pauses.record(_RUNNER, seconds, 0.0))
        self.assertTrue(pauses.is_empty)

    def test_one_order_is_let_through(self) -> None:
        pauses = RunnerPauses()
        self.assertTrue(pauses.try_acquire_order(_RUNNER, 0.0))
        pauses.record(_RUNNER, 5.0, 1.0)
        self.assertTrue(pauses.try_acquire_order(_RUNNER, 2.0))
        self.assertFalse(pauses.try_acquire_order(_RUNNER, 3.0))
        # The refusal of the order extends the pause.
        pauses.record(_RUNNER, 5.0, 3.0)
        self.assertFalse(pauses.try_acquire_order(_RUNNER, 4.0))
        self.assertTrue(pauses.try_acquire_order(_RUNNER, 9.0))

    def test_each_pause_is_logged_but_not_more_often_than_allowed(
        self,
    ) -> None:
        pauses = RunnerPauses()
        self.assertTrue(pauses.record(_RUNNER, 1.0, 0.0))
        self.assertFalse(pauses.record(_RUNNER, 1.0, 0.5))
        self.assertFalse(pauses.record(_RUNNER, 1.0, 5.0))
        self.assertTrue(pauses.record(_RUNNER, 1.0, LOG_INTERVAL_SECONDS))

    def test_expired_pauses_are_forgotten(self) -> None:
        pauses = RunnerPauses()
        pauses.record(_RUNNER, 1.0, 0.0)
        pauses.record(("b", 1), 60.0, 0.0)
        self.assertEqual(2, pauses.count(0.5))
        self.assertEqual(1, pauses.count(2.0))
        pauses.forget_expired(30.0)
        self.assertFalse(pauses.is_empty)
        pauses.forget_expired(90.0)
        self.assertTrue(pauses.is_empty)
