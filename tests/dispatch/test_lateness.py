"""Tests which stage of a request is named as the cause of its lateness."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.lateness import (
    LateCause,
    RequestTimeline,
    late_cause,
)


def _cause(**durations: float) -> LateCause | None:
    """Returns the cause for a target of 0.3 s and pauses of up to 0.2 s."""
    timeline = RequestTimeline()
    for name, value in durations.items():
        setattr(timeline, name, value)
    return late_cause(timeline, target_seconds=0.3, pause_seconds=0.2)


class LateCauseTest(testtools.TestCase):
    """The longest stage before the first byte, else the longest pause."""

    def test_answer_on_time_has_no_cause(self) -> None:
        self.assertIsNone(
            _cause(first_byte_seconds=0.2, longest_pause_seconds=0.1)
        )

    def test_longest_stage_before_the_first_byte_is_the_cause(self) -> None:
        self.assertIs(
            LateCause.QUEUED,
            _cause(first_byte_seconds=0.6, queued_seconds=0.4),
        )
        self.assertIs(
            LateCause.NO_GROUP,
            _cause(
                first_byte_seconds=0.6,
                queued_seconds=0.4,
                without_runner_seconds=0.3,
            ),
        )
        self.assertIs(
            LateCause.RETRIED,
            _cause(first_byte_seconds=0.6, failed_attempts_seconds=0.4),
        )
        self.assertIs(
            LateCause.SLOW_START,
            _cause(first_byte_seconds=0.6, queued_seconds=0.2),
        )

    def test_long_pause_is_a_stall_only_if_the_stream_moved(self) -> None:
        self.assertIs(
            LateCause.PAUSED,
            _cause(first_byte_seconds=0.1, longest_pause_seconds=0.3, sends=1),
        )
        self.assertIs(
            LateCause.STALLED,
            _cause(first_byte_seconds=0.1, longest_pause_seconds=0.3, sends=2),
        )
