"""Sends a request to a second runner if the first one is slow to answer.

Both sends run side by side until one of them has the first event of a stream or
a complete answer. At that moment, before a byte is written to the caller, the
other one is cancelled, so that only one of them ever writes. If one fails
before, it is recorded as any failed attempt, and the other goes on alone.
"""

from __future__ import annotations

import asyncio
import enum
import functools
from typing import TYPE_CHECKING, Any

from mulberrypaddle.dispatch import RunnerRequirements
from mulberrypaddle.dispatch.rank_shares import LEVELS_PER_RANK
from mulberrypaddle.serving.attempt import AttemptOutcome
from mulberrypaddle.serving.decision_log import log_request
from mulberrypaddle.serving.metrics import ATTEMPTS, HEDGES

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.serving.admission import Admission
    from mulberrypaddle.serving.attempt import Attempt
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.caller_connection import CallerConnection
    from mulberrypaddle.serving.header_codec import CallerHeaders

# Outcomes of a send without an answer whose duration is a lower bound of its
# first-event time.
_UNANSWERED = frozenset({AttemptOutcome.TIMED_OUT, AttemptOutcome.STALLED})


# Outcomes that say nothing of the runner, and need no further record.
_WITHOUT_FAULT = frozenset(
    {AttemptOutcome.CANCELLED, AttemptOutcome.CALLER_GONE}
)


class HedgeState(enum.Enum):
    """What became of the second send of a request, for the log.

    Attributes:
        NOT_DUE: The request was answered or failed before the delay had passed,
            or the delay is unknown.
        NOT_PERMITTED: The request may not be sent again, by its route, the
            deadline, a stop, or since it may crash runners.
        LIMIT: The share of requests that may be sent twice is used up.
        BUDGET: The part of the retry budget for second sends is used up.
        NO_RUNNER: No other runner has a free slot.
        SENT: It was sent, and neither send has answered yet.
        WON: The second send answered first.
        LOST: The first send answered first.
    """

    NOT_DUE = "not_due"
    NOT_PERMITTED = "not_permitted"
    LIMIT = "limit"
    BUDGET = "budget"
    NO_RUNNER = "no_runner"
    SENT = "sent"
    WON = "won"
    LOST = "lost"


class _Send:
    """One of the two sends.

    Attributes:
        attempt: The attempt.
        entry: Runner that it is sent to.
        started_at_seconds: Loop time at which it began.
        task: Runs the attempt.
    """

    __slots__ = ("attempt", "entry", "started_at_seconds", "task")

    def __init__(
        self,
        attempt: Attempt,
        entry: RunnerEntry,
        *,
        started_at_seconds: float,
        task: asyncio.Task[AttemptOutcome],
    ) -> None:
        self.attempt = attempt
        self.entry = entry
        self.started_at_seconds = started_at_seconds
        self.task = task


