"""Events of one answer that wait for the caller's socket."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.events import EventSplitter

if TYPE_CHECKING:
    from mulberrypaddle.frontdoor.events import StreamEvent


class EventQueue:
    """Keeps whole events in order, with no gap and no repeat.

    Attributes:
        has_offsets: Whether every event so far can be asked for again.
        is_whole: Whether the end mark was queued.
        queued_bytes: Bytes of the events that wait.
    """

    __slots__ = (
        "_events",
        "_queued_offset",
        "_sent_offset",
        "_splitter",
        "has_offsets",
        "is_whole",
        "queued_bytes",
    )

    def __init__(self) -> None:
        self._events: collections.deque[StreamEvent] = collections.deque()
        self._splitter = EventSplitter()
        self._queued_offset = -1
        self._sent_offset = -1
        self.has_offsets = True
        self.is_whole = False
        self.queued_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Returns all bytes that are kept, a partial event included."""
        return self.queued_bytes + self._splitter.partial_bytes

    @property
    def last_offset(self) -> int:
        """Returns the offset of the last token queued; -1 before any."""
        return self._queued_offset

    def take(self, chunk: bytes) -> Problem | None:
        """Takes the next bytes from a runner.

        Returns:
            Why the runner's answer can't go on, or None.
        """
        for event in self._splitter.split(chunk):
            if self.is_whole:
                return _broken("an event came after the end mark")
            if event.offset is None:
                self._queue_without_offset(event)
                continue
            if event.offset <= self._queued_offset:
                # A runner that resumed too early repeats itself.
                continue
            if event.offset > self._queued_offset + 1:
                return _broken(
                    f"got offset {event.offset} after {self._queued_offset}"
                )
            self._queued_offset = event.offset
            self._queue(event)
        return None

    def pop(self, limit_bytes: int) -> bytes:
        """Removes whole events of at most `limit_bytes`, at least one."""
        if not self._events:
            return b""
        parts: list[bytes] = []
        size_bytes = 0
        while self._events:
            event = self._events[0]
            if parts and size_bytes + len(event.data) > limit_bytes:
                break
            self._events.popleft()
            parts.append(event.data)
            size_bytes += len(event.data)
            if event.offset is not None:
                self._note_sent(event.offset)
        self.queued_bytes -= size_bytes
        return b"".join(parts)

    def _note_sent(self, offset: int) -> None:
        if offset != self._sent_offset + 1:
            invariants.check(
                False,
                invariants.Invariant.WHOLE_ANSWER,
                f"token {offset} sent after {self._sent_offset}",
            )
        self._sent_offset = offset

    def forget_partial(self) -> int:
        """Drops an event that is not whole; returns its size in bytes."""
        size_bytes = self._splitter.partial_bytes
        self._splitter = EventSplitter()
        return size_bytes

    def forget_queued(self) -> int:
        """Goes back to the last token sent; returns the bytes dropped."""
        size_bytes = self.queued_bytes + self.forget_partial()
        self._events.clear()
        self.queued_bytes = 0
        self._queued_offset = self._sent_offset
        self.is_whole = False
        return size_bytes

    def _queue_without_offset(self, event: StreamEvent) -> None:
        if event.is_end:
            self.is_whole = True
        elif event.has_data:
            self.has_offsets = False
        self._queue(event)

    def _queue(self, event: StreamEvent) -> None:
        self._events.append(event)
        self.queued_bytes += len(event.data)


def _broken(detail: str) -> Problem:
    return Problem(ErrorKind.STREAM_BROKEN, f"runner: {detail}")
