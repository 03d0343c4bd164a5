"""Relays one answer to its caller, over one or more attempts."""

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
    from mulberrypaddle.backends import AnswerHead, AttemptControl
    from mulberrypaddle.controllers.stream_memory import StreamMemory
    from mulberrypaddle.core.contract import ServiceTerms

# Largest write of events to a caller's socket. A finished write is the sign of
# progress by which stalled readers are detected.
SEND_BYTES = 16_384

# Answers of a declared size up to this are buffered and sent once complete.
COLLECT_BYTES = 32_768

_EVENT_STREAM = "text/event-stream"


class CallerConnection(abc.ABC):
    """The connection to the caller, as a relay uses it."""

    @abc.abstractmethod
    def start(self, head: AnswerHead, *, keep_length: bool) -> None:
        """Sets status and headers.

        Args:
            head: Head of the runner's answer.
            keep_length: Whether to send the length that the runner declared.
        """

    @abc.abstractmethod
    def send(self, data: bytes) -> asyncio.Future[None]:
        """Writes bytes; the future is done once the socket accepted them."""


class RelayMode(enum.Enum):
    """How the bytes of an answer are handled.

    Attributes:
        NONE: No head of an answer was received yet.
        EVENTS: Server-sent events are queued and can be resumed.
        COLLECT: A small answer is buffered and sent once it is complete.
        STREAM: Bytes are forwarded as they are received.
    """

    NONE = "none"
    EVENTS = "events"
    COLLECT = "collect"
    STREAM = "stream"


