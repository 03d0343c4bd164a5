"""Whole events, cut from bytes."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.events import MOST_EVENT_BYTES, EventCutter

_STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class EventCutterTest(testtools.TestCase):
    """Bytes come in any parts."""

    def test_any_split_gives_the_same_events(self) -> None:
        for size in range(1, len(_STREAM)):
            cutter = EventCutter()
            events = []
            for at in range(0, len(_STREAM), size):
                events += cutter.feed(_STREAM[at : at + size])
            self.assertEqual([1, 2], [event.event_id for event in events])
            self.assertEqual(_STREAM, b"".join(event.data for event in events))
            self.assertFalse(cutter.holds_part)

    def test_part_of_an_event_is_kept_back(self) -> None:
        cutter = EventCutter()
        self.assertEqual([], cutter.feed(b"id: 1\ndata: a\n"))
        self.assertTrue(cutter.holds_part)

    def test_carriage_returns_end_an_event_too(self) -> None:
        events = EventCutter().feed(b"id: 7\r\ndata: a\r\n\r\n")
        self.assertEqual([7], [event.event_id for event in events])

    def test_endless_event_is_refused(self) -> None:
        cutter = EventCutter()
        self.assertRaises(
            ValueError, cutter.feed, b"x" * (MOST_EVENT_BYTES + 1)
        )
