"""Detection of stalled heads and streams by their silence."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.stalls import (
    is_head_stalled,
    silence_limit_seconds,
)
from mulberrypaddle.dispatch.wait_decision import stream_gap_seconds


class SilenceTest(testtools.TestCase):
    """A full head is not treated as stalled."""

    def test_queued_request_is_given_time_at_a_full_head(self) -> None:
        # After the loss of all groups, all callers retry at once: heads have
        # twice as many requests as slots, and answer after more than a second.
        limit = silence_limit_seconds(
            has_events=False, is_suspected=False, queued=True
        )
        self.assertGreater(limit, 1.5)
        self.assertFalse(
            is_head_stalled(silent_seconds=1.5, has_events=False, queued=True)
        )

    def test_every_limit_is_below_the_gap_that_callers_accept(self) -> None:
        gap = stream_gap_seconds(target_seconds=0.3, pause_seconds=0.2)
        for has_events in (False, True):
            for is_suspected in (False, True):
                for queued in (False, True):
                    limit = silence_limit_seconds(
                        has_events=has_events,
                        is_suspected=is_suspected,
                        queued=queued,
                    )
                    self.assertLess(limit, gap)

    def test_new_requests_soon_move_away_from_a_suspected_head(self) -> None:
        limit = silence_limit_seconds(
            has_events=False, is_suspected=True, queued=True
        )
        self.assertLess(limit, 0.6)

    def test_stalled_stream_makes_its_head_suspected(self) -> None:
        self.assertTrue(
            is_head_stalled(silent_seconds=0.5, has_events=True, queued=True)
        )
        self.assertFalse(
            is_head_stalled(silent_seconds=0.5, has_events=False, queued=False)
        )
        self.assertTrue(
            is_head_stalled(silent_seconds=1.3, has_events=False, queued=False)
        )
