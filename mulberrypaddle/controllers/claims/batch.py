"""Entries of a range's log that wait to be written, or are written."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from mulberrypaddle.controllers.claims import segments

if TYPE_CHECKING:
    from mulberrypaddle.controllers.claims.segments import Tail
    from mulberrypaddle.peers.proto.claims_pb2 import ClaimEntry

# A tail that has grown beyond this is followed by a new segment.
SEGMENT_BYTES = 65_536

Written = Callable[[bool], None]


class Line:
    """An entry that waits to be written, and whom to tell."""

    __slots__ = ("due_at_seconds", "encoded", "entry", "keep", "written")

    def __init__(
        self,
        entry: ClaimEntry,
        written: Written,
        *,
        keep: bool,
        due_at_seconds: float,
    ) -> None:
        self.due_at_seconds = due_at_seconds
        self.entry = entry
        self.encoded = segments.encode(entry)
        self.written = written
        self.keep = keep


class Batch:
    """Entries that are written together.

    Attributes:
        lines: The entries.
        write_id: Id in the written value, by which it is read back.
        content: Segment with the entries, without its last header.
        rolls: Whether the segment is a new one.
        doubtful: Whether an earlier try may have taken effect.
        tries: Counts the tries; a reply to an earlier one is ignored.
        sent_at_seconds: Monotonic time of the latest call.
        reading: Whether a read-back is under way.
    """

    __slots__ = (
        "content",
        "doubtful",
        "lines",
        "reading",
        "rolls",
        "sent_at_seconds",
        "tries",
        "write_id",
    )

    def __init__(self, lines: list[Line], *, write_id: str, tail: Tail) -> None:
        added = b"".join(line.encoded for line in lines)
        self.lines = lines
        self.write_id = write_id
        self.rolls = len(tail.content) >= SEGMENT_BYTES
        self.content = added if self.rolls else tail.content + added
        self.doubtful = False
        self.tries = 0
        self.sent_at_seconds = 0.0
        self.reading = False
