"""Splitting of byte streams into events."""

from __future__ import annotations

import testtools

from mulberrypaddle.frontdoor.event_splitter import EventSplitter


class EventSplitterTest(testtools.TestCase):
    """Ids of events that are no token offsets."""

    def test_id_of_too_many_digits_is_no_offset(self) -> None:
        for digits in (19, 400, 5_000):
            data = b"id: " + b"9" * digits + b"\ndata: a\n\n"
            events = EventSplitter().split(data)
            self.assertEqual([None], [event.offset for event in events])
            self.assertEqual([data], [event.data for event in events])
