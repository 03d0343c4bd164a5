"""Routers before runners that die with certain content."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import RunnerTable
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.controllers.quarantine import Quarantine
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import Runner, RunnerReport, ServiceKind
from mulberrypaddle.core.request import AttemptState, Request
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket
from tests.support.fleet import FakeFleet
from tests.support.membership import FixedMembership

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.controllers.quarantine import Clearance
    from mulberrypaddle.node import Node

ROUTERS = [f"router-{number}" for number in range(1, 8)]
SERVICE = "card-writer"
CULPRIT = b"culprit"
RESTART_SECONDS = 30.0
MAX_ATTEMPTS = 3


class _FixedRunners(Controller):
    """Writes a runner table that never changes."""

    name = "runner_table"

    def __init__(self, context: Context, runners: dict[str, Runner]) -> None:
        super().__init__(context)
        self._runners = runners

    def step(self, now_seconds: float) -> None:
        self.context.board.write(
            keys.RUNNERS,
            RunnerTable(runners=self._runners, reports={}),
            writer=self.name,
            now_seconds=now_seconds,
        )


class Call:
    """One request and how it ended."""

    __slots__ = ("attempts", "node", "refusal", "request", "state")

    def __init__(self, request: Request, node: Node) -> None:
        self.request = request
        self.node = node
        self.attempts = 0
        self.refusal: ErrorKind | None = None
        self.state: str = "open"


class CrashFleet:
    """Seven routers, runners by fabric domain, and content that kills.

    Attributes:
        fleet: The fake network and clock.
        lost: Ids of runners that the culprit killed, in order.
        calls: Every call, in order.
        only_connections: Whether "lost" runners live on and only the
            connections to them break.
    """

    def __init__(
        self,
        *,
        seed: int,
        runners: int = 60,
        per_domain: int = 6,
        protects: bool = True,
        loss: float = 0.0,
        shares_blame: bool = True,
    ) -> None:
        self.shares_blame = shares_blame
        self.only_connections = False
        self.rng = random.Random(seed)
        self.protects = protects
        self.lost: list[str] = []
        self.calls: list[Call] = []
        self.runners: dict[str, Runner] = {}
        self.memberships: dict[str, FixedMembership] = {}
        self.quarantines: dict[str, Quarantine] = {}
        self._in_hand: dict[str, dict[Call, Ticket]] = {}
        self._down_until: dict[str, float] = {}
        for number in range(runners):
            runner = Runner(
                f"runner-{number}",
                service=SERVICE,
                kind=ServiceKind.ENGINE,
                address="",
                data_centre="a",
                fabric_domain=f"domain-{number // per_domain}",
                slots=16,
                memory_tokens=1_000_000,
                cold_slots=2,
            )
            self.runners[runner.runner_id] = runner
            self._in_hand[runner.runner_id] = {}
        self.fleet = FakeFleet(ROUTERS, self._build, seed=seed, loss=loss)
        self.fleet.read_report = self._read_report
        self.fleet.run(0.2)

    @property
    def now(self) -> float:
        """Returns the simulated monotonic time, in seconds."""
        return self.fleet.clock.monotonic_seconds()

    def call(self, member_id: str, body: bytes) -> Call:
        """Sends one request through a router."""
        request = Request(
            f"request-{len(self.calls)}",
            organisation="museum",
            service=SERVICE,
            method="POST",
            path="/v1/completions",
            body=body,
            content_type="application/json",
            urgency=Urgency.NORMAL,
            deadline_at_seconds=self.now + 20.0,
            idempotent=True,
        )
        call = Call(request, self.fleet.nodes[member_id])
        self.calls.append(call)
        self._attempt(call)
        return call

    def lose_domain(self, fabric_domain: str) -> None:
        """Loses every runner of a fabric domain at once."""
        for runner in self.runners.values():
            if runner.fabric_domain == fabric_domain:
                self._lose(runner.runner_id)

    def run(self, duration_seconds: float) -> None:
        """Lets time pass."""
        self.fleet.run(duration_seconds, step_seconds=0.02)

    def refused_innocents(self) -> int:
        """Returns how many calls of other content were refused."""
        count = 0
        for call in self.calls:
            if call.request.body != CULPRIT and call.refusal is not None:
                count += 1
        return count

    def _build(self, context: Context) -> list[Controller]:
        quarantine = Quarantine(context, shares_blame=self.shares_blame)
        self.quarantines[context.member_id] = quarantine
        membership = FixedMembership(context, ROUTERS)
        self.memberships[context.member_id] = membership
        return [
            membership,
            _FixedRunners(context, self.runners),
            quarantine,
        ]

    def _read_report(
        self, runner: Runner, node: Node
    ) -> Result[RunnerReport, Problem]:
        up_at_seconds = self._down_until.get(runner.runner_id, -1000.0)
        if up_at_seconds > self.now:
            return Failure(Problem(ErrorKind.RUNNER_UNREACHABLE, "down"))
        return Success(
            RunnerReport(
                runner.runner_id,
                incarnation="1",
                reported_at_seconds=self.now,
                uptime_seconds=self.now - up_at_seconds,
                running_requests=0,
                held_tokens=0,
            )
        )

    def _quarantine(self, call: Call) -> Quarantine:
        return self.quarantines[call.node.context.member_id]

    def _attempt(self, call: Call) -> None:
        if not self.protects:
            self._send(call, frozenset())
            return

        def checked(result: Result[Clearance, Problem]) -> None:
            if not isinstance(result, Success):
                call.refusal = result.failure().kind
                call.state = "refused"
                return
            self._send(call, result.unwrap().avoid)

        self._quarantine(call).check(call.request, checked)

    def _send(self, call: Call, avoid: frozenset[str]) -> None:
        ready = []
        for runner_id in self.runners:
            if self._down_until.get(runner_id, 0.0) > self.now:
                continue
            if runner_id not in avoid:
                ready.append(runner_id)
        if not ready:
            self._quarantine(call).give_back(call.request)
            call.refusal = ErrorKind.NO_RUNNER
            call.state = "refused"
            return
        runner_id = self.rng.choice(ready)
        call.attempts += 1
        ticket = Ticket(
            call.request,
            self.runners[runner_id],
            attempt_id=f"{call.request.request_id}-{call.attempts}",
            reserved_tokens=1,
            admitted_at_seconds=self.now,
        )
        self._in_hand[runner_id][call] = ticket
        if self.protects:
            self._quarantine(call).sent(ticket)
        if call.request.body == CULPRIT:
            self._later(call, 0.1, lambda: self._crash(call, ticket))
            return
        length_seconds = self.rng.uniform(0.5, 2.0)
        self._later(call, length_seconds, lambda: self._done(call, ticket))

    def _later(
        self, call: Call, wait_seconds: float, act: Callable[[], None]
    ) -> None:
        self.fleet.schedule(self.now + wait_seconds, call.node, act)

    def _crash(self, call: Call, ticket: Ticket) -> None:
        runner_id = ticket.runner.runner_id
        if self._in_hand[runner_id].get(call) is ticket:
            self.lost.append(runner_id)
            self._lose(runner_id)

    def _lose(self, runner_id: str) -> None:
        if not self.only_connections:
            self._down_until[runner_id] = self.now + RESTART_SECONDS
        in_hand = self._in_hand[runner_id]
        self._in_hand[runner_id] = {}
        for call, ticket in in_hand.items():
            wait_seconds = self.rng.uniform(0.0, 0.02)
            self._later(
                call,
                wait_seconds,
                lambda call=call, ticket=ticket: self._died(call, ticket),
            )

    def _died(self, call: Call, ticket: Ticket) -> None:
        self._observe(call, ticket, AttemptState.MAYBE_RUN, died=True)
        if call.attempts >= MAX_ATTEMPTS:
            call.state = "failed"
            return
        self._attempt(call)

    def _done(self, call: Call, ticket: Ticket) -> None:
        in_hand = self._in_hand[ticket.runner.runner_id]
        if in_hand.get(call) is not ticket:
            return
        del in_hand[call]
        self._observe(call, ticket, AttemptState.DONE, died=False)
        call.state = "done"

    def _observe(
        self, call: Call, ticket: Ticket, state: AttemptState, *, died: bool
    ) -> None:
        if not self.protects:
            return
        outcome = AttemptOutcome(
            ticket,
            state=state,
            status=0 if died else 200,
            latency_seconds=self.now - ticket.admitted_at_seconds,
            runner_died=died,
        )
        self._quarantine(call).observe(outcome)


def send_again(
    fleet: CrashFleet, *, times: int, innocents_per_second: float
) -> None:
    """Sends the culprit again and again among innocent requests.

    Args:
        fleet: The fleet.
        times: How often the caller sends it, under new ids.
        innocents_per_second: Other requests, each of its own content.
    """
    due = 0.0
    culprit: Call | None = None
    sent = 0
    while sent < times or (culprit is not None and culprit.state == "open"):
        if sent < times and (culprit is None or culprit.state != "open"):
            culprit = fleet.call(fleet.rng.choice(ROUTERS), CULPRIT)
            sent += 1
        due += innocents_per_second * 0.02
        while due >= 1.0:
            due -= 1.0
            body = f"innocent {len(fleet.calls)}".encode()
            fleet.call(fleet.rng.choice(ROUTERS), body)
        fleet.run(0.02)
    fleet.run(10.0)
