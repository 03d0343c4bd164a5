"""Parser that splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re

# Longest event that is accepted; events of runners have a few hundred bytes.
MAX_EVENT_BYTES = 262_144

# A line of an event: a comment, a field with a colon, or the bare name of a
# field that servers may send without one.
_EVENT_LINE = re.compile(rb"(?:[A-Za-z][A-Za-z0-9_-]*)?:|(?:data|event|id)$")

# Most digits of an event id.
MAX_ID_DIGITS = 18


class StreamEvent:
    """One complete event.

    Attributes:
        event_id: Number in its `id` field; None if there is none.
        data: Its bytes, including the empty line at its end.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, event_id: int | None, data: bytes) -> None:
        self.event_id = event_id
        self.data = data

    @property
    def is_comment(self) -> bool:
        """Returns whether it consists of comments, which clients ignore."""
        return all(
            line.startswith(b":") for line in self.data.splitlines() if line
        )


class EventParser:
    """Splits chunks of bytes into events; buffers an incomplete event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Returns whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends bytes and returns the events that they complete.

        Raises:
            ValueError: If an event is longer than `MAX_EVENT_BYTES`, or if
                the bytes are no event.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = _first_event_end(self._buffer)
            if end < 0:
                break
            block = self._buffer[:end]
            self._buffer = self._buffer[end:]
            if not block.strip(b"\r\n"):
                continue
            events.append(_parse_event(block))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(
                f"incomplete event of {len(self._buffer)} bytes, "
                f"the limit is {MAX_EVENT_BYTES}"
            )
        return events


def _first_event_end(data: bytes) -> int:
    """Returns the offset after the first event, or -1 if it is incomplete."""
    ends = []
    for terminator in (b"\n\n", b"\r\n\r\n"):
        at = data.find(terminator)
        if at >= 0:
            ends.append(at + len(terminator))
    return min(ends) if ends else -1


def _parse_event(block: bytes) -> StreamEvent:
    """Parses one event.

    Raises:
        ValueError: If it has no id, and a line is neither comment nor field,
            or if the id has too many digits.
    """
    event_id = _parse_event_id(block)
    if event_id is not None:
        return StreamEvent(event_id, block)
    for line in block.splitlines():
        if line and not _EVENT_LINE.match(line):
            raise ValueError(f"not a field of an event: {line[:80]!r}")
    return StreamEvent(None, block)


def _parse_event_id(block: bytes) -> int | None:
    """Returns the numeric id of an event, or None if it has none.

    Raises:
        ValueError: If it has too many digits.
    """
    for line in block.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        if not text.isdigit():
            return None
        if len(text) > MAX_ID_DIGITS:
            raise ValueError(f"got an event id of {len(text)} digits")
        return int(text)
    return None
