"""Whether a request may wait, and the Retry-After if it is refused."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import WaitDecision, decide_wait
from mulberrypaddle.dispatch.wait_decision import (
    on_time_until,
    stream_gap_seconds,
)


def _judge(
    *,
    serving_slots: int = 90,
    ahead: int = 0,
    ready_in_seconds: float | None = None,
    deadline_seconds: float = 6.0,
) -> WaitDecision:
    return decide_wait(
        now_seconds=0.0,
        give_up_at_seconds=2.0,
        deadline_seconds=deadline_seconds,
        is_stream=True,
        serving_slots=serving_slots,
        ahead=ahead,
        busy_seconds=1.6,
        ready_in_seconds=ready_in_seconds,
    )


class WaitDecisionTest(testtools.TestCase):
    """Requests that can't be served in time are refused at once."""

    def test_request_waits_in_a_short_queue(self) -> None:
        self.assertIsNotNone(_judge(ahead=20).until_seconds)

    def test_wait_ends_before_the_caller_leaves(self) -> None:
        until = _judge().until_seconds
        assert until is not None
        self.assertLess(until, 2.0)

    def test_queue_longer_than_the_caller_waits_is_refused_at_once(
        self,
    ) -> None:
        patience = _judge(ahead=400)
        self.assertIsNone(patience.until_seconds)

    def test_refused_at_once_if_no_runner_serves_or_is_expected(self) -> None:
        patience = _judge(serving_slots=0)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(2.0, patience.retry_after_seconds)

    def test_request_waits_for_a_group_that_opens_soon(self) -> None:
        patience = _judge(serving_slots=0, ready_in_seconds=0.5)
        self.assertIsNotNone(patience.until_seconds)

    def test_retry_after_is_the_expected_time_of_capacity(self) -> None:
        patience = _judge(serving_slots=0, ready_in_seconds=1.9)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(1.9, patience.retry_after_seconds)

    def test_retry_after_stays_within_what_a_caller_honours(self) -> None:
        patience = _judge(serving_slots=0, deadline_seconds=3.0)
        self.assertEqual(1.0, patience.retry_after_seconds)

    def test_stream_gap_is_the_longest_of_three_limits(self) -> None:
        self.assertEqual(
            2.0, stream_gap_seconds(target_seconds=0.4, pause_seconds=0.2)
        )
        self.assertEqual(
            2.4, stream_gap_seconds(target_seconds=0.4, pause_seconds=0.3)
        )
        self.assertEqual(
            2.8, stream_gap_seconds(target_seconds=0.7, pause_seconds=0.3)
        )


class LateRequestTest(testtools.TestCase):
    """Requests that can no longer meet their target."""

    def _judge(self, newer_slots: float) -> WaitDecision:
        return decide_wait(
            now_seconds=0.0,
            give_up_at_seconds=2.0,
            deadline_seconds=6.0,
            is_stream=True,
            serving_slots=90,
            ahead=3,
            busy_seconds=1.0,
            ready_in_seconds=None,
            newer_slots=newer_slots,
        )

    def test_late_request_waits_for_slots_left_by_newer_ones(self) -> None:
        self.assertIsNotNone(self._judge(80.0).until_seconds)

    def test_late_request_is_refused_if_newer_ones_need_all_slots(self) -> None:
        patience = self._judge(130.0)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(2.0, patience.retry_after_seconds)

    def test_on_time_until_reserves_the_typical_service_time(self) -> None:
        until = on_time_until(
            arrived_at_seconds=1.0, target_seconds=0.3, is_stream=True
        )
        self.assertAlmostEqual(1.1, until)
        until = on_time_until(
            arrived_at_seconds=1.0, target_seconds=0.4, is_stream=False
        )
        self.assertAlmostEqual(1.28, until)
