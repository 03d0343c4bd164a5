"""Loads of weights stay within what the weight store bears."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.load_rate import LoadRate

STEP_SECONDS = 0.1
WINDOW_SECONDS = 5.0


class LoadRateTest(testtools.TestCase):
    """A window of five seconds, however many runners wait for weights."""

    def _begin_all(
        self, rate: LoadRate, *, per_second: float, until: float
    ) -> list[float]:
        begun = []
        now = 0.0
        while now < until:
            for _ in range(
                rate.allowance(
                    per_second=per_second,
                    window_seconds=WINDOW_SECONDS,
                    now_seconds=now,
                )
            ):
                rate.begun()
                begun.append(now)
            now += STEP_SECONDS
        return begun

    def test_no_window_holds_more_than_the_bound(self) -> None:
        rate = LoadRate()
        # Much is saved up before the first runner needs weights.
        for now in (-100.0, -0.1):
            rate.allowance(
                per_second=2.0, window_seconds=WINDOW_SECONDS, now_seconds=now
            )
        begun = self._begin_all(rate, per_second=2.0, until=30.0)
        for start in begun:
            within = [at for at in begun if start <= at < start + 5.0]
            self.assertLessEqual(len(within), 10)

    def test_new_owner_begins_with_nothing(self) -> None:
        rate = LoadRate()
        first = rate.allowance(
            per_second=5.0, window_seconds=WINDOW_SECONDS, now_seconds=50.0
        )
        self.assertEqual(0, first)

    def test_loads_go_on_at_half_of_the_rate_at_least(self) -> None:
        begun = self._begin_all(LoadRate(), per_second=4.0, until=30.0)
        self.assertGreaterEqual(len(begun), 55)
