"""When a slow process counts as unfit for duties."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.tick_monitor import (
    LATE_TICK_SECONDS,
    UNFIT_LATE_TICKS,
    UNFIT_SECONDS,
    TickMonitor,
)

PAUSE_SECONDS = 0.1


class FitnessTest(testtools.TestCase):
    """Punctual and late ticks."""

    def setUp(self) -> None:
        super().setUp()
        self.fitness = TickMonitor()
        self.now = 100.0
        self.fitness.record_tick(self.now, pause_seconds=PAUSE_SECONDS)

    def _tick(self, late_seconds: float) -> bool:
        self.now += PAUSE_SECONDS + late_seconds
        return self.fitness.record_tick(self.now, pause_seconds=PAUSE_SECONDS)

    def test_punctual_process_is_fit(self) -> None:
        for _ in range(50):
            self.assertFalse(self._tick(LATE_TICK_SECONDS / 2))
        self.assertTrue(self.fitness.is_fit(self.now))

    def test_one_suspension_does_not_make_it_unfit(self) -> None:
        self._tick(5.0)
        for _ in range(UNFIT_LATE_TICKS):
            self.assertFalse(self._tick(0.0))
        self.assertTrue(self.fitness.is_fit(self.now))

    def test_signal_of_a_process_that_did_not_run_came_earlier(self) -> None:
        self._tick(0.0)
        before = self.now
        self.assertEqual(before + 0.05, self._signal(before + 0.05))
        # The signal is handled before, and just after, the next tick.
        self.assertEqual(before, self._signal(before + 1.6))
        self._tick(1.5)
        self.assertEqual(before, self._signal(self.now + 0.01))
        self._tick(0.0)
        self.assertEqual(self.now, self._signal(self.now))

    def _signal(self, now_seconds: float) -> float:
        return self.fitness.signal_sent_seconds(
            now_seconds, pause_seconds=PAUSE_SECONDS
        )

    def test_slow_process_becomes_unfit_once_and_recovers(self) -> None:
        became_unfit = [
            self._tick(LATE_TICK_SECONDS * 2) for _ in range(UNFIT_LATE_TICKS)
        ]
        self.assertEqual(
            [False] * (UNFIT_LATE_TICKS - 1) + [True], became_unfit
        )
        self.assertFalse(self.fitness.is_fit(self.now))
        self.assertTrue(self.fitness.is_fit(self.now + UNFIT_SECONDS))
