"""Tests of the times of a planned stop and of what is sent during one."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.stop_schedule import (
    EXCUSED_ARRIVAL_SECONDS,
    StopSchedule,
)


class TimesTest(testtools.TestCase):
    """The times of a stop within its grace period."""

    def test_service_ends_within_the_last_sixth_of_the_grace(self) -> None:
        for grace_seconds in (1.0, 2.0, 4.0, 6.0, 8.0, 30.0):
            stop = StopSchedule(
                signalled_at_seconds=100.0, grace_seconds=grace_seconds
            )
            self.assertLessEqual(
                100.0 + grace_seconds * 5 / 6, stop.ends_at_seconds
            )
            self.assertLess(stop.ends_at_seconds, stop.exits_at_seconds)
            self.assertLess(stop.exits_at_seconds, 100.0 + grace_seconds)

    def test_late_requests_are_those_that_a_cut_would_lose(self) -> None:
        # A request that was sent later than 3 s after the signal is lost if
        # its connection ends without an answer.
        self.assertLess(EXCUSED_ARRIVAL_SECONDS, 3.0)


class MaySendTest(testtools.TestCase):
    """Whether a stopping router sends a request to a runner.

    The signal comes at 100 s, the process serves until at least 106 s.
    """

    def _may_send(
        self,
        *,
        arrived: float,
        deadline: float,
        now: float | None = None,
        needed: float | None = 0.2,
        may_be_cut: bool = False,
        may_repeat: bool = False,
    ) -> bool:
        stop = StopSchedule(signalled_at_seconds=100.0, grace_seconds=8.0)
        return stop.may_send(
            now_seconds=arrived if now is None else now,
            arrived_at_seconds=arrived,
            deadline_seconds=deadline,
            needed_seconds=needed,
            is_stream=may_be_cut,
            may_repeat=may_repeat,
        )

    def test_late_request_with_a_deadline_before_the_end_is_sent(self) -> None:
        self.assertTrue(self._may_send(arrived=104.0, deadline=106.0))
        self.assertTrue(
            self._may_send(arrived=104.0, deadline=106.0, may_be_cut=True)
        )

    def test_late_request_is_not_sent_on_an_estimate(self) -> None:
        self.assertFalse(self._may_send(arrived=104.0, deadline=110.0))
        for may_repeat in (False, True):
            self.assertFalse(
                self._may_send(
                    arrived=104.0,
                    deadline=110.0,
                    may_be_cut=True,
                    may_repeat=may_repeat,
                )
            )

    def test_late_plain_request_that_may_be_repeated_is_sent(self) -> None:
        self.assertTrue(
            self._may_send(arrived=104.0, deadline=110.0, may_repeat=True)
        )
        self.assertFalse(
            self._may_send(arrived=107.2, deadline=110.0, may_repeat=True)
        )

    def test_early_request_is_sent_if_its_estimate_fits(self) -> None:
        for may_be_cut in (False, True):
            self.assertTrue(
                self._may_send(
                    arrived=102.0, deadline=110.0, may_be_cut=may_be_cut
                )
            )
            self.assertFalse(
                self._may_send(
                    arrived=102.0,
                    deadline=110.0,
                    needed=6.0,
                    may_be_cut=may_be_cut,
                )
            )

    def test_early_request_that_waited_too_long_is_not_sent(self) -> None:
        self.assertFalse(
            self._may_send(arrived=102.0, deadline=110.0, now=106.0, needed=2.0)
        )

    def test_request_of_unknown_length_is_not_sent_on_an_estimate(
        self,
    ) -> None:
        self.assertFalse(
            self._may_send(arrived=99.0, now=101.0, deadline=110.0, needed=None)
        )
        self.assertTrue(
            self._may_send(arrived=99.0, now=101.0, deadline=106.0, needed=None)
        )
