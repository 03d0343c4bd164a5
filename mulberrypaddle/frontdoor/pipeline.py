"""Runs one request through claim, quarantine, admission and attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.backends import AttemptFailure
from mulberrypaddle.controllers.claims import (
    ClaimReply,
    ClaimStart,
    StoredAnswer,
)
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.core.request import AttemptState, Request
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket
from mulberrypaddle.frontdoor.collected_answer import collected_answer
from mulberrypaddle.frontdoor.replies import no_wake, wait_for_reply

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.backends import AttemptCompletion, RunnerClient
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

# Failures of an attempt that was under way; another attempt at the same runner
# may succeed.
_INTERRUPTIONS = frozenset({ErrorKind.STREAM_BROKEN, ErrorKind.OUTCOME_UNKNOWN})


class Pipeline:
    """Runs requests: claims, admits, sends and retries them.

    Each stage is a controller that decides; the pipeline calls them in order
    and reports the outcome of every attempt back to them.
    """

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
        """Sets the controllers and adapters of the stages.

        Args:
            admission: Admits requests and chooses runners.
            claims: Claims requests that must run at most once.
            quarantine: Holds back requests suspected of crashing runners.
            retries: Decides whether the retry budget allows an attempt.
            ejection: Ejects runners whose attempts fail too often.
            runners: Client that sends attempts to runners.
            clock: Source of time.
            wake: Makes the next step of the controllers come early.
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
    ) -> Result[AttemptCompletion | StoredAnswer, Problem]:
        """Runs one request and relays its answer.

        Args:
            request: The authenticated and checked request.
            relay: Streams the answer to the caller.

        Returns:
            The completion, the stored answer of an earlier request with the
            same idempotency key, or a problem that says "not run" only if no
            attempt can have run.
        """
        result = await self._run(request, relay)
        return result.alt(relay.history.correct_ran)

    async def _run(
        self, request: Request, relay: Relay
    ) -> Result[AttemptCompletion | StoredAnswer, Problem]:
        """Runs the attempts, in a claim unless the request is idempotent."""
        if request.idempotent:
            return await self._run_attempts(request, relay)
        claim = await self._claim(request)
        if not isinstance(claim, Success):
            return Failure(claim.failure())
        start = claim.unwrap()
        if start is not ClaimStart.RUN:
            return Success(start)
        try:
            return await self._run_attempts(request, relay)
        finally:
            # Also if the handler is cancelled: the claim's owner must get the
            # outcome.
            self._claims.finish(
                request, relay.history.combined_state, collected_answer(relay)
            )

    async def _claim(
        self, request: Request
    ) -> Result[ClaimStart | StoredAnswer, Problem]:
        """Claims a request that must run at most once.

        Returns:
            RUN, the stored answer if the request already ran, or a problem.
        """

        def ask(reply: ClaimReply) -> None:
            self._claims.begin(request, reply)

        return await wait_for_reply(ask, wake=self._wake)

    async def _admit(
        self, request: Request, excluded_runner_ids: frozenset[str]
    ) -> Result[Ticket, Problem]:
        """Waits for admission to a runner not in `excluded_runner_ids`."""

        def ask(reply: AdmissionReply) -> None:
            self._admission.submit(
                request, reply, excluded_runner_ids=excluded_runner_ids
            )

        return await wait_for_reply(ask, wake=self._wake)

    async def _check_quarantine(
        self, request: Request
    ) -> Result[Clearance, Problem]:
        """Waits until the quarantine clears the next attempt or refuses it."""

        def ask(reply: ClearanceReply) -> None:
            self._quarantine.check(request, reply)

        return await wait_for_reply(ask, wake=self._wake)

    async def _run_attempts(
        self, request: Request, relay: Relay
    ) -> Result[AttemptCompletion | StoredAnswer, Problem]:
        """Sends attempts until one succeeds or no other is allowed.

        An attempt that was cancelled to save memory is repeated once the
        reader has caught up, and does not count as a failure.
        """
        tried: set[str] = set()
        latest_runner_id = ""
        failures = 0
        problem = Problem(ErrorKind.NO_RUNNER, "no attempt was made")
        self._retries.started(request)
        while True:
            if not relay.reserve_memory():
                return Failure(
                    _problem_to_report(problem, _answer_memory_exhausted())
                )
            cleared = await self._check_quarantine(request)
            if not isinstance(cleared, Success):
                return Failure(_problem_to_report(problem, cleared.failure()))
            may_reuse_runner = relay.started or problem.kind in _INTERRUPTIONS
            admitted = await self._admit_with_fallbacks(
                request,
                tried,
                latest_runner_id,
                may_reuse_runner=may_reuse_runner,
                avoid=cleared.unwrap().avoid,
            )
            if not isinstance(admitted, Success):
                self._quarantine.give_back(request)
                return Failure(_problem_to_report(problem, admitted.failure()))
            ticket = admitted.unwrap()
            if relay.end_reason is not None:
                self._release_unsent(ticket)
                return Failure(relay.end_reason)
            latest_runner_id = ticket.runner.runner_id
            tried.add(latest_runner_id)
            result = await self._send_attempt(ticket, relay)
            if isinstance(result, Success):
                return Success(result.unwrap())
            if relay.parked and relay.end_reason is None:
                await self._wait_for_reader(request, relay)
                tried.clear()
                continue
            failures += 1
            failure = result.failure()
            problem = failure.problem
            if not _is_safe_to_retry(request, failure, relay):
                break
            wait_seconds = self._retries.may_retry(
                request, failure.state, attempts=failures
            )
            if wait_seconds is None:
                break
            await asyncio.sleep(wait_seconds)
        return Failure(problem)

    async def _admit_with_fallbacks(
        self,
        request: Request,
        tried: set[str],
        latest_runner_id: str,
        *,
        may_reuse_runner: bool,
        avoid: frozenset[str],
    ) -> Result[Ticket, Problem]:
        """Admits to a runner not yet tried, else to less preferred ones.

        Args:
            request: The request.
            tried: Runners of earlier attempts; cleared if one of them may be
                used again.
            latest_runner_id: Runner of the latest attempt; it is the last
                choice, since it may be the one that refuses to resume.
            may_reuse_runner: Whether a runner already tried may be used.
            avoid: Runners to use only if no other is left.
        """
        exclusions = [frozenset(tried) | avoid]
        if avoid:
            exclusions.append(frozenset(tried))
        if may_reuse_runner:
            exclusions += [frozenset((latest_runner_id,)), frozenset()]
        for excluded_ids in exclusions:
            admitted = await self._admit(request, excluded_ids)
            if isinstance(admitted, Success):
                break
            if admitted.failure().kind is not ErrorKind.NO_RUNNER:
                break
        if not excluded_ids >= tried:
            tried.clear()
        return admitted

    async def _wait_for_reader(self, request: Request, relay: Relay) -> None:
        """Waits until the reader has caught up and memory is available.

        The deadline is extended by the time of the wait.
        """
        since_seconds = self._clock.monotonic_seconds()
        await relay.wait_for_reader()
        request.deadline_at_seconds += (
            self._clock.monotonic_seconds() - since_seconds
        )

    def _release_unsent(self, ticket: Ticket) -> None:
        """Releases the admission of an attempt that was not sent."""
        self._quarantine.give_back(ticket.request)
        self._admission.release(
            AttemptOutcome(
                ticket,
                state=AttemptState.UNSENT,
                status=0,
                latency_seconds=0.0,
            )
        )

    async def _send_attempt(
        self, ticket: Ticket, relay: Relay
    ) -> Result[AttemptCompletion, AttemptFailure]:
        """Sends one attempt and reports its outcome to the controllers."""
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
                relay.start_attempt(),
                timeout_seconds=max(timeout_seconds, 0.001),
            )
            if isinstance(result, Success):
                state = AttemptState.DONE
                status = result.unwrap().status
            else:
                state = result.failure().state
                runner_died = _runner_died(result.failure(), relay)
                cancelled = await self._cancel_at_engine(ticket, state)
        finally:
            relay.history.record_outcome(state)
            relay.end_attempt()
            self._claims.attempt_ended(ticket.request, state)
            self._report_outcome(
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

    def _report_outcome(self, outcome: AttemptOutcome) -> None:
        """Reports an attempt's outcome to the controllers that use it."""
        self._admission.release(outcome)
        self._quarantine.observe(outcome)
        self._ejection.observe(outcome)

    async def _cancel_at_engine(
        self, ticket: Ticket, state: AttemptState
    ) -> bool:
        """Cancels an attempt at an engine that may still run it.

        Returns:
            Whether the engine confirmed the cancellation.
        """
        if state is not AttemptState.MAYBE_RUN:
            return False
        if ticket.runner.kind is not ServiceKind.ENGINE:
            return False
        return isinstance(await self._runners.cancel(ticket), Success)


def _answer_memory_exhausted() -> Problem:
    return Problem(
        ErrorKind.OVERLOADED, "the memory for answers is in use by readers"
    )


def _runner_died(failure: AttemptFailure, relay: Relay) -> bool:
    """Returns whether the runner itself broke an attempt.

    Not so if the caller left, the attempt was parked, or its deadline passed.
    """
    if failure.state is not AttemptState.MAYBE_RUN:
        return False
    if relay.end_reason is not None or relay.parked:
        return False
    return failure.problem.kind is not ErrorKind.DEADLINE_PASSED


def _is_safe_to_retry(
    request: Request, failure: AttemptFailure, relay: Relay
) -> bool:
    """Returns whether another attempt is safe.

    It is if the failed attempt did not run, or if the request is idempotent
    and the caller's answer can be resumed.
    """
    if relay.end_reason is not None:
        return False
    if failure.state in (AttemptState.UNSENT, AttemptState.REFUSED):
        return True
    if failure.problem.kind is ErrorKind.DEADLINE_PASSED:
        return False
    return request.idempotent and relay.can_resume


def _problem_to_report(earlier: Problem, latest: Problem) -> Problem:
    """Chooses the problem to report when a retry was not admitted.

    An earlier attempt that may have run matters more to the caller than the
    refusal of the retry.
    """
    if earlier.ran is Ran.NOT_RUN:
        return latest
    return earlier
