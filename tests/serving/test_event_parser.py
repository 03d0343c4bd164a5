"""Tests of splitting a byte stream into events."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.event_parser import MAX_EVENT_BYTES, EventParser

_STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class EventCutterTest(testtools.TestCase):
    """Events are complete however the bytes are split."""

    def test_any_split_gives_the_same_events(self) -> None:
        for size in range(1, len(_STREAM)):
            parser = EventParser()
            events = []
            for at in range(0, len(_STREAM), size):
                events += parser.feed(_STREAM[at : at + size])
            self.assertEqual([1, 2], [event.event_id for event in events])
            self.assertEqual(_STREAM, b"".join(event.data for event in events))
            self.assertFalse(parser.has_partial_event)

    def test_incomplete_event_is_buffered(self) -> None:
        parser = EventParser()
        self.assertEqual([], parser.feed(b"id: 1\ndata: a\n"))
        self.assertTrue(parser.has_partial_event)

    def test_event_may_end_with_carriage_returns(self) -> None:
        events = EventParser().feed(b"id: 7\r\ndata: a\r\n\r\n")
        self.assertEqual([7], [event.event_id for event in events])

    def test_event_over_the_size_limit_is_refused(self) -> None:
        parser = EventParser()
        self.assertRaises(ValueError, parser.feed, b"x" * (MAX_EVENT_BYTES + 1))

    def test_id_of_too_many_digits_is_refused(self) -> None:
        for digits in (19, 400, 5_000):
            data = b"id: " + b"9" * digits + b"\ndata: a\n\n"
            self.assertRaises(ValueError, EventParser().feed, data)

    def test_bytes_that_are_no_event_are_refused(self) -> None:
        for data in (b'{"error": 1}\n\n', b"HTTP/1.1 503 X\r\n\r\n", b"no\n\n"):
            self.assertRaises(ValueError, EventParser().feed, data)

    def test_comments_and_fields_need_no_id(self) -> None:
        for data in (b": alive\n\n", b"event: end\r\ndata\r\n\r\n"):
            events = EventParser().feed(data)
            self.assertEqual([data], [event.data for event in events])
