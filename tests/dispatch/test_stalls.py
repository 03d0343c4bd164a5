"""Silence of a head, and what follows from it."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.patience import stream_gap_seconds
from mulberrypaddle.dispatch.stalls import (
    silence_limit_seconds,
    tells_on_head,
)


class SilenceTest(testtools.TestCase):
    """A full head is not a dead one."""

    def test_queue_of_a_full_head_is_waited_for(self) -> None:
        # After a total loss all callers come at once: heads hold twice what
        # they have slots for, and answer after more than a second.
        limit = silence_limit_seconds(
            has_events=False, suspected=False, queued=True
        )
        self.assertGreater(limit, 1.5)
        self.assertFalse(
            tells_on_head(silent_seconds=1.5, has_events=False, queued=True)
        )

    def test_every_limit_ends_before_the_caller_leaves(self) -> None:
        gap = stream_gap_seconds(target_seconds=0.3, pause_seconds=0.2)
        for has_events in (False, True):
            for suspected in (False, True):
                for queued in (False, True):
                    limit = silence_limit_seconds(
                        has_events=has_events,
                        suspected=suspected,
                        queued=queued,
                    )
                    self.assertLess(limit, gap)

    def test_new_requests_leave_a_suspected_head_soon(self) -> None:
        limit = silence_limit_seconds(
            has_events=False, suspected=True, queued=True
        )
        self.assertLess(limit, 0.6)

    def test_standing_stream_tells_on_its_head(self) -> None:
        self.assertTrue(
            tells_on_head(silent_seconds=0.5, has_events=True, queued=True)
        )
        self.assertFalse(
            tells_on_head(silent_seconds=0.5, has_events=False, queued=False)
        )
        self.assertTrue(
            tells_on_head(silent_seconds=1.3, has_events=False, queued=False)
        )
