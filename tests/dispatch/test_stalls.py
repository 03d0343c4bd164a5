"""Detection of stalled heads and streams by their silence."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch.stalls import (
    HeadProgress,
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


class HeadProgressTest(testtools.TestCase):
    """The silence that counts as a stall follows the pace of the head."""

    def _suspect_after(self, *pauses_seconds: float) -> float:
        progress = HeadProgress()
        for pause_seconds in pauses_seconds:
            progress.record_event(
                "h1", pause_seconds=pause_seconds, now_seconds=1.0
            )
        return progress.suspect_after_seconds("h1")

    def test_slower_heads_are_given_more_time(self) -> None:
        for factor in (1.0, 2.5, 5.0):
            pauses = [0.05 * factor] * 20 + [0.12 * factor] + [0.05 * factor]
            suspect_after = self._suspect_after(*pauses)
            self.assertGreater(suspect_after, max(pauses))
            self.assertLess(suspect_after, 5 * max(pauses))

    def test_single_long_pause_is_forgotten(self) -> None:
        self.assertEqual(
            self._suspect_after(*[0.05] * 200),
            self._suspect_after(0.3, *[0.05] * 200),
        )

    def test_time_is_bounded(self) -> None:
        self.assertEqual(0.2, self._suspect_after(0.001))
        self.assertEqual(0.8, self._suspect_after(5.0))

    def test_removed_heads_are_forgotten(self) -> None:
        progress = HeadProgress()
        progress.record_event("h1", pause_seconds=0.3, now_seconds=1.0)
        progress.retain_only(["h2"])
        self.assertEqual(0.0, progress.last_event_at("h1"))
