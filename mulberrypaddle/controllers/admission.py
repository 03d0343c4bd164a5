"""Admission: contract limits and the choice of a runner."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.tables import Configuration, RunnerTable
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import DataCentreState, Runner
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket

if TYPE_CHECKING:
    from mulberrypaddle.core.request import Request

AdmissionReply = Callable[[Result[Ticket, Problem]], None]


class Admission(Controller):
    """Admits requests within their contract and picks a runner for each."""

    name = "admission"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._in_hand: dict[tuple[str, str], int] = {}
        self._sent: dict[str, int] = {}
        self._attempts = 0

    def step(self, now_seconds: float) -> None:
        """Has nothing queued to serve."""

    def submit(
        self,
        request: Request,
        reply: AdmissionReply,
        *,
        passed_over: frozenset[str] = frozenset(),
    ) -> None:
        """Asks for permission to send one attempt.

        Args:
            request: The request.
            reply: Called once, now or in a later step.
            passed_over: Runners that an earlier attempt was sent to.
        """
        key = (request.organisation, request.service)
        limit = self._limit(request)
        if self._in_hand.get(key, 0) >= limit:
            reply(
                Failure(
                    Problem(
                        ErrorKind.LIMIT_REACHED,
                        f"got {limit + 1} requests in flight, "
                        f"allowed are {limit}",
                    )
                )
            )
            return
        runner = self._pick(request, passed_over)
        if runner is None:
            reply(
                Failure(
                    Problem(
                        ErrorKind.NO_RUNNER,
                        f"no runner of {request.service!r} can take it now",
                    )
                )
            )
            return
        self._attempts += 1
        self._in_hand[key] = self._in_hand.get(key, 0) + 1
        self._sent[runner.runner_id] = self._sent.get(runner.runner_id, 0) + 1
        self.context.decide(
            "route",
            subject=request.request_id,
            outcome=runner.runner_id,
            reason="least_in_hand",
            organisation=request.organisation,
            service=request.service,
        )
        reply(
            Success(
                Ticket(
                    request,
                    runner,
                    attempt_id=(
                        f"{self.context.member_id}-"
                        f"{self.context.incarnation}-{self._attempts}"
                    ),
                    reserved_tokens=request.tokens,
                    admitted_at_seconds=self.context.now_seconds(),
                )
            )
        )

    def release(self, outcome: AttemptOutcome) -> None:
        """Gives back what an attempt held, once the runner holds it no more.

        Args:
            outcome: How the attempt ended.
        """
        ticket = outcome.ticket
        key = (ticket.request.organisation, ticket.request.service)
        self._in_hand[key] -= 1
        self._sent[ticket.runner.runner_id] -= 1

    def _limit(self, request: Request) -> int:
        configuration = _configuration(self.context)
        contract = configuration.contracts.get(request.organisation)
        if contract is None:
            return 0
        terms = contract.terms.get(request.service)
        return 0 if terms is None else terms.in_flight_requests

    def _pick(
        self, request: Request, passed_over: frozenset[str]
    ) -> Runner | None:
        configuration = _configuration(self.context)
        table = self.context.board.latest(
            keys.RUNNERS, RunnerTable(runners={}, reports={})
        )
        best: Runner | None = None
        for runner in table.runners.values():
            if runner.service != request.service or runner.leaving:
                continue
            if runner.runner_id in passed_over:
                continue
            state = configuration.data_centres.get(runner.data_centre)
            if state is DataCentreState.OUT:
                continue
            sent = self._sent.get(runner.runner_id, 0)
            if sent >= runner.slots:
                continue
            if best is None or sent < self._sent.get(best.runner_id, 0):
                best = runner
        return best


def _configuration(context: Context) -> Configuration:
    """Returns the configuration in force, empty before the first load."""
    return context.board.latest(
        keys.CONFIGURATION,
        Configuration(contracts={}, services={}, data_centres={}, versions={}),
    )
