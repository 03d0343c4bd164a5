"""Carries one request through claim, admission and attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.backends import AttemptFailure
from mulberrypaddle.controllers.claims import ClaimReply, ClaimStart, KeptAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.core.request import AttemptState, Request
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket
from mulberrypaddle.frontdoor.kept import kept_answer
from mulberrypaddle.frontdoor.replies import no_wake, reply_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends import Completion, RunnerClient
    from mulberrypaddle.controllers.admission import Admission, AdmissionReply
    from mulberrypaddle.controllers.claims import Claims
    from mulberrypaddle.controllers.ejection import Ejection
    from mulberrypaddle.controllers.quarantine import (
        Clearance,
        ClearanceReply,
        Quarantine,
    )
    from mulberrypaddle.controllers.retries import Retries
    from mulberrypaddle.core.clock import Clock
    from mulberrypaddle.frontdoor.relay import Relay

# After these the same runner may do better on another attempt.
_BREAKS = frozenset({ErrorKind.STREAM_BROKEN, ErrorKind.OUTCOME_UNKNOWN})


class Pipeline:
    """The stages of one request, in order."""

    def __init__(
        self,
        *,
        admission: Admission,
        claims: Claims,
        quarantine: Quarantine,
        retries: Retries,
        ejection: Ejection,
        runners: RunnerClient,
        clock: Clock,
        wake: Callable[[], None] = no_wake,
    ) -> None:
        """Takes what the stages need.

        Args:
            admission: Admits and picks runners.
            claims: Claims what must run at most once.
            quarantine: Keeps back requests that crash runners.
            retries: Says whether another attempt is affordable.
            ejection: Learns from how attempts end.
            runners: Sends attempts.
            clock: Source of time.
            wake: Makes the controllers' next step come soon.
        """
        self._wake = wake
        self._quarantine = quarantine
        self._retries = retries
        self._ejection = ejection
        self._admission = admission
        self._claims = claims
        self._runners = runners
        self._clock = clock

    async def run(
        self, request: Request, relay: Relay
    ) -> Result[Completion | KeptAnswer, Problem]:
        """Answers one request.

        Args:
            request: The authenticated and checked request.
            relay: Where the answer goes as it comes.

        Returns:
            How it completed, the answer kept from an earlier run of the
            same key, or the problem with a true statement of execution.
        """
        result = await self._run(request, relay)
        return result.alt(relay.history.make_true)

    async def _run(
        self, request: Request, relay: Relay
    ) -> Result[Completion | KeptAnswer, Problem]:
        if request.idempotent:
            return await self._attempts(request, relay)
        claim = await self._claim(request)
        if not isinstance(claim, Success):
            return Failure(claim.failure())
        start = claim.unwrap()
        if start is not ClaimStart.RUN:
            return Success(start)
        try:
            return await self._attempts(request, relay)
        finally:
            # Also when the handler is cancelled: the owner must learn of it.
            self._claims.finish(
                request, relay.history.worst, kept_answer(relay)
            )

    async def _claim(
        self, request: Request
    ) -> Result[ClaimStart | KeptAnswer, Problem]:
        def ask(reply: ClaimReply) -> None:
            self._claims.begin(request, reply)

        return await reply_of(ask, wake=self._wake)

    async def _admit(
        self, request: Request, passed_over: frozenset[str]
    ) -> Result[Ticket, Problem]:
        def ask(reply: AdmissionReply) -> None:
            self._admission.submit(request, reply, passed_over=passed_over)

        return await reply_of(ask, wake=self._wake)

    async def _clear(self, request: Request) -> Result[Clearance, Problem]:
        def ask(reply: ClearanceReply) -> None:
            self._quarantine.check(request, reply)

        return await reply_of(ask, wake=self._wake)

    async def _attempts(
        self, request: Request, relay: Relay
    ) -> Result[Completion | KeptAnswer, Problem]:
        tried: set[str] = set()
        latest = ""
        failures = 0
        problem = Problem(ErrorKind.NO_RUNNER, "no attempt was made")
        self._retries.started(request)
        while True:
            if not relay.try_reserve():
                return Failure(_worse(problem, _no_memory()))
            cleared = await self._clear(request)
            if not isinstance(cleared, Success):
                return Failure(_worse(problem, cleared.failure()))
            may_repeat = relay.started or problem.kind in _BREAKS
            admitted = await self._admit_anywhere(
                request,
                tried,
                latest,
                may_repeat=may_repeat,
                avoid=cleared.unwrap().avoid,
            )
            if not isinstance(admitted, Success):
                self._quarantine.give_back(request)
                return Failure(_worse(problem, admitted.failure()))
            ticket = admitted.unwrap()
            if relay.ended is not None:
                self._release_unsent(ticket)
                return Failure(relay.ended)
            latest = ticket.runner.runner_id
            tried.add(latest)
            result = await self._attempt(ticket, relay)
            if isinstance(result, Success):
                return Success(result.unwrap())
            if relay.parked and relay.ended is None:
                await self._wait_for_reader(request, relay)
                tried.clear()
                continue
            failures += 1
            failure = result.failure()
            problem = failure.problem
            if not _may_retry(request, failure, relay):
                break
            wait_seconds = self._retries.may_retry(
                request, failure.state, attempts=failures
            )
            if wait_seconds is None:
                break
            await asyncio.sleep(wait_seconds)
        return Failure(problem)

    async def _admit_anywhere(
        self,
        request: Request,
        tried: set[str],
        latest: str,
        *,
        may_repeat: bool,
        avoid: frozenset[str],
    ) -> Result[Ticket, Problem]:
        """Admits to a runner not tried yet, or after a break to any.

        The runner of the latest attempt comes last, since it may be the one
        that refuses to resume.
        """
        passed_over = [frozenset(tried) | avoid]
        if avoid:
            passed_over.append(frozenset(tried))
        if may_repeat:
            passed_over += [frozenset((latest,)), frozenset()]
        for runner_ids in passed_over:
            admitted = await self._admit(request, runner_ids)
            if isinstance(admitted, Success):
                break
            if admitted.failure().kind is not ErrorKind.NO_RUNNER:
                break
        if not runner_ids >= tried:
            tried.clear()
        return admitted

    async def _wait_for_reader(self, request: Request, relay: Relay) -> None:
        """Waits, while the deadline stands still, until the reader is ready."""
        since_seconds = self._clock.monotonic_seconds()
        await relay.wait_for_reader()
        request.deadline_at_seconds += (
            self._clock.monotonic_seconds() - since_seconds
        )

    def _release_unsent(self, ticket: Ticket) -> None:
        self._quarantine.give_back(ticket.request)
        self._admission.release(
            AttemptOutcome(
                ticket,
                state=AttemptState.UNSENT,
                status=0,
                latency_seconds=0.0,
            )
        )

    async def _attempt(
        self, ticket: Ticket, relay: Relay
    ) -> Result[Completion, AttemptFailure]:
        allowed = self._claims.may_send(ticket.request)
        if not isinstance(allowed, Success):
            self._release_unsent(ticket)
            return Failure(
                AttemptFailure(allowed.failure(), AttemptState.UNSENT)
            )
        self._quarantine.sent(ticket)
        sent_at_seconds = self._clock.monotonic_seconds()
        timeout_seconds = ticket.request.deadline_at_seconds - sent_at_seconds
        state = AttemptState.MAYBE_RUN
        status = 0
        runner_died = False
        cancelled = False
        try:
            result = await self._runners.call(
                ticket,
                relay.new_sink(),
                timeout_seconds=max(timeout_seconds, 0.001),
            )
            if isinstance(result, Success):
                state = AttemptState.DONE
                status = result.unwrap().status
            else:
                state = result.failure().state
                runner_died = _runner_died(result.failure(), relay)
                cancelled = await self._cancel(ticket, state)
        finally:
            relay.history.end(state)
            relay.end_attempt()
            self._claims.attempt_ended(ticket.request, state)
            self._learn(
                AttemptOutcome(
                    ticket,
                    state=state,
                    status=status,
                    latency_seconds=self._clock.monotonic_seconds()
                    - sent_at_seconds,
                    runner_died=runner_died,
                    cancelled=cancelled,
                )
            )
        return result

    def _learn(self, outcome: AttemptOutcome) -> None:
        """Tells every controller that learns from attempts."""
        self._admission.release(outcome)
        self._quarantine.observe(outcome)
        self._ejection.observe(outcome)

    async def _cancel(self, ticket: Ticket, state: AttemptState) -> bool:
        """Returns whether an engine surely holds an attempt no longer."""
        if state is not AttemptState.MAYBE_RUN:
            return False
        if ticket.runner.kind is not ServiceKind.ENGINE:
            return False
        return isinstance(await self._runners.cancel(ticket), Success)


def _no_memory() -> Problem:
    return Problem(
        ErrorKind.OVERLOADED, "the memory for answers is in use by readers"
    )


def _runner_died(failure: AttemptFailure, relay: Relay) -> bool:
    """Returns whether the runner is to blame for a broken attempt."""
    if failure.state is not AttemptState.MAYBE_RUN:
        return False
    if relay.ended is not None or relay.parked:
        return False
    return failure.problem.kind is not ErrorKind.DEADLINE_PASSED


def _may_retry(request: Request, failure: AttemptFailure, relay: Relay) -> bool:
    """Returns whether another attempt can do no harm."""
    if relay.ended is not None:
        return False
    if failure.state in (AttemptState.UNSENT, AttemptState.REFUSED):
        return True
    if failure.problem.kind is ErrorKind.DEADLINE_PASSED:
        return False
    return request.idempotent and relay.can_resume


def _worse(earlier: Problem, latest: Problem) -> Problem:
    """Returns the problem to report when a retry was not admitted."""
    if earlier.ran is Ran.NOT_RUN:
        return latest
    return earlier