class Relay(StreamListener):
    """Sends the answer of a request to its caller, with backpressure.

    Only the current attempt may add to the answer. If it fails, a new attempt
    can replace it as long as the caller was sent nothing, or resume it after
    the last token sent. All buffered bytes are charged to the memory budget.

    Attributes:
        history: Execution states of the attempts.
        started: Whether the head of the answer was sent to the caller.
        mode: How the current answer is handled.
        parked: Whether the attempt was cancelled to free memory, to be resumed
            once the reader has caught up.
        end_reason: Why nothing more is sent to the caller; None as long as the
            relay is open.
        late_bytes: Bytes dropped that came from abandoned attempts.
        collected_body: Complete body in mode COLLECT, to be stored for replay;
            empty otherwise.
    """

    def __init__(
        self,
        caller: CallerConnection,
        *,
        memory: StreamMemory,
        organisation: str,
        terms: ServiceTerms,
        parse_events: bool,
        resumable: bool,
    ) -> None:
        """Registers the answer with the memory budget.

        Args:
            caller: Connection that the answer is sent to.
            memory: The process's memory budget for answers.
            organisation: The organisation whose share of it is used.
            terms: Contract terms, with the reader's window and stall limit.
            parse_events: Whether event streams are parsed and must end with
                the end mark.
            resumable: Whether another attempt may resume an interrupted
                event stream.
        """
        self._caller = caller
        self._parse_events = parse_events
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
        self._upstream: AttemptControl | None = None
        self._head: AnswerHead | None = None
        self._events = EventQueue()
        self._chunks: collections.deque[bytes] = collections.deque()
        self._received_bytes = 0
        self._in_flight_bytes = 0
        self._write_idle = asyncio.Event()
        self._write_idle.set()
        self._memory_available = asyncio.Event()
        self.history = AttemptHistory()
        self.started = False
        self.mode = RelayMode.NONE
        self.parked = False
        self.end_reason: Problem | None = None
        self.late_bytes = 0
        self.collected_body = b""

    @property
    def can_resume(self) -> bool:
        """Returns whether a new attempt can replace or resume the last one."""
        if self.end_reason is not None:
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
        """Returns the head of the answer; None before it was received."""
        return self._head

    @property
    def resume_point(self) -> ResumePoint | None:
        """Returns where a new attempt resumes; None to start from the top."""
        if self.mode is not RelayMode.EVENTS or self._events.last_offset < 0:
            return None
        version = "" if self._head is None else self._head.adapter_version
        return ResumePoint(self._events.last_offset, adapter_version=version)

    @property
    def peak_bytes(self) -> int:
        """Returns the most bytes ever charged for this answer."""
        return self._stream.peak_bytes

    def reserve_memory(self) -> bool:
        """Reserves memory for an attempt; returns whether it was available."""
        return self._memory.reserve(self._stream)

    async def wait_for_reader(self) -> None:
        """Waits until all was sent and memory for a new attempt is reserved."""
        await self._write_idle.wait()
        while self.end_reason is None:
            self._memory_available.clear()
            if self._memory.reserve(self._stream, waits=True):
                break
            await self._memory_available.wait()
        self.parked = False

    def start_attempt(self) -> AnswerSink:
        """Returns the sink of a new attempt; earlier attempts are abandoned."""
        self._sink = _AttemptSink(self)
        self.history.record_start()
        if not self.started:
            self._discard_answer()
        return self._sink

    def end_attempt(self) -> None:
        """Detaches the current attempt and releases its reserved memory."""
        self._sink = None
        self._upstream = None
        self._release_memory(self._events.discard_partial())
        self._memory.unreserve(self._stream)

    async def wait_until_sent(self) -> None:
        """Waits until the caller's socket accepted everything sent so far."""
        await self._write_idle.wait()

    def terminate(self, problem: Problem) -> None:
        """Sends nothing more to the caller and cancels the current attempt.

        Args:
            problem: Becomes `end_reason`; ignored if there is one already.
        """
        if self.end_reason is not None:
            return
        self.end_reason = problem
        if self._upstream is not None:
            self._upstream.cancel(problem)
        self._memory.close(self._stream)
        self._chunks.clear()
        self._write_idle.set()
        self._memory_available.set()

    def on_caller_disconnect(self) -> None:
        """Terminates the relay: the caller closed its connection."""
        self.terminate(
            Problem(ErrorKind.OUTCOME_UNKNOWN, "the caller went away")
        )

    def close(self) -> None:
        """Releases all memory; the relay must not be used after this."""
        self.terminate(
            Problem(ErrorKind.OUTCOME_UNKNOWN, "the relay is closed")
        )

    def check_complete(self) -> None:
        """Asserts that an answer which ends without an error is complete."""
        missing = self._describe_missing()
        invariants.check(
            missing is None and not self._in_flight_bytes,
            invariants.Invariant.ANSWER_COMPLETE,
            f"clean end of an answer: {missing}, "
            f"{self._in_flight_bytes} bytes unsent",
        )

    def on_memory_available(self) -> None:
        """Resumes the paused attempt: memory is available again."""
        self._memory_available.set()
        if self._upstream is not None:
            self._upstream.resume()

    def stalled(self) -> None:
        """Terminates the answer of a reader that made no progress."""
        self.terminate(
            Problem(
                ErrorKind.READER_STALLED,
                f"the reader took nothing for {self._stream.stall_seconds} s",
            )
        )

    def shed(self) -> int:
        """Parks the answer: drops events that a runner can send again.

        Returns:
            The bytes dropped.
        """
        self.parked = True
        if self._upstream is not None:
            self._upstream.cancel(
                Problem(
                    ErrorKind.STREAM_BROKEN,
                    "parked: memory is short",
                )
            )
        self._sink = None
        return self._events.discard_unsent()

    def attach(self, sink: _AttemptSink, upstream: AttemptControl) -> None:
        """Stores the handle that pauses and cancels the current attempt."""
        if sink is not self._sink:
            return
        self._upstream = upstream
        if self.end_reason is not None:
            upstream.cancel(self.end_reason)

    def receive_head(self, sink: _AttemptSink, head: AnswerHead) -> None:
        """Records the head of the current attempt's answer and its mode."""
        if sink is not self._sink:
            return
        if self.started:
            self._check_same_stream(head)
            return
        self._head = head
        self.mode = self._choose_mode(head)
        self._stream.can_shed = (
            self._resumable and self.mode is RelayMode.EVENTS
        )

    def receive_data(self, sink: _AttemptSink, data: bytes) -> bool:
        """Buffers and sends bytes of the current attempt; drops late ones.

        Returns:
            Whether the bytes were accepted. If not, the attempt must pause and
            offer them again once `on_memory_available` has resumed it.
        """
        if sink is not self._sink or self.end_reason is not None:
            self.late_bytes += len(data)
            return True
        needed = self._cannot_send_yet()
        if not self._memory.accept(self._stream, len(data), needed=needed):
            self._check_event_fits(len(data), needed=needed)
            return False
        self._received_bytes += len(data)
        if self.mode is RelayMode.EVENTS:
            self._queue_events(data)
        else:
            self._chunks.append(data)
        if self.mode is not RelayMode.COLLECT:
            self._send_pending()
        return True

    def finish_attempt(self, sink: _AttemptSink) -> Problem | None:
        """Checks that the current attempt's answer is complete, and sends it.

        Returns:
            What is wrong with it, or None.
        """
        if self.end_reason is not None:
            return self.end_reason
        if sink is not self._sink or self._head is None:
            return Problem(ErrorKind.STREAM_BROKEN, "the attempt was given up")
        missing = self._describe_missing()
        if missing is not None:
            return Problem(ErrorKind.STREAM_BROKEN, f"runner: {missing}")
        if self.mode is RelayMode.COLLECT:
            self.collected_body = b"".join(self._chunks)
        if not self.started:
            self._send_head()
        self._send_pending()
        return None

    def _choose_mode(self, head: AnswerHead) -> RelayMode:
        """Returns how to handle an answer with this head."""
        is_event_stream = head.content_type.startswith(_EVENT_STREAM)
        if self._parse_events and is_event_stream and head.status == 200:
            return RelayMode.EVENTS
        if head.size_bytes is not None and head.size_bytes <= COLLECT_BYTES:
            return RelayMode.COLLECT
        return RelayMode.STREAM

    def _describe_missing(self) -> str | None:
        """Returns what the answer lacks, or None if it is complete."""
        if self.mode is RelayMode.EVENTS:
            if not self._events.is_complete:
                return "the stream ended without its end mark"
            return None
        assert self._head is not None
        declared_bytes = self._head.size_bytes
        if declared_bytes in (None, self._received_bytes):
            return None
        if self._received_bytes == 0:
            # The answer to a HEAD request declares a length without a body.
            return None
        return f"got {self._received_bytes} bytes of {declared_bytes}"

    def _check_same_stream(self, head: AnswerHead) -> None:
        """Fails an attempt that resumes with another kind or version."""
        assert self._head is not None
        version = self._head.adapter_version
        if self._choose_mode(head) is RelayMode.EVENTS and (
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

    def _cannot_send_yet(self) -> bool:
        """Returns whether nothing can be sent before more bytes arrive."""
        if self.mode is RelayMode.COLLECT:
            return True
        return not self._in_flight_bytes and not self._events.queued_bytes

    def _check_event_fits(self, size_bytes: int, *, needed: bool) -> None:
        """Fails an attempt whose next event is larger than the window."""
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

    def _queue_events(self, data: bytes) -> None:
        """Parses bytes into events and releases those that were dropped."""
        held_bytes = self._events.held_bytes
        problem = self._events.feed(data)
        kept_bytes = self._events.held_bytes - held_bytes
        self._release_memory(len(data) - kept_bytes)
        if problem is not None:
            self._fail_attempt(problem)

    def _fail_attempt(self, problem: Problem) -> None:
        """Detaches and cancels the current attempt."""
        self._sink = None
        if self._upstream is not None:
            self._upstream.cancel(problem)

    def _discard_answer(self) -> None:
        """Drops the buffered answer of an attempt that was never sent."""
        size_bytes = self._events.discard_unsent()
        for chunk in self._chunks:
            size_bytes += len(chunk)
        self.late_bytes += size_bytes
        self._chunks.clear()
        self._received_bytes = 0
        self.mode = RelayMode.NONE
        self._head = None
        self._release_memory(size_bytes)

    def _release_memory(self, size_bytes: int) -> None:
        """Returns the memory of bytes that were dropped to the budget."""
        if size_bytes and self.end_reason is None:
            self._memory.dropped(self._stream, size_bytes)

    def _send_head(self) -> None:
        assert self._head is not None
        self.started = True
        self._caller.start(
            self._head, keep_length=self.mode is not RelayMode.EVENTS
        )

    def _next_chunk(self) -> bytes:
        """Removes and returns the next bytes to write; empty if none wait."""
        if self.mode is RelayMode.EVENTS:
            return self._events.pop(SEND_BYTES)
        if not self._chunks:
            return b""
        return self._chunks.popleft()

    def _send_pending(self) -> None:
        """Writes buffered data to the caller, one write in flight at a time."""
        while self.end_reason is None and not self._in_flight_bytes:
            data = self._next_chunk()
            if not data:
                self._write_idle.set()
                return
            if not self.started:
                self._send_head()
            self._in_flight_bytes = len(data)
            sent = self._caller.send(data)
            if sent.done():
                self._record_sent(sent)
                continue
            self._write_idle.clear()
            self._memory.blocked(self._stream)
            sent.add_done_callback(self._on_sent)

    def _record_sent(self, sent: asyncio.Future[None]) -> None:
        """Releases the memory of a finished write, or handles its failure."""
        size_bytes = self._in_flight_bytes
        self._in_flight_bytes = 0
        if sent.cancelled() or sent.exception() is not None:
            self.on_caller_disconnect()
            return
        if self.end_reason is None:
            self._memory.drained(self._stream, size_bytes)

    def _on_sent(self, sent: asyncio.Future[None]) -> None:
        """Continues after a write that the socket did not accept at once."""
        self._record_sent(sent)
        self._send_pending()


class _AttemptSink(AnswerSink):
    """Passes one attempt's answer to the relay.

    The relay ignores a sink once its attempt was abandoned.
    """

    __slots__ = ("_relay",)

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    @property
    def resume_point(self) -> ResumePoint | None:
        return self._relay.resume_point

    def attach(self, upstream: AttemptControl) -> None:
        self._relay.attach(self, upstream)

    def start(self, head: AnswerHead) -> None:
        self._relay.receive_head(self, head)

    def accept(self, data: bytes) -> bool:
        return self._relay.receive_data(self, data)

    def end(self) -> Problem | None:
        return self._relay.finish_attempt(self)
