"""Requests that a cold runner receives from all routers together."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.dispatch import ColdRateLimiter

STEP_SECONDS = 0.05


def _max_requests_per_second(
    *, routers: int, requests_per_second: float
) -> int:
    """Simulates routers that all send to one cold runner as fast as allowed.

    Returns:
        The most requests that it receives within any second.
    """
    rates = [
        ColdRateLimiter(random.Random(number)) for number in range(routers)
    ]
    sent_at_seconds: list[float] = []
    for step in range(200):
        now = 100.0 + step * STEP_SECONDS
        for rate in rates:
            if rate.allows(
                "r1",
                requests_per_second=requests_per_second,
                routers=routers,
                now_seconds=now,
            ):
                rate.record_sent("r1", now)
                sent_at_seconds.append(now)
    return max(
        sum(at <= other < at + 1.0 for other in sent_at_seconds)
        for at in sent_at_seconds
    )


class ColdRateTest(testtools.TestCase):
    """Limits on the requests within any second, over all routers."""

    def test_few_routers_stay_within_the_limit(self) -> None:
        max_requests = _max_requests_per_second(
            routers=7, requests_per_second=38.0
        )
        self.assertLessEqual(max_requests, 38.0 * 1.5 + 5)

    def test_many_routers_stay_within_the_limit(self) -> None:
        for routers in (20, 71, 300):
            max_requests = _max_requests_per_second(
                routers=routers, requests_per_second=15.0
            )
            self.assertLessEqual(max_requests, 15.0 * 1.5 + 5, routers)

    def test_cold_runners_receive_requests(self) -> None:
        self.assertGreater(
            _max_requests_per_second(routers=71, requests_per_second=15.0), 5
        )
