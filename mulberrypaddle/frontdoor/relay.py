"""Relays one answer to its caller, over as many attempts as it takes."""

from __future__ import annotations

import abc
import asyncio
import collections
import enum
from typing import TYPE_CHECKING

from mulberrypaddle.backends import AnswerSink, ResumePoint
from mulberrypaddle.controllers.stream_memory import StreamListener
from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.attempts import AttemptHistory
from mulberrypaddle.frontdoor.event_queue import EventQueue

if TYPE_CHECKING:
    from mulberrypaddle.backends import AnswerHead, Upstream
    from mulberrypaddle.controllers.stream_memory import StreamMemory
    from mulberrypaddle.core.contract import ServiceTerms

# Largest write to a caller's socket; a reader shows progress in such steps.
SEND_BYTES = 16_384

# A whole answer up to this size is sent only once it is complete.
COLLECT_BYTES = 32_768

_EVENT_STREAM = "text/event-stream"


class CallerConnection(abc.ABC):
    """The caller's side of a relay."""

    @abc.abstractmethod
    def start(self, head: AnswerHead, *, whole: bool) -> None:
        """Sets status and headers.

        Args:
            head: What the runner answered.
            whole: Whether the declared length holds for the caller too.
        """

    @abc.abstractmethod
    def send(self, data: bytes) -> asyncio.Future[None]:
        """Writes bytes; the future is done when the socket took them."""


class RelayMode(enum.Enum):
    """How the bytes of an answer are handled."""

    NONE = "none"
    EVENTS = "events"
    COLLECT = "collect"
    STREAM = "stream"


