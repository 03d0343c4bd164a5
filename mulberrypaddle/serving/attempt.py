"""One attempt at a request: sends it to a runner and forwards the answer."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.crash_attribution import CLEARING_EVENTS
from mulberrypaddle.dispatch.plain_runners import REROUTE_AFTER_TARGETS
from mulberrypaddle.dispatch.stalls import (
    is_head_stalled,
    silence_limit_seconds,
)
from mulberrypaddle.serving.announcements import record_announcement
from mulberrypaddle.serving.event_parser import EventParser
from mulberrypaddle.serving.header_codec import (
    is_misdirected,
    without_content_length,
)
from mulberrypaddle.serving.runner_call import CallOutcome, RunnerCall
from mulberrypaddle.serving.stream_progress import StreamProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import Route, RunnerEntry
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.caller_connection import CallerConnection
    from mulberrypaddle.serving.caller_request import CallerRequest
    from mulberrypaddle.serving.event_parser import StreamEvent
    from mulberrypaddle.serving.header_codec import RunnerResponseHead

# Interval at which a running attempt is checked against its time limits.
CHECK_INTERVAL_SECONDS = 0.1

# Longest answer that is buffered until it is complete.
MAX_BUFFERED_BYTES = 8_388_608

# Media type of a stream of events.
EVENT_STREAM = "text/event-stream"


class AttemptOutcome(enum.Enum):
    """How an attempt ended.

    Attributes:
        DELIVERED: The complete answer was passed to the caller.
        CALLER_GONE: The caller closed its connection.
        UNSENT: The runner could not be reached; the request did not run.
        NOT_RUN: The runner refused the request; it did not run.
        FAILED: The runner answered with an error (5xx), with a status that
            tells callers that the request has not run although it may have, or
            with what doesn't continue the stream that the caller is receiving;
            it may have run.
        BROKEN: The answer was incomplete or invalid; it may have run.
        STALE: No answer came over a kept connection; it may have run, and the
            runner need not be at fault.
        STALLED: No progress in time, and another runner had a free slot.
        SLOW: The same of a plain runner that need not be at fault.
        TIMED_OUT: The deadline of the request passed.
        ENDED: The process of this router ends.
        CANCELLED: The other one of two sends answered first; it may have run.
    """

    DELIVERED = "delivered"
    CALLER_GONE = "caller_gone"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    STALE = "stale"
    STALLED = "stalled"
    SLOW = "slow"
    TIMED_OUT = "timed_out"
    ENDED = "ended"
    CANCELLED = "cancelled"


class Attempt:
    """Base class of attempts at plain services and at streams.

    Attributes:
        status: HTTP status of the runner's answer; 0 before it is received.
        detail: What went wrong, for the log; empty if nothing did.
        runner_at_fault: Whether a refusal counts as a failure of the runner.
        first_byte_at: Loop time in seconds at which the first byte was
            forwarded; 0 if none was, or if the answer was sent at once.
        is_complete: Whether a complete and valid answer was received.
        before_answer: Called just before the answer's first byte is written.
        on_first_event: Called with the loop time of a stream's first event, or
            with that at which a plain attempt that runs was begun.
    """

    def __init__(
        self,
        board: Blackboard,
        caller: CallerConnection,
        *,
        entry: RunnerEntry,
        request_id: str,
        route: Route,
        deadline_seconds: float,
        prompt_parts: tuple[str, ...],
        resumes_after: int | None,
        previous: Attempt | None,
        reserve_reroute: Callable[[str], bool],
    ) -> None:
        """Prepares an attempt.

        Args:
            board: Shared state of the router.
            caller: Connection that the answer is written to.
            entry: Runner that the request is sent to.
            request_id: Id of the request.
            route: Route of the request.
            deadline_seconds: Loop time at which the attempt times out.
            prompt_parts: Parts of its prompt that other requests may share.
            resumes_after: Id of the last event of the stream that the caller
                resumes; None if it starts a new one.
            previous: The attempt at the same request before this one; None
                for the first.
            reserve_reroute: Returns whether the request may leave the given
                runner for another one, and reserves the retry.
        """
        self._board = board
        self._caller = caller
        self._entry = entry
        self._request_id = request_id
        self._route = route
        self._deadline = deadline_seconds
        self._prompt_parts = prompt_parts
        self._caller_resumes_after = resumes_after
        self._reserve_reroute = reserve_reroute
        self._head: RunnerResponseHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._held_bytes = board.answer_buffers.open(self._handle_eviction)
        self._started_at = board.now()
        self._abandoned_outcome: AttemptOutcome | None = None
        self._call = RunnerCall(
            board.client,
            on_head=self._handle_head,
            on_body=self._handle_body,
            # An answer to an earlier attempt could still come over a kept
            # connection, with the id of this request.
            uses_kept_connection=previous is None
            and route.may_use_kept_connections
            and board.connections.take(entry.address, board.now()),
            may_send=lambda: (
                not board.pauses.is_paused(entry.incarnation, board.now())
            ),
            on_head_bytes=self._handle_head_bytes,
        )
        self.status = 0
        self.detail = ""
        self.runner_at_fault = False
        self.first_byte_at = 0.0
        self.before_answer: Callable[[], None] = lambda: None
        self.on_first_event: Callable[[float], None] = lambda at: None
        self._set_up(previous)

    def _set_up(self, previous: Attempt | None) -> None:
        """Initializes the attributes of a subclass; the base class has none.

        Args:
            previous: The attempt at the same request before this one; None
                for the first.
        """

    async def run(
        self, request: CallerRequest, headers: list[tuple[str, str]]
    ) -> AttemptOutcome:
        """Sends the request and returns how the attempt ended.

        Args:
            request: The caller's request.
            headers: Headers to send to the runner, in order.
        """
        task = asyncio.ensure_future(
            self._call.run(
                self._entry.address,
                method=request.method,
                target=request.target,
                headers=headers,
                body=request.body,
            )
        )
        while not task.done():
            await asyncio.wait({task}, timeout=self._check_pause_seconds())
            if not task.done() and self._abandoned_outcome is None:
                self._check_limits()
        outcome = self._conclude(task.result())
        self._record_connection(outcome)
        return outcome

    def _record_connection(self, outcome: AttemptOutcome) -> None:
        """Records whether the connection of a call can be used again."""
        connections = self._board.connections
        if outcome is AttemptOutcome.STALE:
            connections.record_closed(self._entry.address)
            return
        timeout_seconds = self._call.keep_alive_seconds
        if timeout_seconds is None or not self.is_complete:
            return
        if self._call.uses_kept_connection:
            connections.record_used()
        connections.add(
            self._entry.address,
            timeout_seconds=timeout_seconds,
            now_seconds=self._board.now(),
        )

    def cancel(
        self, outcome: AttemptOutcome = AttemptOutcome.CALLER_GONE
    ) -> None:
        """Cancels the attempt, by default since the caller has gone."""
        self._abandon(outcome)

    def end(self) -> None:
        """Cancels the attempt, unless its call is over: the process ends."""
        if not self._call.has_ended:
            self._abandon(AttemptOutcome.ENDED)

    @property
    def was_sent(self) -> bool:
        """Returns whether the runner may have received the request."""
        return self._call.sent

    def forward_error_response(self) -> bool:
        """Forwards the runner's error response to the caller, if possible.

        Returns:
            Whether a complete error response was received and forwarded.
        """
        head = self._head
        if (
            head is None
            or self._caller.response_started
            or self._body_bytes < 0
        ):
            return False
        if head.status < 400 or head.promises_not_run or not self.is_complete:
            return False
        self._caller.send_response(
            head.status, head.forwarded_headers, self._take_body()
        )
        return True

    is_complete = False

    def release_buffers(self) -> None:
        """Frees what is held of the answer, which can't be forwarded then."""
        self._body.clear()
        self._held_bytes.release()

    def _take_body(self) -> bytes:
        """Returns the buffered body, which the attempt holds no longer."""
        body = b"".join(self._body)
        self.release_buffers()
        return body

    def _handle_eviction(self) -> None:
        """Ends the attempt, as it holds most of too many buffered bytes."""
        self.detail = "its answer held most of too many buffered bytes"
        self._body.clear()
        self._abandon(AttemptOutcome.BROKEN)

    def _handle_head_bytes(self, size_bytes: int) -> bool:
        """Records the size of the head; returns whether to go on reading."""
        self._head_bytes = size_bytes
        return self._record_held_bytes()

    def _record_held_bytes(self) -> bool:
        """Records how many bytes are held; returns whether to go on."""
        return self._held_bytes.resize(self._head_bytes + self._body_bytes)

    def progress_fields(self) -> dict[str, object]:
        """Returns for the log how far the attempt has come.

        That is, the runner, the number of its events, and the seconds since
        the last event, or since the attempt began.
        """
        silent_seconds = self._board.now() - self._last_received_at()
        return {
            "runner": self._entry.runner_id,
            "events": self.event_count,
            "silent": round(silent_seconds, 3),
        }

    def _last_received_at(self) -> float:
        """Returns the loop time of the last event; of the start if none."""
        return self._started_at

    @property
    def event_count(self) -> int:
        """Returns how many events the runner sent in this attempt."""
        return 0

    @property
    def longest_pause_seconds(self) -> float:
        """Returns the longest pause between two forwarded events."""
        return 0.0

    def _check_pause_seconds(self) -> float:
        """Returns the time to the next check of the time limits."""
        return CHECK_INTERVAL_SECONDS

    def _check_limits(self) -> None:
        """Abandons the attempt if it has exceeded a time limit."""
        raise NotImplementedError

    def _abandon(self, outcome: AttemptOutcome) -> None:
        """Cancels the call; the attempt then ends with the given outcome."""
        if self._abandoned_outcome is None:
            self._abandoned_outcome = outcome
            self._call.cancel()

    def _handle_head(self, status: int, headers: list[tuple[str, str]]) -> bool:
        """Parses the status and the headers of the answer.

        Returns:
            Whether it answers this request. Over a kept connection it must
            say so, since a late answer to an earlier request may come there.
        """
        head = self._board.header_codec.parse_runner_head(status, headers)
        self.status = status
        may_omit_id = not self._call.uses_kept_connection
        if head.request_id != self._request_id and not (
            may_omit_id and not head.request_id
        ):
            self.detail = f"got the answer to request {head.request_id}"
            return False
        record_announcement(self._board, self._entry, head.announcement)
        self._head = head
        return True

    def _handle_body(self, data: bytes) -> bool:
        """Handles a chunk of the body; returns whether to go on reading."""
        self._buffer_body(data)
        return True

    def _buffer_body(self, data: bytes) -> None:
        """Buffers a chunk; abandons the attempt if the body is too long."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BUFFERED_BYTES:
            self.detail = (
                f"the answer is longer than {MAX_BUFFERED_BYTES} bytes"
            )
            self.release_buffers()
            self._abandon(AttemptOutcome.BROKEN)
            return
        self._body.append(data)
        self._record_held_bytes()

    def _conclude(self, call_outcome: CallOutcome) -> AttemptOutcome:
        """Returns the outcome of the attempt, after the call has ended.

        A complete and valid answer is delivered to the caller.
        """
        if self._abandoned_outcome is not None:
            self.detail = self.detail or self._abandoned_outcome.value
            return self._abandoned_outcome
        if call_outcome is CallOutcome.UNSENT:
            self.detail = self._call.error
            return AttemptOutcome.UNSENT
        head = self._head
        if call_outcome is CallOutcome.STALE:
            self.detail = self._call.error or "no answer"
            return AttemptOutcome.STALE
        if call_outcome is not CallOutcome.COMPLETE or head is None:
            self.detail = self.detail or self._call.error or "no answer"
            return AttemptOutcome.BROKEN
        self.is_complete = True
        if head.not_run:
            self.runner_at_fault = bool(head.fault_runner) or is_misdirected(
                head.status
            )
            self.detail = (
                f"refused, fault attributed to {head.fault_runner or 'nobody'}"
            )
            return AttemptOutcome.NOT_RUN
        if head.status >= 500 or head.promises_not_run:
            return AttemptOutcome.FAILED
        if 200 <= head.status < 300 and (not head.sealed or head.encoded):
            self.detail = "the answer lacks the runner's seal or is encoded"
            self.is_complete = False
            return AttemptOutcome.BROKEN
        if 200 <= head.status < 300 and self._call.body_is_longer:
            self.detail = "the answer goes on behind the length of its body"
            self.is_complete = False
            return AttemptOutcome.BROKEN
        return self._deliver(head)

    def _deliver(self, head: RunnerResponseHead) -> AttemptOutcome:
        """Passes the complete answer to the caller."""
        self.before_answer()
        self._caller.send_response(
            head.status, head.forwarded_headers, self._take_body()
        )
        if 200 <= head.status < 300:
            self._clear_prompt_parts()
        return AttemptOutcome.DELIVERED

    def _clear_prompt_parts(self) -> None:
        """Records that the runner answers prompts with these parts."""
        self._board.crash_attribution.record_answer(
            self._prompt_parts, self._board.now()
        )


class PlainAttempt(Attempt):
    """An attempt at a plain service; buffers the answer until complete."""

    def _check_limits(self) -> None:
        """Abandons the attempt at the deadline, or if the runner is too slow.

        The latter only if the route allows retries and another runner has a
        free slot.
        """
        now = self._board.now()
        if now >= self._deadline:
            self._abandon(AttemptOutcome.TIMED_OUT)
            return
        reroute_after = self._route.target_seconds * REROUTE_AFTER_TARGETS
        if now - self._started_at < reroute_after:
            return
        if self._reserve_reroute(self._entry.runner_id):
            self._abandon(AttemptOutcome.STALLED)


class StreamAttempt(Attempt):
    """An attempt at a stream; forwards each event once it is complete."""

    def _set_up(self, previous: Attempt | None) -> None:
        """Takes over the progress of the stream from the previous attempt."""
        self._parser = EventParser()
        self._event_count = 0
        # Id of the last event of this attempt, whether forwarded or not.
        self._latest_event_id: int | None = None
        # When this attempt last received an event; None before the first, and
        # after a pause for a slow caller.
        self._received_event_at: float | None = None
        self._paused = False
        if isinstance(previous, StreamAttempt):
            self._progress: StreamProgress = previous._progress
        else:
            self._progress = StreamProgress()
        # Id of the event behind which the runner is to go on; None if it is to
        # start from the beginning.
        self._resumes_after = self.last_received_event_id
        # Whether the runner sent an event without an id, other than comments.
        self._has_events_without_id = False
        self._caller.set_drained_callback(self._on_caller_drained)

    @property
    def event_count(self) -> int:
        """Returns how many events the runner sent in this attempt."""
        return self._event_count

    @property
    def longest_pause_seconds(self) -> float:
        """Returns the longest pause between two forwarded events."""
        return self._progress.longest_pause_seconds

    def _last_received_at(self) -> float:
        """Returns the loop time of the last event; of the start if none."""
        return self._received_event_at or self._started_at

    @property
    def last_event_at(self) -> float:
        """Returns the loop time of the last forwarded event; 0 if none."""
        return self._progress.last_event_at

    @property
    def last_received_event_id(self) -> int | None:
        """Returns the id of the last event that the caller has received."""
        if self._progress.last_event_id is not None:
            return self._progress.last_event_id
        return self._caller_resumes_after

    def _check_limits(self) -> None:
        """Abandons the attempt at the deadline, or if the stream has stalled.

        The runner here is the head of a group. A head that has sent nothing for
        long is also marked as suspect; the attempt is abandoned only if another
        head has a free slot. While the transfer is paused for a slow caller,
        silence says nothing about the head.
        """
        now = self._board.now()
        if now >= self._deadline:
            self._abandon(AttemptOutcome.TIMED_OUT)
            return
        if self._paused:
            return
        board = self._board
        runner_id = self._entry.runner_id
        progress_at = board.head_progress.last_event_at(runner_id)
        silent_seconds = now - max(
            progress_at, self._call.last_progress_at_seconds
        )
        has_events = self._event_count > 0
        queued = board.loads.total(runner_id) > max(1, self._entry.slots)
        if is_head_stalled(
            silent_seconds=silent_seconds,
            has_events=has_events,
            queued=queued,
            suspect_after_seconds=board.head_progress.suspect_after_seconds(
                runner_id
            ),
        ):
            board.runner_health.mark_suspected(runner_id, now)
        limit_seconds = silence_limit_seconds(
            has_events=has_events,
            is_suspected=board.runner_health.is_suspected(runner_id, now),
            queued=queued,
        )
        if silent_seconds >= limit_seconds and self._reserve_reroute(runner_id):
            self.detail = f"no progress for {silent_seconds:.2f} s"
            self._abandon(AttemptOutcome.STALLED)

    def _handle_body(self, data: bytes) -> bool:
        """Forwards the events that a chunk completes.

        Returns:
            Whether the caller keeps up; if not, the transfer pauses.
        """
        head = self._head
        assert head is not None
        if not self._is_event_stream(head):
            self._buffer_body(data)
            return True
        try:
            events = self._parser.feed(data)
        except ValueError as error:
            self.detail = str(error)
            self._abandon(AttemptOutcome.BROKEN)
            return True
        self._body_bytes = self._parser.buffered_bytes
        if not self._record_held_bytes():
            return True
        keeps_up = True
        for event in events:
            keeps_up = self._forward_event(head, event)
        self._paused = not keeps_up
        return keeps_up

    def _is_event_stream(self, head: RunnerResponseHead) -> bool:
        """Returns whether to forward the body as events.

        Only for status 200 with the runner's signature header (seal), without
        content encoding and without another media type; other bodies are
        buffered.
        """
        return (
            head.status == 200
            and head.sealed
            and not head.encoded
            and head.media_type in ("", EVENT_STREAM)
        )

    def _forward_event(
        self, head: RunnerResponseHead, event: StreamEvent
    ) -> bool:
        """Forwards an event unless the caller has received it already.

        After a gap in the event ids the attempt is abandoned as BROKEN.

        Returns:
            Whether the caller keeps up.
        """
        event_id = event.event_id
        if event_id is None:
            return self._forward_event_without_id(event)
        progress = self._progress
        last = progress.last_event_id
        self._event_count += 1
        if self._event_count == 1:
            self.on_first_event(self._board.now())
        if self._event_count == CLEARING_EVENTS:
            self._clear_prompt_parts()
        self._latest_event_id = event_id
        self._record_head_progress()
        if last is not None and event_id <= last:
            return True
        if last is not None and event_id != last + 1:
            self.detail = f"gap in the events: {event_id} after {last}"
            self._abandon(AttemptOutcome.BROKEN)
            return True
        if self._abandoned_outcome is not None:
            return True
        self._start_answer(head)
        progress.record_event(event_id, self._board.now())
        self.first_byte_at = progress.first_event_at
        return self._caller.write(event.data)

    def _forward_event_without_id(self, event: StreamEvent) -> bool:
        """Forwards an event without an id, for example a comment.

        It does not count as progress and does not start the answer. Where an
        earlier attempt has begun the stream, it is dropped until this one has
        caught up: its place in the stream isn't known.

        Returns:
            Whether the caller keeps up.
        """
        if not event.is_comment:
            self._has_events_without_id = True
        if (
            self._abandoned_outcome is not None
            or not self._caller.response_started
            or not self._has_caught_up()
        ):
            return True
        return self._caller.write(event.data)

    def _has_caught_up(self) -> bool:
        """Returns whether this attempt has sent the last forwarded event."""
        return self._latest_event_id == self._progress.last_event_id

    def _ends_stream(self) -> bool:
        """Returns whether the end of the answer is that of the whole stream.

        A shorter stream than the one that was forwarded isn't. A runner that
        was to go on behind the last event that the caller has may have nothing
        left to send; its end counts unless it may be that of a crash.
        """
        if self._event_count:
            return self._has_caught_up()
        return (
            self._resumes_after is not None
            and self._resumes_after == self.last_received_event_id
            and self._call.has_marked_end
            and not self._has_events_without_id
        )

    def _record_head_progress(self) -> None:
        """Records that the head has sent an event of this attempt."""
        now = self._board.now()
        previous = self._received_event_at
        self._received_event_at = now
        self._board.head_progress.record_event(
            self._entry.runner_id,
            pause_seconds=None if previous is None else now - previous,
            now_seconds=now,
        )

    def _start_answer(self, head: RunnerResponseHead) -> None:
        """Starts the caller's response, unless it has started."""
        if self._caller.response_started:
            return
        self.before_answer()
        # Another attempt that runs beside this one may have set its own.
        self._caller.set_drained_callback(self._on_caller_drained)
        self._caller.start(
            head.status, without_content_length(head.forwarded_headers)
        )

    def _on_caller_drained(self) -> None:
        """Resumes the transfer once a slow caller has caught up."""
        self._paused = False
        self._received_event_at = None
        self._call.resume()

    def _deliver(self, head: RunnerResponseHead) -> AttemptOutcome:
        """Ends the caller's response, if the answer completes it.

        Once the response has started, other answers than streams can't be
        delivered, and a stream completes it only if it is the rest of the same
        stream.
        """
        started = self._caller.response_started
        if not self._is_event_stream(head):
            if started:
                self.detail = "the answer doesn't continue the stream"
                return AttemptOutcome.FAILED
            return super()._deliver(head)
        if self._parser.has_partial_event:
            self.detail = "the stream ended in the middle of an event"
            return AttemptOutcome.BROKEN
        if not self._ends_stream():
            if not started:
                self.detail = "the stream ended before its first event"
                return AttemptOutcome.BROKEN
            self.detail = (
                f"the stream ended at event {self._latest_event_id}, "
                f"{self._progress.last_event_id} was forwarded"
            )
            return AttemptOutcome.FAILED
        self._start_answer(head)
        self._caller.finish()
        self.first_byte_at = self._progress.first_event_at
        if self._event_count:
            self._clear_prompt_parts()
        return AttemptOutcome.DELIVERED
