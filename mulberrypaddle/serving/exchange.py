"""The life of one request, from its last byte to the end of its answer."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.core.errors import ANSWERS, ErrorKind
from mulberrypaddle.dispatch import Demand, judge
from mulberrypaddle.dispatch.patience import (
    LEAST_SEND_SECONDS,
    retry_after,
    stream_gap_seconds,
)
from mulberrypaddle.dispatch.waiting import Waiter, order_of
from mulberrypaddle.serving.admission import Admission, admit
from mulberrypaddle.serving.attempt import (
    Attempt,
    AttemptEnd,
    PlainAttempt,
    StreamAttempt,
)
from mulberrypaddle.serving.events_log import log_request, log_success
from mulberrypaddle.serving.metrics import (
    ATTEMPTS,
    FIRST_BYTE,
    REQUESTS,
    WHOLE_ANSWER,
)
from mulberrypaddle.serving.suspension import SuspensionMark

if TYPE_CHECKING:
    from mulberrypaddle.dispatch import Patience, WaitingLine
    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.caller import Caller
    from mulberrypaddle.serving.dialect import CallerFields
    from mulberrypaddle.serving.request_line import RequestLine

# Pause before a request that all runners turned away is offered again.
TURNED_AWAY_PAUSE_SECONDS = 0.06

# Urgency of a stream that goes on after a break: its caller is waiting.
RESUMED_URGENCY = 0

# Urgencies that runners know, 0 first.
LEAST_URGENCY = 9

# Urgencies of each rank of a route: in time, and late.
URGENCIES_A_RANK = 2


# Service label of a request that was refused before its service was known.
NO_SERVICE = "none"


class _Verdict(enum.Enum):
    """What follows from the end of an attempt."""

    DONE = "done"
    AGAIN = "again"
    UNKNOWN = "unknown"


class Exchange:
    """Answers one request."""

    def __init__(
        self,
        board: ServingBoard,
        caller: Caller,
        *,
        line: RequestLine,
        fields: CallerFields,
    ) -> None:
        self._board = board
        self._caller = caller
        self._line = line
        self._fields = fields
        self._arrived_at = board.now()
        self._arrival = SuspensionMark()
        # Known once the request was admitted.
        self._admitted: Admission | None = None
        self._excluded: set[str] = set()
        self._attempt: Attempt | None = None
        self._waiter: Waiter | None = None
        self._sends = 0
        self._first_counted = False
        self._may_have_run = False
        # Lives of the runners at which it may have run.
        self._runs: list[tuple[str, int | None]] = []
        self.last_event_id = fields.last_event_id

    async def run(self) -> None:
        """Answers the request, or refuses it."""
        self._caller.on_gone(self._caller_gone)
        if not self._admit():
            return
        if self._board.crashes.refuses(self._terms.mark, self._arrived_at):
            self._refuse(ErrorKind.QUARANTINED, "it has ended several runners")
            return
        self._board.demand.arrived(
            self._fields.model,
            busy_seconds=self._terms.busy_seconds,
            now_seconds=self._arrived_at,
        )
        while not self._caller.gone:
            entry = await self._place()
            if entry is None or self._caller.gone:
                if entry is not None:
                    self._board.loads.end(entry.runner_id)
                return
            verdict = await self._send(entry)
            if verdict is _Verdict.DONE:
                return
            if verdict is _Verdict.UNKNOWN:
                self._end_unknown()
                return

    def _admit(self) -> bool:
        """Decides on the request by its head; answers if it is refused."""
        board = self._board
        admitted = admit(
            board.config,
            line=self._line,
            fields=self._fields,
            arrived_at_seconds=self._arrived_at,
            ends_at_seconds=board.ends_at_seconds,
            rng=board.rng,
        )
        if isinstance(admitted, Success):
            self._admitted = admitted.unwrap()
            return True
        refusal = admitted.failure()
        self._refuse(
            refusal.kind,
            refusal.detail,
            retry_after_seconds=refusal.retry_after_seconds,
        )
        return False

    @property
    def _terms(self) -> Admission:
        """Returns the terms on which the request was admitted."""
        assert self._admitted is not None
        return self._admitted

    def _left_seconds(self, now: float) -> float:
        """Returns the time that the request still has."""
        left = self._terms.deadline_seconds - now
        return left - self._arrival.passed_seconds()

    def _is_on_time(self, now: float) -> bool:
        """Returns whether its answer can still come within the target."""
        return now <= self._terms.on_time_until_seconds

    # Placing.

    def _demand(self) -> Demand:
        return Demand(
            self._terms.service,
            model=self._fields.model if self._terms.service.engine else "",
            excluded=frozenset(self._excluded),
            resumed=self._may_have_run,
        )

    async def _place(self) -> RunnerEntry | None:
        """Returns a runner that counts the request already, or None.

        None means that the request was answered or its caller has left.
        """
        board = self._board
        line = board.line(self._terms.service.name, self._fields.model)
        order = order_of(
            arrived_at_seconds=self._arrived_at,
            urgency=RESUMED_URGENCY if self._sends else self._terms.urgency,
            busy_seconds=self._terms.busy_seconds,
        )
        waited = False
        while not self._caller.gone:
            now = board.now()
            if self._left_seconds(now) < LEAST_SEND_SECONDS:
                self._end_late()
                return None
            demand = self._demand()
            ahead = line.ahead_of(
                order,
                on_time=now <= self._terms.on_time_until_seconds,
                now_seconds=now,
            )
            # What was begun goes before what waits.
            if waited or self._may_have_run or ahead == 0:
                entry = self._pick(demand, now)
                if entry is not None:
                    return entry
            if self._only_excluded_sound(now):
                # Another try at the same runners is better than none.
                self._excluded.clear()
                await asyncio.sleep(TURNED_AWAY_PAUSE_SECONDS)
                continue
            if not await self._wait(demand, line, order, now):
                return None
            waited = True
        return None

    def _pick(self, demand: Demand, now: float) -> RunnerEntry | None:
        board = self._board
        entry = board.chooser.pick(
            demand, routers=board.live_routers, now_seconds=now
        )
        if entry is None:
            return None
        board.loads.begin(entry.runner_id)
        board.chooser.sent(entry, now_seconds=now)
        return entry

    def _others_sound(self, now: float) -> bool:
        sound = self._board.chooser.sound(self._demand(), now_seconds=now)
        return any(entry.runner_id not in self._excluded for entry in sound)

    def _only_excluded_sound(self, now: float) -> bool:
        sound = self._board.chooser.sound(self._demand(), now_seconds=now)
        return bool(sound) and not self._others_sound(now)

    async def _wait(
        self, demand: Demand, line: WaitingLine, order: float, now: float
    ) -> bool:
        """Waits for a place.

        Returns:
            Whether there may be one now; if not, the request was answered.
        """
        board = self._board
        on_time = self._is_on_time(now)
        patience, serving = self._judge_wait(
            demand, line, order, on_time=on_time, now=now
        )
        if patience.until_seconds is None or patience.until_seconds <= now:
            self._refuse_full(patience.retry_after_seconds, serving)
            return False
        waiter = Waiter(
            order,
            on_time_until_seconds=self._terms.on_time_until_seconds,
            until_seconds=patience.until_seconds,
            turn=board.loop.create_future(),
        )
        self._waiter = waiter
        line.add(waiter)
        try:
            if on_time:
                await asyncio.wait(
                    {waiter.turn},
                    timeout=self._terms.on_time_until_seconds - now,
                )
                if not waiter.turn.done():
                    patience, serving = self._judge_wait(
                        demand, line, order, on_time=False, now=board.now()
                    )
                    if patience.until_seconds is None:
                        self._refuse_full(patience.retry_after_seconds, serving)
                        return False
            in_time = await waiter.turn
        finally:
            line.drop(waiter)
            self._waiter = None
        if self._caller.gone:
            return False
        if not in_time:
            self._refuse_full(
                retry_after(
                    self._terms.busy_seconds,
                    now_seconds=board.now(),
                    deadline_seconds=self._terms.deadline_seconds,
                ),
                serving,
            )
        return in_time

    def _judge_wait(
        self,
        demand: Demand,
        line: WaitingLine,
        order: float,
        *,
        on_time: bool,
        now: float,
    ) -> tuple[Patience, int]:
        """Decides on waiting; returns the decision and the runners counted."""
        board = self._board
        serving = board.chooser.sound(demand, now_seconds=now)
        give_up_at = self._terms.deadline_seconds
        if self._terms.is_stream:
            give_up_at = self._last_sign_at() + stream_gap_seconds(
                target_seconds=self._terms.route.target_seconds,
                pause_seconds=self._terms.route.pause_seconds,
            )
        newer_slots = 0.0
        ahead = line.ahead_of(order, on_time=on_time, now_seconds=now)
        if on_time:
            # Others have as many in time waiting, on the mean.
            ahead *= board.live_routers
        else:
            model = self._fields.model
            newer_slots = board.demand.all_slots(now).get(model, 0.0)
            ahead += board.others_waiting(self._terms.service.name, model)
        patience = judge(
            now_seconds=now,
            give_up_at_seconds=give_up_at,
            deadline_seconds=self._terms.deadline_seconds,
            is_stream=self._terms.is_stream,
            serving_slots=sum(max(1, entry.slots) for entry in serving),
            ahead=ahead,
            busy_seconds=self._terms.busy_seconds,
            ready_in_seconds=board.opening_in.get(self._fields.model),
            newer_slots=newer_slots,
        )
        return patience, len(serving)

    def _last_sign_at(self) -> float:
        """Returns when the caller last got something of its stream."""
        if isinstance(self._attempt, StreamAttempt):
            return max(self._arrived_at, self._attempt.last_event_at)
        return self._arrived_at

    # Sending.

    async def _send(self, entry: RunnerEntry) -> _Verdict:
        board = self._board
        now = board.now()
        service = self._terms.service.name
        if not self._first_counted:
            self._first_counted = True
            board.retries.sent_first(service, now)
        elif self._sends and not board.retries.take(
            service, routers=board.live_routers, now_seconds=now
        ):
            board.loads.end(entry.runner_id)
            log_request(
                "retry_refused",
                request_id=self._fields.request_id,
                service=service,
                sends=self._sends,
            )
            if self._may_have_run:
                return _Verdict.UNKNOWN
            self._refuse_full(self._soon(), 0)
            return _Verdict.DONE
        self._sends += 1
        attempt = self._make_attempt(entry)
        try:
            end = await attempt.run(self._line, self._headers_for(entry, now))
        finally:
            board.loads.end(entry.runner_id)
            board.on_room()
        return self._judge_end(entry, attempt, end)

    def _make_attempt(self, entry: RunnerEntry) -> Attempt:
        board = self._board
        kind = StreamAttempt if self._terms.is_stream else PlainAttempt
        previous = self._attempt
        attempt = kind(
            self._board,
            self._caller,
            entry=entry,
            request_id=self._fields.request_id,
            route=self._terms.route,
            deadline_seconds=board.now() + self._left_seconds(board.now()),
            previous=previous,
            can_move=self._can_move,
        )
        self._attempt = attempt
        return attempt

    def _headers_for(
        self, entry: RunnerEntry, now: float
    ) -> list[tuple[str, str]]:
        last_event_id = self._fields.last_event_id
        if isinstance(self._attempt, StreamAttempt):
            last_event_id = self._attempt.resume_after(last_event_id)
        urgency = RESUMED_URGENCY
        if self._sends == 1:
            # At a head, too, what can still be in time goes first.
            late = not self._is_on_time(now)
            urgency = URGENCIES_A_RANK * self._terms.urgency + late
        return self._board.dialect.runner_headers(
            self._fields,
            organisation=self._terms.organisation,
            runner_id=entry.runner_id,
            urgency=min(LEAST_URGENCY, urgency),
            remaining_seconds=max(0.0, self._left_seconds(now)),
            last_event_id=last_event_id,
        )

    def _can_move(self, runner_id: str) -> bool:
        """Returns whether the request may leave a runner for another one.

        That is so only if another one has room: what a runner holds may yet
        be answered, what waits is not.
        """
        if not self._terms.route.may_repeat or not self._may_send_again(1):
            return False
        board = self._board
        demand = Demand(
            self._terms.service,
            model=self._fields.model if self._terms.service.engine else "",
            excluded=frozenset({*self._excluded, runner_id}),
            resumed=True,
        )
        return board.chooser.room(demand, now_seconds=board.now()) > 0

    def _may_send_again(self, running: int = 0) -> bool:
        """Returns whether the route allows one more runner.

        Runners whose lives have ended don't count.

        Args:
            running: Sends that have not ended yet.
        """
        counted = running
        for runner_id, born_ms in self._runs:
            entry = self._board.view.get(runner_id)
            if entry is not None and entry.born_ms == born_ms:
                counted += 1
        return counted < self._terms.route.max_runners

    def _judge_end(
        self, entry: RunnerEntry, attempt: Attempt, end: AttemptEnd
    ) -> _Verdict:
        board = self._board
        now = board.now()
        runner_id = entry.runner_id
        ATTEMPTS.labels(self._terms.service.name, end.value).inc()
        if end is AttemptEnd.DELIVERED:
            board.soundness.succeeded(runner_id)
            REQUESTS.labels(self._terms.service.name, "answered").inc()
            WHOLE_ANSWER.labels(self._terms.service.name).observe(
                now - self._arrived_at
            )
            first_byte_at = attempt.first_byte_at or now
            FIRST_BYTE.labels(self._terms.service.name).observe(
                max(0.0, first_byte_at - self._arrived_at)
            )
            log_success(
                request_id=self._fields.request_id,
                runner=runner_id,
                status=attempt.status,
                sends=self._sends,
                seconds=round(now - self._arrived_at, 3),
            )
            return _Verdict.DONE
        if end is AttemptEnd.CALLER_GONE:
            REQUESTS.labels(self._terms.service.name, "caller_gone").inc()
            log_request(
                "caller_gone",
                request_id=self._fields.request_id,
                runner=runner_id,
                seconds=round(now - self._arrived_at, 3),
            )
            return _Verdict.DONE
        log_request(
            "attempt_failed",
            request_id=self._fields.request_id,
            runner=runner_id,
            end=end.value,
            status=attempt.status,
            detail=attempt.detail,
            sends=self._sends,
            age=round(now - self._arrived_at, 3),
        )
        self._excluded.add(runner_id)
        if end is AttemptEnd.UNSENT:
            self._sends -= 1
            board.soundness.unreachable(runner_id, now)
            return _Verdict.AGAIN
        if end is AttemptEnd.NOT_RUN:
            if attempt.runner_at_fault:
                board.soundness.failed(runner_id, now)
            return _Verdict.AGAIN
        self._may_have_run = True
        self._runs.append(entry.life)
        if (
            end is AttemptEnd.TIMED_OUT
            and now >= self._terms.deadline_seconds - 0.01
        ):
            return _Verdict.UNKNOWN
        if end is AttemptEnd.STALLED:
            board.soundness.unreachable(runner_id, now)
            board.soundness.suspect(runner_id, now)
        else:
            board.soundness.failed(runner_id, now)
        if end is AttemptEnd.BROKEN:
            board.crashes.broke(self._terms.mark, entry.life, now)
        if not self._terms.route.may_repeat or not self._may_send_again():
            return self._pass_failure(attempt)
        if end is AttemptEnd.FAILED and not self._others_sound(now):
            return self._pass_failure(attempt)
        return _Verdict.AGAIN

    def _pass_failure(self, attempt: Attempt) -> _Verdict:
        """Passes a runner's own failure on, if there is one."""
        if attempt.pass_failure():
            return _Verdict.DONE
        return _Verdict.UNKNOWN

    # Endings.

    def _soon(self) -> float:
        return retry_after(
            self._terms.busy_seconds,
            now_seconds=self._board.now(),
            deadline_seconds=self._terms.deadline_seconds,
        )

    def _end_late(self) -> None:
        if self._may_have_run:
            self._end_unknown()
            return
        self._refuse(ErrorKind.DEADLINE_TOO_SHORT, "its time is up")

    def _end_unknown(self) -> None:
        """Ends a request of which nobody knows whether it ran."""
        if self._caller.started:
            self._log_end("cut", ErrorKind.STREAM_BROKEN, "the stream broke")
            self._caller.cut()
            return
        kind = ErrorKind.OUTCOME_UNKNOWN
        if (
            self._board.now()
            >= self._terms.deadline_seconds - LEAST_SEND_SECONDS
        ):
            kind = ErrorKind.DEADLINE_PASSED
        self._refuse(kind, "it may have run")

    def _refuse_full(self, retry_after_seconds: float, serving: int) -> None:
        if self._may_have_run:
            self._end_unknown()
            return
        kind = ErrorKind.OVERLOADED if serving else ErrorKind.NO_RUNNER
        self._refuse(
            kind,
            "no runner has room",
            retry_after_seconds=retry_after_seconds,
        )

    def _refuse(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        answer = ANSWERS[kind]
        if retry_after_seconds is None:
            retry_after_seconds = answer.retry_after_seconds
        status = answer.status
        if kind is ErrorKind.QUARANTINED:
            # This request has not run; others like it have ended runners.
            status = 503
        self._log_end("refused", kind, detail)
        self._caller.refuse(
            status,
            detail=f"{kind.value}: {detail}",
            retry_after_seconds=retry_after_seconds,
        )

    def _log_end(self, event: str, kind: ErrorKind, detail: str) -> None:
        board = self._board
        admitted = self._admitted
        service = admitted.service.name if admitted else NO_SERVICE
        REQUESTS.labels(service, kind.value).inc()
        log_request(
            event,
            request_id=self._fields.request_id,
            kind=kind.value,
            detail=detail,
            sends=self._sends,
            model=self._fields.model,
            age=round(board.now() - self._arrived_at, 3),
            config=board.config.version if board.config else 0,
            fleet=board.view.revision,
        )

    def _caller_gone(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()
        if self._waiter is not None and not self._waiter.turn.done():
            self._waiter.turn.set_result(False)
