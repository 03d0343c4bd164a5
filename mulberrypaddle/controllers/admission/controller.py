"""The controller that admits, queues and routes requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.admission.choice import Choice, Router
from mulberrypaddle.controllers.admission.dispatch import check_dispatch
from mulberrypaddle.controllers.admission.estimate import ServiceTime
from mulberrypaddle.controllers.admission.queue import FairQueue, Waiting
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.credits import (
    NOTHING,
    Amount,
    Credits,
    contract_limit,
    organisation_duty,
    runner_duty,
)
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket

if TYPE_CHECKING:
    from mulberrypaddle.core.rendezvous import Duty
    from mulberrypaddle.core.request import Request

AdmissionReply = Callable[[Result[Ticket, Problem]], None]

# Requests that wait for one service; one organisation fills at most half.
MAX_QUEUED = 2_048
# Idle credit of other routers is recalled within this time.
LIMIT_WAIT_SECONDS = 1.0
# Runners that credit is asked of, for one queued request.
ASKED_RUNNERS = 4
# Contract credit asked for while no runner credit is at hand.
LEAST_ASKED = 2
# Queued requests that ask for credit at the same time.
MAX_ASKING = 16
MAX_LISTED = 5


class Admission(Controller):
    """Admits requests within their contract and picks a runner for each."""

    name = "admission"

    def __init__(self, context: Context, credits: Credits) -> None:
        super().__init__(context)
        self._wallet = credits.wallet
        self._router = Router(context, credits.wallet)
        self._queues: dict[str, FairQueue] = {}
        self._times: dict[str, ServiceTime] = {}
        self._in_hand: dict[str, int] = {}
        self._attempts = 0

    def step(self, now_seconds: float) -> None:
        """Serves what waits, refuses what can't be served any more."""
        self._clear_demand()
        for service, queue in self._queues.items():
            if queue.size == 0:
                continue
            self._serve(service, now_seconds)
            self._drop_hopeless(service, queue, now_seconds)
            self._set_demand(service, queue, now_seconds)

    def submit(
        self,
        request: Request,
        reply: AdmissionReply,
        *,
        excluded_runner_ids: frozenset[str] = frozenset(),
    ) -> None:
        """Asks for permission to send one attempt.

        Args:
            request: The request.
            reply: Called once, now or in a later step.
            excluded_runner_ids: Runners that an earlier attempt was sent to.
        """
        now_seconds = self.context.now_seconds()
        waiting = Waiting(
            request,
            reply,
            excluded_runner_ids=excluded_runner_ids,
            queued_at_seconds=now_seconds,
        )
        problem = self._refusal(waiting, now_seconds)
        if problem is not None:
            self._refuse(waiting, problem)
            return
        queue = self._queues.setdefault(request.service, FairQueue())
        if queue.size == 0 and self._dispatch(waiting, now_seconds):
            return
        limit = contract_limit(
            self.context, request.organisation, request.service
        )
        queue.push(waiting, contract_requests=limit.requests)
        self._want_runner(waiting, now_seconds)
        self._want_contract(waiting, now_seconds)

    def release(self, outcome: AttemptOutcome) -> None:
        """Gives back what an attempt held, once its end is known.

        An attempt that may still run keeps the runner's credit counted by
        the runner's owner until the runner's own report shows its end.

        Args:
            outcome: How the attempt ended.
        """
        ticket = outcome.ticket
        request = ticket.request
        amount = Amount(1, ticket.reserved_tokens)
        organisation = organisation_duty(request.organisation, request.service)
        self._wallet.give_back(organisation, amount, succeeded=False)
        self._in_hand[request.service] -= 1
        runner = runner_duty(ticket.runner.runner_id)
        succeeded = outcome.state is AttemptState.DONE and outcome.status < 500
        if outcome.state is AttemptState.MAYBE_RUN and not outcome.cancelled:
            self._wallet.give_up(runner, amount)
        else:
            self._wallet.give_back(runner, amount, succeeded=succeeded)
        was_refused = (
            outcome.state is AttemptState.UNSENT and outcome.latency_seconds > 0
        )
        if was_refused or outcome.runner_died:
            self._wallet.suspect(runner)
        if succeeded:
            times = self._times.setdefault(request.service, ServiceTime())
            times.add(outcome.latency_seconds)
        queue = self._queues.get(request.service)
        if queue is not None and queue.size:
            self._serve(request.service, self.context.now_seconds())

    def queued(self, service: str) -> int:
        """Returns how many requests of a service wait at this router."""
        queue = self._queues.get(service)
        return 0 if queue is None else queue.size

    def _serve(self, service: str, now_seconds: float) -> None:
        """Dispatches in order of service until credit or queue is used up."""
        queue = self._queues[service]
        progress = True
        while progress:
            progress = False
            for waiting in queue.heads(now_seconds):
                if self._dispatch(waiting, now_seconds, queue=queue):
                    progress = True
                    break

    def _dispatch(
        self,
        waiting: Waiting,
        now_seconds: float,
        *,
        queue: FairQueue | None = None,
    ) -> bool:
        """Gives a request to a runner if there is credit for it."""
        request = waiting.request
        needed = Amount(1, request.tokens)
        organisation = organisation_duty(request.organisation, request.service)
        if not self._wallet.available(organisation, now_seconds).covers(needed):
            return False
        choice = self._router.choose(
            request, waiting.excluded_runner_ids, now_seconds
        )
        if choice is None:
            return False
        runner = runner_duty(choice.runner.runner_id)
        check_dispatch(
            self.context,
            choice.runner,
            confirmed_generation=self._wallet.account(runner).generation,
        )
        self._wallet.take(organisation, needed, now_seconds)
        self._wallet.take(runner, needed, now_seconds)
        if queue is not None:
            queue.remove(waiting, served=True)
        self._send(waiting, choice, now_seconds)
        return True

    def _send(
        self, waiting: Waiting, choice: Choice, now_seconds: float
    ) -> None:
        request = waiting.request
        self._attempts += 1
        in_hand = self._in_hand.get(request.service, 0)
        self._in_hand[request.service] = in_hand + 1
        waited_seconds = now_seconds - waiting.queued_at_seconds
        self.context.decide(
            "route",
            subject=request.request_id,
            outcome=choice.runner.runner_id,
            reason=choice.reason,
            organisation=request.organisation,
            service=request.service,
            considered=str(choice.considered),
            passed_over=",".join(
                sorted(waiting.excluded_runner_ids)[:MAX_LISTED]
            ),
            waited_seconds=f"{waited_seconds:.3f}",
        )
        waiting.reply(
            Success(
                Ticket(
                    request,
                    choice.runner,
                    attempt_id=(
                        f"{self.context.member_id}-"
                        f"{self.context.incarnation}-{self._attempts}"
                    ),
                    reserved_tokens=request.tokens,
                    admitted_at_seconds=now_seconds,
                )
            )
        )

    def _refuse(self, waiting: Waiting, problem: Problem) -> None:
        request = waiting.request
        self.context.decide(
            "refuse",
            subject=request.request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            organisation=request.organisation,
            service=request.service,
        )
        waiting.reply(Failure(problem))

    def _refusal(self, waiting: Waiting, now_seconds: float) -> Problem | None:
        """Returns why a request can't even wait, or None."""
        request = waiting.request
        problem = self._unfit()
        if problem is not None:
            return problem
        limit = contract_limit(
            self.context, request.organisation, request.service
        )
        if not limit.covers(Amount(1, request.tokens)):
            return Problem(
                ErrorKind.LIMIT_REACHED,
                f"got a request of {request.tokens} tokens, the contract "
                f"allows {limit.requests} requests and {limit.tokens} tokens",
            )
        problem = self._late_or_nowhere(waiting, now_seconds)
        if problem is not None:
            return problem
        return self._overloaded(request, limit)

    def _unfit(self) -> Problem | None:
        """Returns why this router takes no new work, or None."""
        entry = self.context.board.entry(keys.HEALTH)
        if entry is None:
            return None
        health = entry.value
        if health.stopping:
            return Problem(ErrorKind.SHUTTING_DOWN, "this router is stopping")
        if health.isolated:
            return Problem(
                ErrorKind.ISOLATED, "this router reaches no store and no peer"
            )
        return None

    def _late_or_nowhere(
        self, waiting: Waiting, now_seconds: float
    ) -> Problem | None:
        request = waiting.request
        eligible = self._router.eligible(
            request.service, waiting.excluded_runner_ids
        )
        fits = False
        for runner in eligible:
            if request.tokens <= runner.memory_tokens:
                fits = True
                break
        if not fits:
            return Problem(
                ErrorKind.NO_RUNNER,
                f"{len(eligible)} runners of {request.service!r} may take new "
                f"work, none has memory for {request.tokens} tokens",
            )
        remaining_seconds = request.deadline_at_seconds - now_seconds
        needed_seconds = self._needed_seconds(request)
        if remaining_seconds <= 0 or remaining_seconds < needed_seconds:
            return Problem(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"got {remaining_seconds:.2f} s, about "
                f"{needed_seconds:.2f} s are needed",
            )
        return None

    def _needed_seconds(self, request: Request) -> float:
        times = self._times.get(request.service)
        if times is None:
            return 0.0
        queue = self._queues.get(request.service)
        ahead = 0
        if queue is not None:
            # By fair shares only a part of what waits is served first.
            own = queue.count(request.organisation)
            ahead = min(queue.size, (own + 1) * queue.organisations())
        in_hand = self._in_hand.get(request.service, 0)
        return times.needed_seconds(ahead=ahead, in_hand=in_hand)

    def _overloaded(self, request: Request, limit: Amount) -> Problem | None:
        queue = self._queues.get(request.service)
        if queue is None:
            return None
        own = queue.count(request.organisation)
        if own >= limit.requests:
            return Problem(
                ErrorKind.LIMIT_REACHED,
                f"got {own + 1} requests waiting here, the contract allows "
                f"{limit.requests} in flight",
            )
        if queue.size >= MAX_QUEUED or own >= MAX_QUEUED // 2:
            return Problem(
                ErrorKind.OVERLOADED,
                f"got {queue.size} requests waiting, allowed are {MAX_QUEUED}",
            )
        return None

    def _drop_hopeless(
        self, service: str, queue: FairQueue, now_seconds: float
    ) -> None:
        """Refuses queued requests that can't be served any more."""
        unfit = self._unfit()
        eligible = set()
        for runner in self._router.eligible(service):
            eligible.add(runner.runner_id)
        for waiting in queue.all():
            problem = unfit or self._hopeless(waiting, eligible, now_seconds)
            if problem is None:
                continue
            queue.remove(waiting, served=False)
            self._refuse(waiting, problem)

    def _hopeless(
        self, waiting: Waiting, eligible: set[str], now_seconds: float
    ) -> Problem | None:
        """Returns why a queued request must be refused now, or None."""
        request = waiting.request
        if now_seconds >= request.deadline_at_seconds:
            return Problem(
                ErrorKind.DEADLINE_TOO_SHORT,
                "the deadline passed while the request waited for credit",
            )
        if eligible <= waiting.excluded_runner_ids:
            return Problem(
                ErrorKind.NO_RUNNER,
                f"no runner of {request.service!r} may take new work",
            )
        return self._limit_problem(waiting, now_seconds)

    def _limit_problem(
        self, waiting: Waiting, now_seconds: float
    ) -> Problem | None:
        """Returns LIMIT_REACHED once the ledger has said so for a while."""
        request = waiting.request
        duty = organisation_duty(request.organisation, request.service)
        needed = Amount(1, request.tokens)
        if self._wallet.available(duty, now_seconds).covers(needed):
            return None
        known = self._wallet.account(duty)
        if now_seconds - waiting.queued_at_seconds < LIMIT_WAIT_SECONDS:
            return None
        if known.answered_at_seconds < waiting.queued_at_seconds:
            return None
        if not known.exhausted:
            return None
        limit = contract_limit(
            self.context, request.organisation, request.service
        )
        return Problem(
            ErrorKind.LIMIT_REACHED,
            f"got one request beyond the contract, allowed are "
            f"{limit.requests} requests and {limit.tokens} tokens in flight",
        )

    def _clear_demand(self) -> None:
        for known in self._wallet.accounts.values():
            known.extra = NOTHING

    def _set_demand(
        self, service: str, queue: FairQueue, now_seconds: float
    ) -> None:
        """Tells the wallet what the queued requests need.

        Contract credit is wanted only as far as there is runner credit to
        use it with, so that a queue here doesn't keep it from others.
        """
        usable = LEAST_ASKED + self._runner_credit(service, now_seconds)
        asked: dict[str, int] = {}
        for index, waiting in enumerate(queue.all()):
            if index >= MAX_ASKING:
                return
            self._want_runner(waiting, now_seconds)
            organisation = waiting.request.organisation
            asked[organisation] = asked.get(organisation, 0) + 1
            if asked[organisation] <= usable:
                self._want_contract(waiting, now_seconds)

    def _runner_credit(self, service: str, now_seconds: float) -> int:
        total = 0
        for runner in self._router.eligible(service):
            duty = runner_duty(runner.runner_id)
            total += self._wallet.available(duty, now_seconds).requests
        return total

    def _want_runner(self, waiting: Waiting, now_seconds: float) -> None:
        request = waiting.request
        for runner in self._router.preferred(
            request, waiting.excluded_runner_ids, ASKED_RUNNERS
        ):
            duty = runner_duty(runner.runner_id)
            self._want(duty, request.tokens, now_seconds)

    def _want_contract(self, waiting: Waiting, now_seconds: float) -> None:
        request = waiting.request
        duty = organisation_duty(request.organisation, request.service)
        self._want(duty, request.tokens, now_seconds)

    def _want(self, duty: Duty, tokens: int, now_seconds: float) -> None:
        known = self._wallet.account(duty)
        known.extra = known.extra.plus(Amount(1, tokens))
        known.touch(tokens, now_seconds)