class HedgedAttempts:
    """Runs the first send of a request, and perhaps a second one beside it."""

    __slots__ = (
        "_board",
        "_caller",
        "_delay_seconds",
        "_excluded",
        "_fields",
        "_make_attempt",
        "_may_send",
        "_record_cancelled",
        "_record_failure",
        "_run_attempt",
        "_running",
        "_second",
        "_state",
        "_terms",
        "_winner",
    )

    def __init__(
        self,
        board: Blackboard,
        caller: CallerConnection,
        *,
        terms: Admission,
        fields: CallerHeaders,
        excluded: frozenset[str],
        may_send: Callable[[], bool],
        make_attempt: Callable[[RunnerEntry], Attempt],
        run_attempt: Callable[
            [Attempt, RunnerEntry, float],
            Coroutine[Any, Any, AttemptOutcome],
        ],
        record_failure: Callable[
            [RunnerEntry, Attempt, AttemptOutcome], object
        ],
        record_cancelled: Callable[[RunnerEntry, Attempt, Attempt], None],
    ) -> None:
        """Prepares the sends.

        Args:
            board: Shared state of the router.
            caller: Connection that the answer is written to.
            terms: Terms on which the request was admitted.
            fields: Parsed headers of the request.
            excluded: Ids of runners that it may not be sent to.
            may_send: Returns whether the request may be sent once more, by
                its route, its deadline and its attempts so far.
            make_attempt: Creates the second attempt and counts it as sent.
            run_attempt: Runs an attempt, and releases its slot at the end.
            record_failure: Records an attempt that failed while the other one
                goes on; what it decides is ignored.
            record_cancelled: Records an attempt that was cancelled, and the
                other one, which answered first.
        """
        self._board = board
        self._caller = caller
        self._terms = terms
        self._fields = fields
        self._excluded = excluded
        self._may_send = may_send
        self._make_attempt = make_attempt
        self._run_attempt = run_attempt
        self._record_failure = record_failure
        self._record_cancelled = record_cancelled
        self._running: list[_Send] = []
        self._second: _Send | None = None
        self._winner: _Send | None = None
        self._state = HedgeState.NOT_DUE
        self._delay_seconds: float | None = None

    @property
    def both_run(self) -> bool:
        """Returns whether both sends are in flight."""
        return len(self._running) > 1

    def cancel(self) -> None:
        """Cancels what is in flight: the caller closed its connection."""
        for send in self._running:
            send.attempt.cancel()

    def end(self) -> None:
        """Ends what is in flight, as the process ends."""
        for send in self._running:
            send.attempt.end()

    def log_fields(self) -> dict[str, object]:
        """Returns for the log what became of the second send; empty if none.

        The delay from the first send to the second one is in seconds.
        """
        if self._state is HedgeState.NOT_DUE or self._delay_seconds is None:
            return {}
        fields: dict[str, object] = {
            "hedge": self._state.value,
            "hedge_delay": round(self._delay_seconds, 3),
        }
        if self._second is not None:
            fields["hedge_runner"] = self._second.entry.runner_id
        return fields

    async def run(
        self, attempt: Attempt, entry: RunnerEntry, now: float
    ) -> tuple[RunnerEntry, Attempt, AttemptOutcome]:
        """Runs the sends until all of them have ended.

        Args:
            attempt: The first attempt.
            entry: Its runner, at which a slot is reserved.
            now: Loop time in seconds.

        Returns:
            The attempt that decides how the request goes on, with its runner
            and outcome: the one that answered, else the last that failed.
        """
        first = self._start(attempt, entry, now)
        try:
            await self._wait_for_delay(first)
            return await self._wait_for_end()
        finally:
            # Only after an error sends are left.
            self.cancel()

    def _start(self, attempt: Attempt, entry: RunnerEntry, now: float) -> _Send:
        """Starts a send."""
        send = _Send(
            attempt,
            entry,
            started_at_seconds=now,
            task=asyncio.ensure_future(self._run_attempt(attempt, entry, now)),
        )
        attempt.before_answer = functools.partial(self._choose, send)
        self._running.append(send)
        return send

    async def _wait_for_delay(self, first: _Send) -> None:
        """Waits for the first event, and sends again if it takes too long."""
        self._delay_seconds = self._board.hedging.delay_seconds(
            self._terms.service.name,
            self._fields.model if self._terms.service.engine else "",
            now_seconds=first.started_at_seconds,
        )
        if self._delay_seconds is None:
            return
        await asyncio.wait({first.task}, timeout=self._delay_seconds)
        if (
            first.task.done()
            or self._winner is not None
            or self._caller.disconnected
        ):
            return
        self._state = self._send_second(first)
        service = self._terms.service.name
        HEDGES.labels(service, self._state.value).inc()
        if self._state is not HedgeState.SENT:
            # Where all runners are slow, most requests come here.
            return
        log_request(
            "hedge",
            request_id=self._fields.request_id,
            runner=first.entry.runner_id,
            service=service,
            model=self._fields.model,
            **self.log_fields(),
        )

    def _send_second(self, first: _Send) -> HedgeState:
        """Sends the request to a second runner, if that is allowed now."""
        board = self._board
        service = self._terms.service.name
        if not self._may_send() or not self._is_harmless():
            return HedgeState.NOT_PERMITTED
        if not board.hedging.allows(service):
            return HedgeState.LIMIT
        now = board.now()
        entry = self._find_free_runner(first.entry, now)
        if entry is None:
            return HedgeState.NO_RUNNER
        if not board.retries.try_acquire_hedge(service, now_seconds=now):
            return HedgeState.BUDGET
        board.hedging.record_hedge(service)
        board.loads.add_request(entry.runner_id)
        board.chooser.record_sent(entry, now_seconds=now)
        self._second = self._start(self._make_attempt(entry), entry, now)
        return HedgeState.SENT

    def _is_harmless(self) -> bool:
        """Returns whether the request may run at two runners at once.

        One that may crash its runner must not crash two, and a planned stop
        leaves the runners to the requests that are in flight.
        """
        board = self._board
        return (
            self._terms.route.may_retry
            and not board.stopping
            and not board.crashes.has_losses(self._terms.request_fingerprint)
            and not board.crash_attribution.is_suspected(
                self._fields.prompt_parts
            )
        )

    def _find_free_runner(
        self, first: RunnerEntry, now: float
    ) -> RunnerEntry | None:
        """Returns another runner with a free slot, or None.

        A free slot is left to requests that wait for one, here or at other
        routers.

        Args:
            first: Runner of the first send.
            now: Loop time in seconds.
        """
        board = self._board
        service = self._terms.service
        model = self._fields.model
        queue = board.queues.get((service.name, model))
        if queue is not None and len(queue):
            return None
        if board.others_waiting(service.name, model):
            return None
        requirements = RunnerRequirements(
            service,
            model=model if service.engine else "",
            excluded=self._excluded | {first.runner_id},
        )
        rank = self._terms.rank
        outlook = board.rank_outlook(service.name, model) if rank else None
        if outlook is not None and board.chooser.free_capacity(
            requirements, routers=board.live_routers, now_seconds=now
        ) <= outlook.division.reserved_slots(LEVELS_PER_RANK * (rank or 0)):
            return None
        entry = board.chooser.pick(
            requirements, routers=board.live_routers, now_seconds=now
        )
        if entry is None or board.runner_health.is_suspected(
            entry.runner_id, now
        ):
            return None
        if board.loads.total(entry.runner_id) >= max(1, entry.slots):
            return None
        return entry

    def _choose(self, winner: _Send) -> None:
        """Lets a send answer the request, and cancels the other one.

        Called just before the first byte of its answer is written.
        """
        self._winner = winner
        now = self._board.now()
        if winner is not self._second:
            self._record_first_event(winner, now)
        for send in self._running:
            if send is not winner:
                send.attempt.cancel(AttemptOutcome.CANCELLED)
        if self._second is None:
            return
        self._state = HedgeState.LOST
        if winner is self._second:
            self._state = HedgeState.WON
            HEDGES.labels(self._terms.service.name, HedgeState.WON.value).inc()

    async def _wait_for_end(
        self,
    ) -> tuple[RunnerEntry, Attempt, AttemptOutcome]:
        """Waits until all sends have ended; returns the deciding one."""
        deciding: tuple[RunnerEntry, Attempt, AttemptOutcome] | None = None
        while self._running:
            done, _ = await asyncio.wait(
                {send.task for send in self._running},
                return_when=asyncio.FIRST_COMPLETED,
            )
            for send in list(self._running):
                if send.task not in done:
                    continue
                self._running.remove(send)
                outcome = send.task.result()
                self._record_end(send, outcome)
                if self._winner is not None:
                    decides = send is self._winner
                else:
                    decides = deciding is None and (
                        outcome is AttemptOutcome.CALLER_GONE
                        or not self._running
                    )
                if decides:
                    deciding = (send.entry, send.attempt, outcome)
                    continue
                # Its error response must not be forwarded any more.
                send.attempt.is_complete = False
                send.attempt.release_buffers()
                if outcome not in _WITHOUT_FAULT:
                    self._record_failure(send.entry, send.attempt, outcome)
        assert deciding is not None
        return deciding

    def _record_end(self, send: _Send, outcome: AttemptOutcome) -> None:
        """Records a send that has ended."""
        service = self._terms.service.name
        if outcome is AttemptOutcome.CANCELLED:
            ATTEMPTS.labels(service, outcome.value).inc()
            HEDGES.labels(service, outcome.value).inc()
            assert self._winner is not None
            self._record_cancelled(
                send.entry, send.attempt, self._winner.attempt
            )
        if send is self._second:
            return
        if outcome is AttemptOutcome.CANCELLED or (
            outcome in _UNANSWERED and self._winner is not send
        ):
            self._record_first_event(send, self._board.now())

    def _record_first_event(self, send: _Send, now: float) -> None:
        """Records how long a first send took, or has taken until now."""
        self._board.hedging.record_first_event(
            self._terms.service.name,
            self._fields.model if self._terms.service.engine else "",
            now - send.started_at_seconds,
            now_seconds=now,
        )
