"""Splits a byte stream into server-sent events.

Only an event's id and the end mark are interpreted, which is all that a
relay needs; see "Server-sent events" in
the HTML standard for the format.
"""

from __future__ import annotations

from mulberrypaddle.core.value_checks import parse_unsigned

# Data of the event that ends a stream of completions.
END_MARK = b"[DONE]"

_SEPARATOR = b"\n\n"


class StreamEvent:
    """One complete event, unchanged but for its line endings.

    Attributes:
        data: All its bytes, including the blank line at the end.
        offset: Token offset, from the event's id; None without a numeric id.
        is_end: Whether it is the end mark.
        has_data: Whether it has a data line; a comment has none.
    """

    __slots__ = ("data", "has_data", "is_end", "offset")

    def __init__(
        self, data: bytes, *, offset: int | None, is_end: bool, has_data: bool
    ) -> None:
        self.data = data
        self.offset = offset
        self.is_end = is_end
        self.has_data = has_data


class EventSplitter:
    """Buffers chunks and returns events as they become complete."""

    __slots__ = ("_partial",)

    def __init__(self) -> None:
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """Returns the number of buffered bytes of an incomplete event."""
        return len(self._partial)

    def split(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk and returns the events that it completes."""
        data = self._partial + chunk if self._partial else chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        parts = data.split(_SEPARATOR)
        self._partial = parts.pop()
        events = []
        for part in parts:
            events.append(_parse(part))
        return events


def _parse(part: bytes) -> StreamEvent:
    offset: int | None = None
    is_end = False
    has_data = False
    for line in part.split(b"\n"):
        name, _, value = line.partition(b":")
        if name == b"data":
            has_data = True
            is_end = is_end or value.strip() == END_MARK
        elif name == b"id":
            number = parse_unsigned(value.strip())
            offset = offset if number is None else number
    return StreamEvent(
        part + _SEPARATOR, offset=offset, is_end=is_end, has_data=has_data
    )
