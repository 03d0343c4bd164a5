"""The log of one key range in the object API: group commit and fencing.

A log is a row of numbered segments. Its owner rewrites the tail by
conditional update and starts the next segment once the tail has grown.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import (
    DeleteObject,
    Priority,
    ReadObject,
    StoredObject,
    WriteObject,
)
from mulberrypaddle.controllers.claims import segments
from mulberrypaddle.controllers.claims.batch import Batch, Line, Written
from mulberrypaddle.controllers.claims.segments import (
    ClosedSegment,
    Segment,
    Tail,
)
from mulberrypaddle.controllers.claims.takeover import Loaded, Takeover
from mulberrypaddle.controllers.duties import membership
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.peers.proto.claims_pb2 import ClaimEntry, ClaimSegment

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.claims.types import Protections

# Most bytes that one write adds.
BATCH_BYTES = 524_288
# Eight ranges at one write each 90 ms are 89 writes/s.
WRITE_INTERVAL_SECONDS = 0.09
# An entry that nobody waits for rides on the next claim's write until then.
DEFERRED_SECONDS = 0.2
RETRY_SECONDS = 0.3
# Segments that one step reads while a log is loaded.
SEGMENTS_PER_STEP = 8
# A call without any reply (the process slept through it) is in doubt.
CALL_TIMEOUT_SECONDS = 10.0


class LogState(enum.Enum):
    """What the log is doing."""

    CLOSED = "closed"
    LOADING = "loading"
    OPEN = "open"
    WRITING = "writing"
    IN_DOUBT = "in_doubt"


class RangeLog:
    """Writes and reads the log of one range.

    Attributes:
        state: What the log is doing.
    """

    def __init__(
        self,
        context: Context,
        range_number: int,
        *,
        protections: Protections,
        loaded: Callable[[list[ClaimEntry]], None],
        opened: Callable[[], None],
        closed: Callable[[], None],
    ) -> None:
        self.state = LogState.CLOSED
        self._on_loaded = loaded
        self._on_opened = opened
        self._on_closed = closed
        self._context = context
        self._range = range_number
        self._protections = protections
        self._takeover: Takeover | None = None
        self._unread: deque[Segment] = deque()
        self._queue: deque[Line] = deque()
        self._batch: Batch | None = None
        self._tail = Tail(0, version=0, content=b"")
        self._old: list[ClosedSegment] = []
        self._write_ids = 0
        self._not_before_seconds = 0.0
        self._due_at_seconds = float("inf")
        self._deleting: ClosedSegment | None = None

    @property
    def ready(self) -> bool:
        """Returns whether the log is loaded and fenced."""
        return self.state not in (LogState.CLOSED, LogState.LOADING)

    @property
    def queued(self) -> int:
        """Returns how many entries wait for their write."""
        return len(self._queue)

    def open(self, now_seconds: float) -> None:
        """Begins to load and fence the log if it is closed, or goes on."""
        if self._unread:
            self._load_some()
            return
        takeover = self._takeover
        if takeover is not None:
            waited_seconds = now_seconds - takeover.started_at_seconds
            if waited_seconds > CALL_TIMEOUT_SECONDS:
                self.close()
            return
        if self.state is not LogState.CLOSED:
            return
        if now_seconds < self._not_before_seconds:
            return
        self.state = LogState.LOADING
        self._takeover = Takeover(
            self._context,
            self._range,
            number_to_key=self._key,
            write_id=self._next_write_id(),
            fence=self._protections.fence,
            done=self._taken_over,
        )
        self._takeover.start()

    def close(self) -> None:
        """Forgets everything; entries under way may be durable or not."""
        if self.state is LogState.CLOSED:
            return
        self.state = LogState.CLOSED
        if self._takeover is not None:
            self._takeover.cancel()
        self._takeover = None
        self._unread.clear()
        self._batch = None
        self._queue.clear()
        self._due_at_seconds = float("inf")
        self._old = []
        self._deleting = None
        self._wait(self._context.now_seconds())
        self._on_closed()

    def append(
        self, entry: ClaimEntry, written: Written, *, keep: bool = False
    ) -> None:
        """Queues an entry for the next write.

        Args:
            entry: What to append.
            written: Called once with whether the entry is durable; not
                called when the log closes first.
            keep: Whether nobody waits for the entry: it may be deferred,
                and is tried again after the store refused the write.
        """
        due_at_seconds = self._context.now_seconds()
        if keep:
            due_at_seconds += DEFERRED_SECONDS
        self._queue.append(
            Line(entry, written, keep=keep, due_at_seconds=due_at_seconds)
        )
        self._due_at_seconds = min(self._due_at_seconds, due_at_seconds)

    def flush(self, now_seconds: float) -> None:
        """Starts the next call of the store, if one is due."""
        batch = self._batch
        if self.state is LogState.WRITING and batch is not None:
            if now_seconds - batch.sent_at_seconds > CALL_TIMEOUT_SECONDS:
                self._doubt(batch, now_seconds)
            return
        if now_seconds < self._not_before_seconds:
            return
        if self.state is LogState.IN_DOUBT and batch is not None:
            self._read_back(batch, now_seconds)
            return
        if self.state is not LogState.OPEN or not self._queue:
            return
        if now_seconds >= self._due_at_seconds:
            self._batch = Batch(
                self._take_lines(),
                write_id=self._next_write_id(),
                tail=self._tail,
            )
            self._write(self._batch, now_seconds)

    def delete_older(self, oldest_millis: int) -> frozenset[bytes]:
        """Deletes a closed segment whose keys have all expired.

        Args:
            oldest_millis: Keys before this time are refused everywhere.

        Returns:
            Digests of keys that may be forgotten.
        """
        if self._deleting is not None or not self.ready:
            return frozenset()
        for segment in self._old:
            if segment.newest_millis >= oldest_millis:
                continue
            self._deleting = segment
            self._old.remove(segment)
            self._context.board.intents.append(
                DeleteObject(
                    segment.key,
                    expected_version=segment.version,
                    priority=Priority.STATUS,
                    reply=self._deleted,
                )
            )
            return frozenset(segment.digests)
        return frozenset()

    def _deleted(self, result: Result[StoredObject, Problem]) -> None:
        # A segment that stays behind is found by the next owner.
        self._deleting = None

    def _next_write_id(self) -> str:
        self._write_ids += 1
        context = self._context
        return f"{context.member_id}-{context.incarnation}-{self._write_ids}"

    def _key(self, number: int) -> str:
        suffix = ""
        if not self._protections.fence:
            suffix = f"-{self._context.member_id}-{self._context.incarnation}"
        return segments.segment_key(self._range, number, suffix=suffix)

    def _taken_over(self, loaded: Loaded | None) -> None:
        self._takeover = None
        if loaded is None:
            self.close()
            return
        self._tail = Tail(
            loaded.number, version=loaded.version, content=loaded.content
        )
        self._unread.extend(loaded.found)
        self._load_some()

    def _load_some(self) -> None:
        """Reads a few segments, so that no step takes long."""
        for _ in range(SEGMENTS_PER_STEP):
            if not self._unread:
                break
            segment = self._unread.popleft()
            self._old.append(segment.closed())
            self._on_loaded(list(segment.parsed.entries))
        if self._unread:
            return
        self.state = LogState.OPEN
        self._not_before_seconds = 0.0
        self._on_opened()

    def _take_lines(self) -> list[Line]:
        lines: list[Line] = []
        size_bytes = 0
        while self._queue and size_bytes < BATCH_BYTES:
            line = self._queue.popleft()
            size_bytes += len(line.encoded)
            lines.append(line)
        # Lines beyond the limit of one write are due at once.
        self._due_at_seconds = 0.0 if self._queue else float("inf")
        return lines

    def _target(self, batch: Batch) -> tuple[str, int]:
        """Returns the object to write and its expected version."""
        if batch.rolls:
            return self._key(self._tail.number + 1), 0
        return self._key(self._tail.number), self._tail.version

    def _write(self, batch: Batch, now_seconds: float) -> None:
        self.state = LogState.WRITING
        self._not_before_seconds = now_seconds + WRITE_INTERVAL_SECONDS
        batch.tries += 1
        batch.sent_at_seconds = now_seconds
        tries = batch.tries
        key, expected_version = self._target(batch)

        def answered(result: Result[StoredObject, Problem]) -> None:
            if self._batch is batch and batch.tries == tries:
                self._answered(batch, result)

        epoch = membership(self._context).epoch
        self._context.board.intents.append(
            WriteObject(
                key,
                batch.content + segments.header(epoch, batch.write_id),
                expected_version=expected_version,
                priority=Priority.CLAIM,
                reply=answered,
            )
        )

    def _answered(
        self, batch: Batch, result: Result[StoredObject, Problem]
    ) -> None:
        if isinstance(result, Success):
            self._committed(batch, result.unwrap().version)
            return
        kind = result.failure().kind
        now_seconds = self._context.now_seconds()
        if kind is ErrorKind.CONFLICT and not batch.doubtful:
            self.close()
            return
        if kind is ErrorKind.STORE_UNAVAILABLE and not batch.doubtful:
            self._refused(batch, now_seconds)
            return
        if not self._protections.read_back:
            self._committed(batch, self._tail.version)
            return
        self._doubt(batch, now_seconds)

    def _doubt(self, batch: Batch, now_seconds: float) -> None:
        self.state = LogState.IN_DOUBT
        batch.doubtful = True
        batch.reading = False
        batch.tries += 1
        self._wait(now_seconds)

    def _read_back(self, batch: Batch, now_seconds: float) -> None:
        if batch.reading:
            waited_seconds = now_seconds - batch.sent_at_seconds
            if waited_seconds > CALL_TIMEOUT_SECONDS:
                self._doubt(batch, now_seconds)
            return
        batch.reading = True
        batch.sent_at_seconds = now_seconds
        tries = batch.tries

        def read(result: Result[StoredObject, Problem]) -> None:
            if self._batch is batch and batch.tries == tries:
                self._was_read(batch, result)

        key, _ = self._target(batch)
        self._context.board.intents.append(
            ReadObject(key, priority=Priority.CLAIM, reply=read)
        )

    def _was_read(
        self, batch: Batch, result: Result[StoredObject, Problem]
    ) -> None:
        now_seconds = self._context.now_seconds()
        batch.reading = False
        if not isinstance(result, Success):
            self._doubt(batch, now_seconds)
            return
        stored = result.unwrap()
        if ClaimSegment.FromString(stored.value).write_id == batch.write_id:
            self._committed(batch, stored.version)
            return
        _, expected_version = self._target(batch)
        if stored.version == expected_version:
            # The first try may still arrive: only one of the two can win.
            self._write(batch, now_seconds)
            return
        self.close()

    def _committed(self, batch: Batch, version: int) -> None:
        if batch.rolls:
            self._old.append(self._tail.closed(self._key(self._tail.number)))
            self._tail = Tail(self._tail.number + 1, version=0, content=b"")
        self._tail.version = version
        self._tail.content = batch.content
        self._batch = None
        self.state = LogState.OPEN
        for line in batch.lines:
            self._tail.add(line.entry)
        for line in batch.lines:
            line.written(True)
        self.flush(self._context.now_seconds())

    def _refused(self, batch: Batch, now_seconds: float) -> None:
        self._batch = None
        self.state = LogState.OPEN
        self._wait(now_seconds)
        self._due_at_seconds = now_seconds
        for line in reversed(batch.lines):
            if line.keep:
                self._queue.appendleft(line)
        for line in batch.lines:
            if not line.keep:
                line.written(False)

    def _wait(self, now_seconds: float) -> None:
        jitter = 0.5 + self._context.rng.random()
        self._not_before_seconds = now_seconds + RETRY_SECONDS * jitter
