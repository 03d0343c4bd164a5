"""Carries one request through claim, admission and attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure, Result, Success

from mulberrypaddle.controllers.claims import ClaimReply, ClaimStart, KeptAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.request import AttemptState, Request
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends import (
        AnswerSink,
        AttemptFailure,
        Completion,
        RunnerClient,
    )
    from mulberrypaddle.controllers.admission import Admission, AdmissionReply
    from mulberrypaddle.controllers.claims import Claims
    from mulberrypaddle.core.clock import Clock

T = TypeVar("T")

MAX_ATTEMPTS = 3


async def _reply_of(
    ask: Callable[[Callable[[Result[T, Problem]], None]], None],
) -> Result[T, Problem]:
    """Waits for the one reply of a controller."""
    future: asyncio.Future[Result[T, Problem]] = (
        asyncio.get_running_loop().create_future()
    )

    def reply(result: Result[T, Problem]) -> None:
        if not future.done():
            future.set_result(result)

    ask(reply)
    return await future


class Pipeline:
    """The stages of one request, in order."""

    def __init__(
        self,
        *,
        admission: Admission,
        claims: Claims,
        runners: RunnerClient,
        clock: Clock,
    ) -> None:
        self._admission = admission
        self._claims = claims
        self._runners = runners
        self._clock = clock

    async def run(
        self, request: Request, sink: AnswerSink
    ) -> Result[Completion | KeptAnswer, Problem]:
        """Answers one request.

        Args:
            request: The authenticated and checked request.
            sink: Where the answer goes as it comes.

        Returns:
            How it completed, the answer kept from an earlier run of the
            same key, or the problem with a true statement of execution.
        """
        if request.idempotent:
            return await self._attempts(request, sink)
        claim = await self._claim(request)
        if not isinstance(claim, Success):
            return Failure(claim.failure())
        start = claim.unwrap()
        if start is not ClaimStart.RUN:
            return Success(start)
        return await self._attempts(request, sink)

    async def _claim(
        self, request: Request
    ) -> Result[ClaimStart | KeptAnswer, Problem]:
        def ask(reply: ClaimReply) -> None:
            self._claims.begin(request, reply)

        return await _reply_of(ask)

    async def _admit(
        self, request: Request, passed_over: frozenset[str]
    ) -> Result[Ticket, Problem]:
        def ask(reply: AdmissionReply) -> None:
            self._admission.submit(request, reply, passed_over=passed_over)

        return await _reply_of(ask)

    async def _attempts(
        self, request: Request, sink: AnswerSink
    ) -> Result[Completion | KeptAnswer, Problem]:
        tried: set[str] = set()
        problem = Problem(ErrorKind.NO_RUNNER, "no attempt was made")
        for _ in range(MAX_ATTEMPTS):
            passed_over = frozenset(tried)
            admitted = await self._admit(request, passed_over)
            if not isinstance(admitted, Success):
                return Failure(_worse(problem, admitted.failure()))
            ticket = admitted.unwrap()
            tried.add(ticket.runner.runner_id)
            result = await self._attempt(ticket, sink)
            if isinstance(result, Success):
                return Success(result.unwrap())
            failure = result.failure()
            problem = failure.problem
            if not _may_retry(request, failure):
                break
        return Failure(problem)

    async def _attempt(
        self, ticket: Ticket, sink: AnswerSink
    ) -> Result[Completion, AttemptFailure]:
        sent_at_seconds = self._clock.monotonic_seconds()
        timeout_seconds = ticket.request.deadline_at_seconds - sent_at_seconds
        result = await self._runners.call(
            ticket, sink, timeout_seconds=max(timeout_seconds, 0.001)
        )
        state = AttemptState.DONE
        status = 0
        if isinstance(result, Success):
            status = result.unwrap().status
        else:
            state = result.failure().state
        self._admission.release(
            AttemptOutcome(
                ticket,
                state=state,
                status=status,
                latency_seconds=self._clock.monotonic_seconds()
                - sent_at_seconds,
                runner_died=state is AttemptState.MAYBE_RUN,
            )
        )
        return result


def _may_retry(request: Request, failure: AttemptFailure) -> bool:
    """Returns whether another attempt can do no harm."""
    if failure.state in (AttemptState.UNSENT, AttemptState.REFUSED):
        return True
    if failure.problem.kind is ErrorKind.STREAM_BROKEN:
        return False
    return request.idempotent


def _worse(earlier: Problem, latest: Problem) -> Problem:
    """Returns the problem to report when a retry was not admitted."""
    if earlier.ran is Ran.NOT_RUN:
        return latest
    return earlier
