"""Names and contents of the objects that hold a key range's log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.peers.proto.claims_pb2 import ClaimEntry, ClaimSegment

if TYPE_CHECKING:
    from mulberrypaddle.blackboard import StoredObject

CLAIMS_PREFIX = "claims"
_NUMBER_DIGITS = 12


class Segment:
    """One object of a range's log, as read.

    Attributes:
        key: Name of the object.
        number: Place in the log; the highest is the tail.
        version: Version in the object API.
        content: Serialised ClaimSegment.
    """

    __slots__ = ("_parsed", "content", "key", "number", "version")

    def __init__(self, stored: StoredObject) -> None:
        self.key = stored.key
        self.number = int(stored.key.rsplit("/", 1)[1].split("-")[0])
        self.version = stored.version
        self.content = stored.value
        self._parsed: ClaimSegment | None = None

    @property
    def parsed(self) -> ClaimSegment:
        """Returns the content, parsed when it is first asked for."""
        if self._parsed is None:
            self._parsed = ClaimSegment.FromString(self.content)
        return self._parsed

    def closed(self) -> ClosedSegment:
        """Returns what is kept of the segment once it is loaded."""
        tail = Tail(self.number, version=self.version, content=b"")
        for entry in self.parsed.entries:
            tail.add(entry)
        return tail.closed(self.key)


class Tail:
    """The segment that is being written.

    Attributes:
        number: Place in the log.
        version: Version in the object API.
        content: Serialised ClaimSegment.
        digests: Keys that it holds.
        newest_millis: Latest time in any of its keys.
    """

    __slots__ = ("content", "digests", "newest_millis", "number", "version")

    def __init__(self, number: int, *, version: int, content: bytes) -> None:
        self.number = number
        self.version = version
        self.content = content
        self.digests: set[bytes] = set()
        self.newest_millis = 0

    def add(self, entry: ClaimEntry) -> None:
        """Notes an entry of the segment."""
        self.digests.add(entry.key)
        self.newest_millis = max(self.newest_millis, entry.key_millis)

    def closed(self, key: str) -> ClosedSegment:
        """Returns what is kept once the segment is no longer written."""
        return ClosedSegment(
            key,
            version=self.version,
            newest_millis=self.newest_millis,
            digests=self.digests,
        )


class ClosedSegment:
    """A segment that is no longer written, kept until its keys expire.

    Attributes:
        key: Name of the object.
        version: Version in the object API.
        newest_millis: Latest time in any of its keys.
        digests: Keys that it holds.
    """

    __slots__ = ("digests", "key", "newest_millis", "version")

    def __init__(
        self, key: str, *, version: int, newest_millis: int, digests: set[bytes]
    ) -> None:
        self.key = key
        self.version = version
        self.newest_millis = newest_millis
        self.digests = digests


def range_prefix(range_number: int) -> str:
    """Returns the prefix of a range's objects."""
    return f"{CLAIMS_PREFIX}/{range_number:02d}/"


def segment_key(range_number: int, number: int, *, suffix: str = "") -> str:
    """Returns the name of one segment; names sort in order of the log."""
    return f"{range_prefix(range_number)}{number:0{_NUMBER_DIGITS}d}{suffix}"


def header(epoch: int, write_id: str) -> bytes:
    """Returns a segment without entries, to be put before or after some."""
    return ClaimSegment(epoch=epoch, write_id=write_id).SerializeToString()


def encode(entry: ClaimEntry) -> bytes:
    """Returns a segment that holds one entry."""
    return ClaimSegment(entries=[entry]).SerializeToString()
