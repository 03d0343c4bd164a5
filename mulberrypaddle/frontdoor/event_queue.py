"""Server-sent events of one answer that wait for the caller's socket."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.event_splitter import EventSplitter

if TYPE_CHECKING:
    from mulberrypaddle.frontdoor.event_splitter import StreamEvent


class EventQueue:
    """Queues complete events in order of offset, without gaps or repeats.

    Attributes:
        has_offsets: Whether every data event so far had a token offset, so
            that a new attempt can resume the stream.
        is_complete: Whether the end mark was queued.
        queued_bytes: Bytes of the complete events that wait.
    """

    __slots__ = (
        "_events",
        "_queued_offset",
        "_sent_offset",
        "_splitter",
        "has_offsets",
        "is_complete",
        "queued_bytes",
    )

    def __init__(self) -> None:
        self._events: collections.deque[StreamEvent] = collections.deque()
        self._splitter = EventSplitter()
        self._queued_offset = -1
        self._sent_offset = -1
        self.has_offsets = True
        self.is_complete = False
        self.queued_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Returns all buffered bytes, including a partial event."""
        return self.queued_bytes + self._splitter.partial_bytes

    @property
    def last_offset(self) -> int:
        """Returns the offset of the last queued token; -1 if there is none."""
        return self._queued_offset

    def feed(self, chunk: bytes) -> Problem | None:
        """Parses the next bytes from a runner and queues complete events.

        Returns:
            STREAM_BROKEN if an event is missing or follows the end mark,
            else None.
        """
        for event in self._splitter.split(chunk):
            if self.is_complete:
                return _broken_stream("an event came after the end mark")
            if event.offset is None:
                self._queue_without_offset(event)
                continue
            if event.offset <= self._queued_offset:
                # A runner that resumed too early repeats earlier tokens.
                continue
            if event.offset > self._queued_offset + 1:
                return _broken_stream(
                    f"received token {event.offset} after {self._queued_offset}"
                )
            self._queued_offset = event.offset
            self._append(event)
        return None

    def pop(self, limit_bytes: int) -> bytes:
        """Removes and returns the next events.

        Args:
            limit_bytes: Most bytes to return; the first event is returned
                even if it is larger.
        """
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
                self._record_sent(event.offset)
        self.queued_bytes -= size_bytes
        return b"".join(parts)

    def _record_sent(self, offset: int) -> None:
        """Advances the last sent offset; asserts that none was skipped."""
        if offset != self._sent_offset + 1:
            invariants.check(
                False,
                invariants.Invariant.ANSWER_COMPLETE,
                f"token {offset} was sent after token {self._sent_offset}",
            )
        self._sent_offset = offset

    def discard_partial(self) -> int:
        """Drops a partial event and returns its size in bytes."""
        size_bytes = self._splitter.partial_bytes
        self._splitter = EventSplitter()
        return size_bytes

    def discard_unsent(self) -> int:
        """Drops all that was not sent, so that a runner can send it again.

        Returns:
            The bytes dropped.
        """
        size_bytes = self.queued_bytes + self.discard_partial()
        self._events.clear()
        self.queued_bytes = 0
        self._queued_offset = self._sent_offset
        self.is_complete = False
        return size_bytes

    def _queue_without_offset(self, event: StreamEvent) -> None:
        if event.is_end:
            self.is_complete = True
        elif event.has_data:
            self.has_offsets = False
        self._append(event)

    def _append(self, event: StreamEvent) -> None:
        self._events.append(event)
        self.queued_bytes += len(event.data)


def _broken_stream(detail: str) -> Problem:
    return Problem(ErrorKind.STREAM_BROKEN, f"runner: {detail}")
