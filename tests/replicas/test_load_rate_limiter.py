"""Tests the rate limit on loads of weights."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.load_rate_limiter import LoadRateLimiter

STEP_SECONDS = 0.1
WINDOW_SECONDS = 5.0


class LoadRateTest(testtools.TestCase):
    """Bounds in a window of five seconds while any number of runners wait."""

    def _start_all_allowed(
        self, limiter: LoadRateLimiter, *, per_second: float, end_seconds: float
    ) -> list[float]:
        """Starts every load that is allowed; returns their start times."""
        started_at = []
        now = 0.0
        while now < end_seconds:
            for _ in range(
                limiter.allowance(
                    per_second=per_second,
                    window_seconds=WINDOW_SECONDS,
                    now_seconds=now,
                )
            ):
                limiter.record_start()
                started_at.append(now)
            now += STEP_SECONDS
        return started_at

    def test_no_window_exceeds_the_bound(self) -> None:
        limiter = LoadRateLimiter()
        # The bucket is full before the first runner needs weights.
        for now in (-100.0, -0.1):
            limiter.allowance(
                per_second=2.0, window_seconds=WINDOW_SECONDS, now_seconds=now
            )
        started_at = self._start_all_allowed(
            limiter, per_second=2.0, end_seconds=30.0
        )
        for start in started_at:
            within = [at for at in started_at if start <= at < start + 5.0]
            self.assertLessEqual(len(within), 10)

    def test_new_owner_starts_without_allowance(self) -> None:
        limiter = LoadRateLimiter()
        first = limiter.allowance(
            per_second=5.0, window_seconds=WINDOW_SECONDS, now_seconds=50.0
        )
        self.assertEqual(0, first)

    def test_loads_sustain_half_of_the_permitted_rate(self) -> None:
        started_at = self._start_all_allowed(
            LoadRateLimiter(), per_second=4.0, end_seconds=30.0
        )
        self.assertGreaterEqual(len(started_at), 55)
