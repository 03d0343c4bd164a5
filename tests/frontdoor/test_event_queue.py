"""Tests of the event queue: split, repeated, missing and dropped events."""

from __future__ import annotations

import testtools

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.event_queue import EventQueue


def _event(offset: int) -> bytes:
    """Returns the event of one token."""
    return f'id: {offset}\ndata: {{"text": "t{offset}"}}\n\n'.encode()


END = b"data: [DONE]\n\n"


class EventQueueTest(testtools.TestCase):
    """Events are queued complete, in order and once."""

    def test_events_do_not_depend_on_how_bytes_are_split(self) -> None:
        stream = b": hello\n\n" + _event(0) + _event(1) + END
        for at in range(len(stream)):
            queue = EventQueue()
            queue.feed(stream[:at])
            queue.feed(stream[at:])
            self.assertEqual(stream, queue.pop(1 << 20))
            self.assertEqual((True, 1), (queue.is_complete, queue.last_offset))

    def test_repeats_are_dropped_and_a_gap_is_an_error(self) -> None:
        queue = EventQueue()
        self.assertIsNone(queue.feed(_event(0) + _event(1) + _event(0)))
        problem = queue.feed(_event(3))
        assert isinstance(problem, Problem)
        self.assertIs(ErrorKind.STREAM_BROKEN, problem.kind)
        self.assertEqual(_event(0) + _event(1), queue.pop(1 << 20))

    def test_discarding_unsent_events_returns_to_the_last_sent_token(
        self,
    ) -> None:
        queue = EventQueue()
        queue.feed(_event(0) + _event(1) + _event(2)[:5])
        first = queue.pop(1)
        queue.discard_unsent()
        self.assertEqual((0, 0), (queue.last_offset, queue.held_bytes))
        queue.feed(_event(1) + END)
        self.assertEqual(
            _event(0) + _event(1) + END, first + queue.pop(1 << 20)
        )

    def test_undetected_gap_violates_the_invariant(self) -> None:
        queue = EventQueue()
        queue.feed(_event(0))
        queue._queued_offset = 1
        queue.feed(_event(2))
        self.assertRaises(invariants.InvariantBreachError, queue.pop, 1 << 20)
