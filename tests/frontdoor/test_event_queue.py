"""Events split over chunks, repeated, missing and dropped."""

from __future__ import annotations

import testtools

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.event_queue import EventQueue


def _event(offset: int) -> bytes:
    return f'id: {offset}\ndata: {{"text": "t{offset}"}}\n\n'.encode()


END = b"data: [DONE]\n\n"


class EventQueueTest(testtools.TestCase):
    """Order and wholeness of events."""

    def test_any_split_of_the_bytes_gives_the_same_events(self) -> None:
        whole = b": hello\n\n" + _event(0) + _event(1) + END
        for at in range(len(whole)):
            queue = EventQueue()
            queue.feed(whole[:at])
            queue.feed(whole[at:])
            self.assertEqual(whole, queue.pop(1 << 20))
            self.assertEqual((True, 1), (queue.is_complete, queue.last_offset))

    def test_repeats_are_dropped_and_gaps_refused(self) -> None:
        queue = EventQueue()
        self.assertIsNone(queue.feed(_event(0) + _event(1) + _event(0)))
        problem = queue.feed(_event(3))
        assert isinstance(problem, Problem)
        self.assertIs(ErrorKind.STREAM_BROKEN, problem.kind)
        self.assertEqual(_event(0) + _event(1), queue.pop(1 << 20))

    def test_forgetting_goes_back_to_the_last_token_sent(self) -> None:
        queue = EventQueue()
        queue.feed(_event(0) + _event(1) + _event(2)[:5])
        first = queue.pop(1)
        queue.discard_unsent()
        self.assertEqual((0, 0), (queue.last_offset, queue.held_bytes))
        queue.feed(_event(1) + END)
        self.assertEqual(
            _event(0) + _event(1) + END, first + queue.pop(1 << 20)
        )

    def test_without_the_gap_check_the_invariant_breaches(self) -> None:
        queue = EventQueue()
        queue.feed(_event(0))
        queue._queued_offset = 1
        queue.feed(_event(2))
        self.assertRaises(invariants.InvariantBreachError, queue.pop, 1 << 20)
