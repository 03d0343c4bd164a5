"""Whether a request may wait, and when a refused one had best come again."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import Patience, judge
from mulberrypaddle.dispatch.patience import (
    ends_in_time,
    on_time_until,
    stream_gap_seconds,
)


def _judge(
    *,
    serving_slots: int = 90,
    ahead: int = 0,
    ready_in_seconds: float | None = None,
    deadline_seconds: float = 6.0,
) -> Patience:
    return judge(
        now_seconds=0.0,
        give_up_at_seconds=2.0,
        deadline_seconds=deadline_seconds,
        is_stream=True,
        serving_slots=serving_slots,
        ahead=ahead,
        busy_seconds=1.6,
        ready_in_seconds=ready_in_seconds,
    )


class PatienceTest(testtools.TestCase):
    """What can't be served in time is refused at once."""

    def test_short_line_is_waited_for(self) -> None:
        self.assertIsNotNone(_judge(ahead=20).until_seconds)

    def test_wait_ends_before_the_caller_leaves(self) -> None:
        until = _judge().until_seconds
        assert until is not None
        self.assertLess(until, 2.0)

    def test_line_longer_than_the_caller_waits_is_refused_at_once(self) -> None:
        patience = _judge(ahead=400)
        self.assertIsNone(patience.until_seconds)

    def test_no_runner_and_none_expected_is_refused_at_once(self) -> None:
        patience = _judge(serving_slots=0)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(2.0, patience.retry_after_seconds)

    def test_group_that_opens_soon_is_waited_for(self) -> None:
        patience = _judge(serving_slots=0, ready_in_seconds=0.5)
        self.assertIsNotNone(patience.until_seconds)

    def test_retry_after_is_when_there_will_be_room(self) -> None:
        patience = _judge(serving_slots=0, ready_in_seconds=1.9)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(1.9, patience.retry_after_seconds)

    def test_retry_after_stays_within_what_a_caller_honours(self) -> None:
        patience = _judge(serving_slots=0, deadline_seconds=3.0)
        self.assertEqual(1.0, patience.retry_after_seconds)

    def test_gap_is_the_longest_of_three(self) -> None:
        self.assertEqual(
            2.0, stream_gap_seconds(target_seconds=0.4, pause_seconds=0.2)
        )
        self.assertEqual(
            2.4, stream_gap_seconds(target_seconds=0.4, pause_seconds=0.3)
        )
        self.assertEqual(
            2.8, stream_gap_seconds(target_seconds=0.7, pause_seconds=0.3)
        )


class LateTest(testtools.TestCase):
    """Requests that can no longer be in time."""

    def _judge(self, newer_slots: float) -> Patience:
        return judge(
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

    def test_late_request_waits_for_slots_that_newer_ones_leave(self) -> None:
        self.assertIsNotNone(self._judge(80.0).until_seconds)

    def test_late_request_is_refused_where_newer_ones_take_all(self) -> None:
        patience = self._judge(130.0)
        self.assertIsNone(patience.until_seconds)
        self.assertEqual(2.0, patience.retry_after_seconds)

    def test_sending_in_time_leaves_the_usual_time_of_a_runner(self) -> None:
        until = on_time_until(
            arrived_at_seconds=1.0, target_seconds=0.3, is_stream=True
        )
        self.assertAlmostEqual(1.1, until)
        until = on_time_until(
            arrived_at_seconds=1.0, target_seconds=0.4, is_stream=False
        )
        self.assertAlmostEqual(1.28, until)


class EndOfRouterTest(testtools.TestCase):
    """Requests that come while a router is about to end."""

    def _fits(self, *, deadline: float, longest: float | None) -> bool:
        return ends_in_time(
            now_seconds=0.0,
            deadline_seconds=deadline,
            longest_seconds=longest,
            ends_at_seconds=4.0,
        )

    def test_deadline_before_the_end_fits(self) -> None:
        self.assertTrue(self._fits(deadline=1.0, longest=None))

    def test_unknown_length_does_not_fit(self) -> None:
        self.assertFalse(self._fits(deadline=6.0, longest=None))

    def test_short_stream_fits_and_long_one_does_not(self) -> None:
        self.assertTrue(self._fits(deadline=6.0, longest=0.5))
        self.assertFalse(self._fits(deadline=6.0, longest=2.0))
