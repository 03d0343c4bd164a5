"""Parser that splits a byte stream into complete server-sent events."""

from __future__ import annotations

# Longest event that is accepted; events of runners have a few hundred bytes.
MAX_EVENT_BYTES = 262_144


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


class EventParser:
    """Splits chunks of bytes into events; buffers an incomplete event."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Returns whether the buffer holds the start of an incomplete event."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Appends bytes and returns the events that they complete.

        Raises:
            ValueError: If an event is longer than `MAX_EVENT_BYTES`.
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
            events.append(StreamEvent(_parse_event_id(block), block))
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


def _parse_event_id(block: bytes) -> int | None:
    """Returns the numeric id of an event, or None if it has none."""
    for line in block.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
