"""Whole events of a stream, cut from the bytes as they come."""

from __future__ import annotations

# Longest event that is put together; a runner's events have some hundred
# bytes.
MOST_EVENT_BYTES = 262_144


class StreamEvent:
    """One whole event.

    Attributes:
        event_id: Its id; None if it bears none.
        data: Its bytes, the empty line at its end included.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, event_id: int | None, data: bytes) -> None:
        self.event_id = event_id
        self.data = data


class EventCutter:
    """Cuts bytes into events and keeps what is not yet whole."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def holds_part(self) -> bool:
        """Returns whether an event has begun that is not whole."""
        return bool(self._rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that they complete.

        Raises:
            ValueError: If an event is longer than is put together.
        """
        self._rest += data
        events: list[StreamEvent] = []
        while True:
            end = _end_of_event(self._rest)
            if end < 0:
                break
            block = self._rest[:end]
            self._rest = self._rest[end:]
            if not block.strip(b"\r\n"):
                continue
            events.append(StreamEvent(_event_id(block), block))
        if len(self._rest) > MOST_EVENT_BYTES:
            raise ValueError(
                f"got an event of more than {len(self._rest)} bytes, "
                f"allowed are {MOST_EVENT_BYTES}"
            )
        return events


def _end_of_event(data: bytes) -> int:
    """Returns where the first event ends, or -1 if none is whole."""
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends) if ends else -1


def _event_id(block: bytes) -> int | None:
    for line in block.splitlines():
        if not line.startswith(b"id:"):
            continue
        text = line[3:].strip()
        return int(text) if text.isdigit() else None
    return None