class Relay(StreamListener):
    """The answer to one request on its way to the caller.

    Attributes:
        history: States of the attempts.
        started: Whether the caller was sent anything.
        mode: How the present answer is handled.
        parked: Whether the sender was cancelled for want of memory.
        ended: Why the caller gets nothing more; None while it does.
        late_bytes: Bytes of given-up attempts that were dropped.
        collected: Body of a small whole answer, for a keeper of answers.
    """

    def __init__(
        self,
        caller: CallerConnection,
        *,
        memory: StreamMemory,
        organisation: str,
        terms: ServiceTerms,
        takes_events: bool,
        resumable: bool,
    ) -> None:
        """Registers the stream.

        Args:
            caller: Where the answer goes.
            memory: The process's budget.
            organisation: Whose share is used.
            terms: Window and stall limit.
            takes_events: Whether an event stream must end with its mark.
            resumable: Whether another attempt may go on where one broke.
        """
        self._caller = caller
        self._takes_events = takes_events
        self._memory = memory
        self._resumable = resumable
        self._stream = memory.open(
            organisation,
            window_bytes=terms.reader_window_bytes,
            stall_seconds=terms.reader_stall_seconds,
            can_shed=False,
            listener=self,
        )
        self._sink: _AttemptSink | None = None
        self._upstream: Upstream | None = None
        self._head: AnswerHead | None = None
        self._events = EventQueue()
        self._pieces: collections.deque[bytes] = collections.deque()
        self._received_bytes = 0
        self._in_flight_bytes = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._room = asyncio.Event()
        self.history = AttemptHistory()
        self.started = False
        self.mode = RelayMode.NONE
        self.parked = False
        self.ended: Problem | None = None
        self.late_bytes = 0
        self.collected = b""

    @property
    def can_resume(self) -> bool:
        """Returns whether a new attempt can go on where the last broke."""
        if self.ended is not None:
            return False
        if not self.started:
            return True
        return (
            self._resumable
            and self.mode is RelayMode.EVENTS
            and self._events.has_offsets
        )

    @property
    def head(self) -> AnswerHead | None:
        """Returns the head of the answer, once there is one."""
        return self._head

    @property
    def resume_point(self) -> ResumePoint | None:
        """Returns where a new attempt has to go on."""
        if self.mode is not RelayMode.EVENTS or self._events.last_offset < 0:
            return None
        version = "" if self._head is None else self._head.adapter_version
        return ResumePoint(self._events.last_offset, adapter_version=version)

    @property
    def peak_bytes(self) -> int:
        """Returns the most bytes ever held for this reader."""
        return self._stream.peak_bytes

    def try_reserve(self) -> bool:
        """Sets memory aside for an attempt, if there is some."""
        return self._memory.reserve(self._stream)

    async def wait_for_reader(self) -> None:
        """Waits until the reader has all and there is memory to go on."""
        await self._idle.wait()
        while self.ended is None:
            self._room.clear()
            if self._memory.reserve(self._stream, waits=True):
                break
            await self._room.wait()
        self.parked = False

    def new_sink(self) -> AnswerSink:
        """Returns the sink of the next attempt; earlier ones are given up."""
        self._sink = _AttemptSink(self)
        self.history.begin()
        if not self.started:
            self._forget_answer()
        return self._sink

    def end_attempt(self) -> None:
        """Notes that the present attempt sends nothing more."""
        self._sink = None
        self._upstream = None
        self._drop(self._events.forget_partial())
        self._memory.unreserve(self._stream)

    async def all_sent(self) -> None:
        """Waits until the caller's socket took everything."""
        await self._idle.wait()

    def end(self, problem: Problem) -> None:
        """Sends the caller nothing more and cancels the runner."""
        if self.ended is not None:
            return
        self.ended = problem
        if self._upstream is not None:
            self._upstream.cancel(problem)
        self._memory.close(self._stream)
        self._pieces.clear()
        self._idle.set()
        self._room.set()

    def caller_gone(self) -> None:
        """Learns that the caller closed its connection."""
        self.end(Problem(ErrorKind.OUTCOME_UNKNOWN, "the caller went away"))

    def close(self) -> None:
        """Gives back all memory; the relay is not used after that."""
        self.end(Problem(ErrorKind.OUTCOME_UNKNOWN, "the relay is closed"))

    def check_whole(self) -> None:
        """Asserts, where an answer ends cleanly, that it is whole."""
        missing = self._missing()
        invariants.check(
            missing is None and not self._in_flight_bytes,
            invariants.Invariant.WHOLE_ANSWER,
            f"clean end of an answer: {missing}, "
            f"{self._in_flight_bytes} bytes unsent",
        )

    def room(self) -> None:
        """Lets the sender go on."""
        self._room.set()
        if self._upstream is not None:
            self._upstream.resume()

    def stalled(self) -> None:
        """Ends the answer of a reader that takes nothing."""
        self.end(
            Problem(
                ErrorKind.READER_STALLED,
                f"the reader took nothing for {self._stream.stall_seconds} s",
            )
        )

    def shed(self) -> int:
        """Keeps only the offset of what the runner can generate again."""
        self.parked = True
        if self._upstream is not None:
            self._upstream.cancel(
                Problem(ErrorKind.STREAM_BROKEN, "parked: memory is short")
            )
        self._sink = None
        return self._events.forget_queued()

    def attach(self, sink: _AttemptSink, upstream: Upstream) -> None:
        """Takes the control of the present attempt's sender."""
        if sink is not self._sink:
            return
        self._upstream = upstream
        if self.ended is not None:
            upstream.cancel(self.ended)

    def start(self, sink: _AttemptSink, head: AnswerHead) -> None:
        """Takes the head of the present attempt's answer."""
        if sink is not self._sink:
            return
        if self.started:
            self._check_same_stream(head)
            return
        self._head = head
        self.mode = self._mode_of(head)
        self._stream.can_shed = (
            self._resumable and self.mode is RelayMode.EVENTS
        )

    def take(self, sink: _AttemptSink, data: bytes) -> bool:
        """Takes bytes of the present attempt; drops those of any other."""
        if sink is not self._sink or self.ended is not None:
            self.late_bytes += len(data)
            return True
        needed = self._needs_more()
        if not self._memory.take(self._stream, len(data), needed=needed):
            self._check_event_fits(len(data), needed=needed)
            return False
        self._received_bytes += len(data)
        if self.mode is RelayMode.EVENTS:
            self._take_events(data)
        else:
            self._pieces.append(data)
        if self.mode is not RelayMode.COLLECT:
            self._send()
        return True

    def finish(self, sink: _AttemptSink) -> Problem | None:
        """Checks that the present attempt's answer is whole."""
        if self.ended is not None:
            return self.ended
        if sink is not self._sink or self._head is None:
            return Problem(ErrorKind.STREAM_BROKEN, "the attempt was given up")
        missing = self._missing()
        if missing is not None:
            return Problem(ErrorKind.STREAM_BROKEN, f"runner: {missing}")
        if self.mode is RelayMode.COLLECT:
            self.collected = b"".join(self._pieces)
        if not self.started:
            self._start_caller()
        self._send()
        return None

    def _mode_of(self, head: AnswerHead) -> RelayMode:
        is_event_stream = head.content_type.startswith(_EVENT_STREAM)
        if self._takes_events and is_event_stream and head.status == 200:
            return RelayMode.EVENTS
        if head.size_bytes is not None and head.size_bytes <= COLLECT_BYTES:
            return RelayMode.COLLECT
        return RelayMode.STREAM

    def _missing(self) -> str | None:
        if self.mode is RelayMode.EVENTS:
            if not self._events.is_whole:
                return "the stream ended without its end mark"
            return None
        assert self._head is not None
        declared_bytes = self._head.size_bytes
        if declared_bytes in (None, self._received_bytes):
            return None
        if self._received_bytes == 0:
            # The answer to HEAD declares a length and has no body.
            return None
        return f"got {self._received_bytes} bytes of {declared_bytes}"

    def _check_same_stream(self, head: AnswerHead) -> None:
        assert self._head is not None
        version = self._head.adapter_version
        if self._mode_of(head) is RelayMode.EVENTS and (
            head.adapter_version == version
        ):
            return
        self._fail_attempt(
            Problem(
                ErrorKind.STREAM_BROKEN,
                f"got status {head.status} and adapter "
                f"{head.adapter_version!r} on resuming adapter {version!r}",
            )
        )

    def _needs_more(self) -> bool:
        """Returns whether only a part of an event is held."""
        if self.mode is RelayMode.COLLECT:
            return True
        return not self._in_flight_bytes and not self._events.queued_bytes

    def _check_event_fits(self, size_bytes: int, *, needed: bool) -> None:
        """Fails an attempt whose next event can never be held whole."""
        if not needed or self.mode is not RelayMode.EVENTS:
            return
        if self._stream.fits(
            size_bytes, window_bytes=self._stream.window_bytes
        ):
            return
        self._fail_attempt(
            Problem(
                ErrorKind.STREAM_BROKEN,
                f"got an event above {self._events.held_bytes} bytes, "
                f"the window is {self._stream.window_bytes}",
            )
        )

    def _take_events(self, data: bytes) -> None:
        held_bytes = self._events.held_bytes
        problem = self._events.take(data)
        kept_bytes = self._events.held_bytes - held_bytes
        self._drop(len(data) - kept_bytes)
        if problem is not None:
            self._fail_attempt(problem)

    def _fail_attempt(self, problem: Problem) -> None:
        self._sink = None
        if self._upstream is not None:
            self._upstream.cancel(problem)

    def _forget_answer(self) -> None:
        """Drops what an attempt left that the caller saw nothing of."""
        size_bytes = self._events.forget_queued()
        for piece in self._pieces:
            size_bytes += len(piece)
        self.late_bytes += size_bytes
        self._pieces.clear()
        self._received_bytes = 0
        self.mode = RelayMode.NONE
        self._head = None
        self._drop(size_bytes)

    def _drop(self, size_bytes: int) -> None:
        if size_bytes and self.ended is None:
            self._memory.dropped(self._stream, size_bytes)

    def _start_caller(self) -> None:
        assert self._head is not None
        self.started = True
        self._caller.start(self._head, whole=self.mode is not RelayMode.EVENTS)

    def _next_piece(self) -> bytes:
        if self.mode is RelayMode.EVENTS:
            return self._events.pop(SEND_BYTES)
        if not self._pieces:
            return b""
        return self._pieces.popleft()

    def _send(self) -> None:
        """Writes what waits, one piece in flight at a time."""
        while self.ended is None and not self._in_flight_bytes:
            data = self._next_piece()
            if not data:
                self._idle.set()
                return
            if not self.started:
                self._start_caller()
            self._in_flight_bytes = len(data)
            sent = self._caller.send(data)
            if sent.done():
                self._note_sent(sent)
                continue
            self._idle.clear()
            self._memory.blocked(self._stream)
            sent.add_done_callback(self._sent_later)

    def _note_sent(self, sent: asyncio.Future[None]) -> None:
        size_bytes = self._in_flight_bytes
        self._in_flight_bytes = 0
        if sent.cancelled() or sent.exception() is not None:
            self.caller_gone()
            return
        if self.ended is None:
            self._memory.drained(self._stream, size_bytes)

    def _sent_later(self, sent: asyncio.Future[None]) -> None:
        self._note_sent(sent)
        self._send()


class _AttemptSink(AnswerSink):
    """What one attempt knows of the relay."""

    __slots__ = ("_relay",)

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    @property
    def resume_point(self) -> ResumePoint | None:
        return self._relay.resume_point

    def attach(self, upstream: Upstream) -> None:
        self._relay.attach(self, upstream)

    def start(self, head: AnswerHead) -> None:
        self._relay.start(self, head)

    def take(self, data: bytes) -> bool:
        return self._relay.take(self, data)

    def end(self) -> Problem | None:
        return self._relay.finish(self)
