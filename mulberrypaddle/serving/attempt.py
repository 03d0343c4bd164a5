"""One attempt at a request: what a runner made of it, as the caller gets it."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.stalls import (
    silence_limit_seconds,
    tells_on_head,
)
from mulberrypaddle.serving.events import EventCutter
from mulberrypaddle.serving.runner_call import CallEnd, RunnerCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import Route, RunnerEntry
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.caller import Caller
    from mulberrypaddle.serving.dialect import RunnerHead
    from mulberrypaddle.serving.request_line import RequestLine

# Pause between two looks at a running attempt.
LOOK_SECONDS = 0.1

# Longest answer of a plain service that is held until it is whole.
MOST_HELD_BYTES = 8_388_608

# Targets that a repeatable plain request waits for one runner before it is
# sent to another.
TRY_TARGETS = 3.0

# Statuses that promise a caller that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    CALLER_GONE = "caller_gone"
    UNSENT = "unsent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    STALLED = "stalled"
    TIMED_OUT = "timed_out"


class StreamProgress:
    """What a caller has of its stream, over all attempts.

    Attributes:
        last_event_id: Last event that was passed on; None before the first.
        last_event_at: Loop time at which it was passed on.
        first_event_at: Loop time at which the first one was passed on.
    """

    __slots__ = ("first_event_at", "last_event_at", "last_event_id")

    def __init__(self) -> None:
        self.last_event_id: int | None = None
        self.last_event_at = 0.0
        self.first_event_at = 0.0


class Attempt:
    """Base of the attempts; holds what is common to both kinds.

    Attributes:
        status: HTTP status of the runner; 0 before it came.
        detail: What went wrong, for the log.
        runner_at_fault: Whether a refusal speaks against the runner.
        first_byte_at: Loop time of the first byte that was passed on; 0 if
            none was, or with the whole answer at once.
    """

    def __init__(
        self,
        board: ServingBoard,
        caller: Caller,
        *,
        entry: RunnerEntry,
        request_id: str,
        route: Route,
        deadline_seconds: float,
        previous: Attempt | None,
        can_move: Callable[[str], bool],
    ) -> None:
        self._board = board
        self._caller = caller
        self._entry = entry
        self._request_id = request_id
        self._route = route
        self._deadline = deadline_seconds
        self._can_move = can_move
        self._head: RunnerHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._began_at = board.now()
        self._given_up: AttemptEnd | None = None
        self._call = RunnerCall(
            board.client, on_head=self._take_head, on_body=self._take_body
        )
        self.status = 0
        self.detail = ""
        self.runner_at_fault = False
        self.first_byte_at = 0.0
        self._set_up(previous)

    def _set_up(self, previous: Attempt | None) -> None:
        """Prepares what one kind of attempt has beside the others.

        Args:
            previous: The attempt at the same request before this one.
        """

    async def run(
        self, line: RequestLine, headers: list[tuple[str, str]]
    ) -> AttemptEnd:
        """Sends the request and waits for the end of the attempt."""
        task = asyncio.ensure_future(
            self._call.run(
                self._entry.address,
                method=line.method,
                target=line.target,
                headers=headers,
                body=line.body,
            )
        )
        while not task.done():
            await asyncio.wait({task}, timeout=LOOK_SECONDS)
            if not task.done() and self._given_up is None:
                self._look()
        return self._judge(task.result())

    def cancel(self) -> None:
        """Gives the attempt up because its caller has left."""
        self._give_up(AttemptEnd.CALLER_GONE)

    def pass_failure(self) -> bool:
        """Passes the runner's own failure on to the caller.

        Returns:
            Whether there was one that may be passed on.
        """
        head = self._head
        if head is None or self._caller.started or self._body_bytes < 0:
            return False
        if head.status < 400 or head.status in PROMISES or not self.whole:
            return False
        self._caller.answer(head.status, head.passed, b"".join(self._body))
        return True

    whole = False

    def _look(self) -> None:
        """Gives the attempt up if it lasts too long."""
        raise NotImplementedError

    def _give_up(self, end: AttemptEnd) -> None:
        if self._given_up is None:
            self._given_up = end
            self._call.cancel()

    def _take_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._head = self._board.dialect.read_runner(status, headers)
        self.status = status

    def _take_body(self, data: bytes) -> bool:
        self._hold(data)
        return True

    def _hold(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MOST_HELD_BYTES:
            self.detail = f"got an answer of over {MOST_HELD_BYTES} bytes"
            self._give_up(AttemptEnd.BROKEN)
            return
        self._body.append(data)

    def _judge(self, end: CallEnd) -> AttemptEnd:
        if self._given_up is not None:
            self.detail = self.detail or self._given_up.value
            return self._given_up
        if end is CallEnd.UNSENT:
            self.detail = self._call.error
            return AttemptEnd.UNSENT
        head = self._head
        if end is not CallEnd.COMPLETE or head is None:
            self.detail = self._call.error or "no answer"
            return AttemptEnd.BROKEN
        self.whole = True
        if head.request_id and head.request_id != self._request_id:
            self.detail = f"got the answer to {head.request_id}"
            self.whole = False
            return AttemptEnd.BROKEN
        if head.not_run:
            self.runner_at_fault = bool(head.fault_runner) or status_is_other(
                head.status
            )
            self.detail = f"refused, blames {head.fault_runner or 'nobody'}"
            return AttemptEnd.NOT_RUN
        if head.status >= 500:
            return AttemptEnd.FAILED
        if 200 <= head.status < 300 and (not head.sealed or head.encoded):
            self.detail = "the answer is not signed by its runner"
            self.whole = False
            return AttemptEnd.BROKEN
        return self._deliver(head)

    def _deliver(self, head: RunnerHead) -> AttemptEnd:
        self._caller.answer(head.status, head.passed, b"".join(self._body))
        return AttemptEnd.DELIVERED


def status_is_other(status: int) -> bool:
    """Returns whether a status says that another runner was meant."""
    return status == 421


class PlainAttempt(Attempt):
    """An attempt at a plain service; its answer is held until it is whole."""

    def _look(self) -> None:
        now = self._board.now()
        if now >= self._deadline:
            self._give_up(AttemptEnd.TIMED_OUT)
            return
        patience = self._route.target_seconds * TRY_TARGETS
        if now - self._began_at < patience:
            return
        if self._route.may_repeat and self._can_move(self._entry.runner_id):
            self._give_up(AttemptEnd.STALLED)


class StreamAttempt(Attempt):
    """An attempt at a stream; whole events are passed on as they come."""

    def _set_up(self, previous: Attempt | None) -> None:
        self._cutter = EventCutter()
        self._events = 0
        self._paused = False
        if isinstance(previous, StreamAttempt):
            self._progress: StreamProgress = previous._progress
        else:
            self._progress = StreamProgress()
        self._caller.on_drained(self._drained)

    @property
    def last_event_at(self) -> float:
        """Returns when the last event was passed on; 0 before the first."""
        return self._progress.last_event_at

    def resume_after(self, asked: int | None) -> int | None:
        """Returns the last event that the caller has.

        Args:
            asked: What the caller itself said at the start.
        """
        if self._progress.last_event_id is not None:
            return self._progress.last_event_id
        return asked

    def _look(self) -> None:
        now = self._board.now()
        if now >= self._deadline:
            self._give_up(AttemptEnd.TIMED_OUT)
            return
        if self._paused:
            return
        board = self._board
        runner_id = self._entry.runner_id
        progress_at = board.head_progress.get(runner_id, 0.0)
        silent = now - max(progress_at, self._call.last_sign_at_seconds)
        has_events = self._events > 0
        queued = board.loads.total(runner_id) > max(1, self._entry.slots)
        if tells_on_head(
            silent_seconds=silent, has_events=has_events, queued=queued
        ):
            board.soundness.suspect(runner_id, now)
        limit = silence_limit_seconds(
            has_events=has_events,
            suspected=board.soundness.suspected(runner_id, now),
            queued=queued,
        )
        if silent >= limit and self._can_move(runner_id):
            self.detail = f"silent for {silent:.2f} s"
            self._give_up(AttemptEnd.STALLED)

    def _take_body(self, data: bytes) -> bool:
        head = self._head
        assert head is not None
        if not self._streams(head):
            self._hold(data)
            return True
        try:
            events = self._cutter.feed(data)
        except ValueError as error:
            self.detail = str(error)
            self._give_up(AttemptEnd.BROKEN)
            return True
        keeps_up = True
        for event in events:
            keeps_up = self._pass_event(head, event.event_id, event.data)
        self._paused = not keeps_up
        return keeps_up

    def _streams(self, head: RunnerHead) -> bool:
        """Returns whether the body is the stream that was asked for."""
        return (
            200 <= head.status < 300
            and head.sealed
            and not head.encoded
            and head.request_id in ("", self._request_id)
        )

    def _pass_event(
        self, head: RunnerHead, event_id: int | None, data: bytes
    ) -> bool:
        if event_id is None:
            # A comment, say: it is no sign that the stream goes on, and
            # begins no answer.
            if self._given_up is not None or not self._caller.started:
                return True
            return self._caller.write(data)
        progress = self._progress
        last = progress.last_event_id
        self._events += 1
        self._board.head_progress[self._entry.runner_id] = self._board.now()
        if last is not None and event_id <= last:
            return True
        if last is not None and event_id != last + 1:
            self.detail = f"got event {event_id} after event {last}"
            self._give_up(AttemptEnd.BROKEN)
            return True
        if self._given_up is not None:
            return True
        if not self._caller.started:
            self._caller.start(head.status, _without_length(head.passed))
        progress.last_event_id = event_id
        progress.last_event_at = self._board.now()
        progress.first_event_at = (
            progress.first_event_at or progress.last_event_at
        )
        self.first_byte_at = progress.first_event_at
        return self._caller.write(data)

    def _drained(self) -> None:
        self._paused = False
        self._call.resume()

    def _deliver(self, head: RunnerHead) -> AttemptEnd:
        if not self._streams(head):
            return super()._deliver(head)
        if self._cutter.holds_part:
            self.detail = "the stream ended within an event"
            return AttemptEnd.BROKEN
        if not self._caller.started:
            self._caller.start(head.status, _without_length(head.passed))
        self._caller.finish()
        return AttemptEnd.DELIVERED


def _without_length(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() != "content-length"]
