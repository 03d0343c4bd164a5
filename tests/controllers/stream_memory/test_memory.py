"""The window of a stream, the budget of a process and fair shares."""

from __future__ import annotations

import random

import testtools
from testtools import matchers

from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers.base import Context
from mulberrypaddle.controllers.stream_memory import (
    RECEIVE_BUFFER_BYTES,
    WINDOW_BYTES,
    AnswerStream,
    StreamListener,
    StreamMemory,
)
from mulberrypaddle.core import invariants
from mulberrypaddle.core.clock import ManualClock

CHUNK_BYTES = 8_192


class _Listener(StreamListener):
    def __init__(self) -> None:
        self.rooms = 0
        self.stalls = 0
        self.sheds = 0
        self.stream: AnswerStream | None = None

    def on_memory_available(self) -> None:
        self.rooms += 1

    def stalled(self) -> None:
        self.stalls += 1

    def shed(self) -> int:
        self.sheds += 1
        assert self.stream is not None
        return self.stream.held_bytes - CHUNK_BYTES


class StreamMemoryTest(testtools.TestCase):
    """The I/O-free decisions."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()

    def _memory(self, budget_bytes: int) -> StreamMemory:
        context = Context(
            member_id="router-1",
            incarnation=1,
            data_centre="south",
            board=Board(),
            clock=self.clock,
            rng=random.Random(1),
        )
        return StreamMemory(context, budget_bytes=budget_bytes)

    def _open(
        self,
        memory: StreamMemory,
        organisation: str = "museum",
        *,
        can_shed: bool = False,
    ) -> tuple[AnswerStream, _Listener]:
        listener = _Listener()
        stream = memory.open(
            organisation,
            window_bytes=10 * WINDOW_BYTES,
            stall_seconds=5.0,
            can_shed=can_shed,
            listener=listener,
        )
        listener.stream = stream
        return stream, listener

    def _fill(self, memory: StreamMemory, stream: AnswerStream) -> int:
        memory.reserve(stream)
        taken = 0
        while memory.accept(stream, CHUNK_BYTES):
            taken += CHUNK_BYTES
        return taken

    def test_window_bounds_a_stream_and_opens_again_at_half(self) -> None:
        memory = self._memory(1 << 20)
        stream, listener = self._open(memory)
        taken = self._fill(memory, stream)
        self.assertEqual(WINDOW_BYTES - RECEIVE_BUFFER_BYTES, taken)
        memory.drained(stream, CHUNK_BYTES)
        self.assertEqual(0, listener.rooms)
        for _ in range(3):
            memory.drained(stream, CHUNK_BYTES)
        self.assertEqual(1, listener.rooms)
        self.assertEqual(WINDOW_BYTES, stream.peak_bytes)

    def test_budget_holds_and_leaves_room_for_other_organisations(self) -> None:
        memory = self._memory(1 << 20)
        for _ in range(100):
            stream, _ = self._open(memory, "large")
            self._fill(memory, stream)
        self.assertThat(memory.peak_bytes, matchers.LessThan(1 << 20))
        small, _ = self._open(memory, "small")
        self.assertEqual(
            WINDOW_BYTES - RECEIVE_BUFFER_BYTES, self._fill(memory, small)
        )

    def test_reserves_alone_never_stop_every_stream(self) -> None:
        memory = self._memory(1 << 20)
        started = []
        for _ in range(1_000):
            stream, _ = self._open(memory)
            if memory.reserve(stream):
                started.append(stream)
        self.assertThat(len(started), matchers.GreaterThan(50))
        for stream in started:
            self.assertTrue(memory.accept(stream, RECEIVE_BUFFER_BYTES))
            memory.drained(stream, RECEIVE_BUFFER_BYTES)

    def test_waiting_stream_goes_on_when_another_drains(self) -> None:
        memory = self._memory(1 << 17)
        streams = [self._open(memory) for _ in range(8)]
        for stream, _ in streams:
            self._fill(memory, stream)
        last, listener = streams[-1]
        self.assertFalse(memory.reserve(last, waits=True))
        for stream, _ in streams[:-1]:
            memory.close(stream)
        self.assertEqual(1, listener.rooms)
        self.assertTrue(memory.reserve(last))

    def test_short_budget_sheds_a_blocked_stream(self) -> None:
        memory = self._memory(1 << 17)
        victim, listener = self._open(memory, can_shed=True)
        self._fill(memory, victim)
        memory.blocked(victim)
        held_bytes = victim.held_bytes
        for _ in range(3):
            stream, _ = self._open(memory, "other")
            self._fill(memory, stream)
        self.assertThat(listener.sheds, matchers.GreaterThan(0))
        self.assertThat(victim.held_bytes, matchers.LessThan(held_bytes))

    def test_stall_ends_only_a_reader_that_blocks(self) -> None:
        memory = self._memory(1 << 20)
        blocked, stalled = self._open(memory)
        _, idle = self._open(memory)
        self._fill(memory, blocked)
        memory.blocked(blocked)
        self.clock.advance(4.0)
        memory.step(self.clock.monotonic_seconds())
        self.assertEqual(0, stalled.stalls)
        self.clock.advance(2.0)
        memory.step(self.clock.monotonic_seconds())
        self.assertEqual((1, 0), (stalled.stalls, idle.stalls))

    def test_without_the_budget_check_the_invariant_breaches(self) -> None:
        memory = self._memory(1 << 17)
        memory._allows = lambda *_: True  # type: ignore[method-assign]
        streams = [self._open(memory)[0] for _ in range(16)]

        def fill_all() -> None:
            for stream in streams:
                self._fill(memory, stream)

        self.assertRaises(invariants.InvariantBreachError, fill_all)
