"""Simulated routers with credits and admission, and fake runners.

The fake runners know their true load, so that limits can be checked against
it.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import (
    Configuration,
    EarlierMembership,
    RunnerTable,
)
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.controllers.admission import Admission
from mulberrypaddle.controllers.credits import Credits, Protections
from mulberrypaddle.core.contract import Contract, ServiceTerms, Urgency
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import (
    DataCentreState,
    Runner,
    RunnerReport,
    ServiceKind,
)
from mulberrypaddle.core.invariants import Invariant, check
from mulberrypaddle.core.request import AttemptState, Request
from mulberrypaddle.core.ticket import AttemptOutcome, Ticket
from tests.support.fleet import FakeFleet
from tests.support.membership import FixedMembership

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypaddle.node import Node

SERVICE = "card-writer"
DEADLINE_SECONDS = 6.0
CAPACITY_DOUBLING_SECONDS = 2.0
LEASE_SECONDS = 6.0


class FakeRunner:
    """The true load and capacity of one runner.

    Attributes:
        runner: The runner as routers know it.
        incarnation: Number of its starts.
        started_at_seconds: Time of its last start; may be in the future.
        up_at_seconds: Time from which it accepts requests.
        running: Reserved tokens of each running attempt, by attempt id.
        abort_callbacks: Called if a restart interrupts an attempt, by
            attempt id.
        completed: Requests completed since its last start.
        peak_utilisation: Highest ratio of running requests to its capacity.
        member_vm_ids: VMs that it reports as members.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.incarnation = 1
        self.started_at_seconds = 0.0
        self.up_at_seconds = 0.0
        self.running: dict[str, int] = {}
        self.abort_callbacks: dict[str, Callable[[], None]] = {}
        self.completed = 0
        self.peak_utilisation = 0.0
        self.member_vm_ids = runner.vm_ids

    def capacity(self, now_seconds: float) -> int:
        """Returns how many requests it can run at once while it warms up.

        The capacity starts at `cold_slots`, doubles every
        `CAPACITY_DOUBLING_SECONDS` and grows by at most one for each completed
        request.
        """
        cold_slots = self.runner.cold_slots
        doublings = (
            now_seconds - self.started_at_seconds
        ) / CAPACITY_DOUBLING_SECONDS
        by_time = int(cold_slots * 2.0 ** min(doublings, 10.0))
        return min(self.runner.slots, by_time, cold_slots + self.completed)

    def restart(self, now_seconds: float, down_seconds: float) -> None:
        """Interrupts all attempts and starts again, cold, after a downtime."""
        self.running.clear()
        for abort in self.abort_callbacks.values():
            abort()
        self.abort_callbacks.clear()
        self.incarnation += 1
        self.completed = 0
        self.up_at_seconds = now_seconds + down_seconds
        self.started_at_seconds = self.up_at_seconds

    def report(
        self, now_seconds: float, lag_seconds: float
    ) -> Result[RunnerReport, Problem]:
        """Returns a report dated `lag_seconds` ago, or a problem if down."""
        if now_seconds < self.up_at_seconds:
            return Failure(Problem(ErrorKind.RUNNER_UNREACHABLE, "down"))
        return Success(
            RunnerReport(
                self.runner.runner_id,
                incarnation=str(self.incarnation),
                generation=self.runner.generation,
                member_vm_ids=self.member_vm_ids,
                reported_at_seconds=now_seconds - lag_seconds,
                uptime_seconds=now_seconds - self.started_at_seconds,
                running_requests=len(self.running),
                held_tokens=sum(self.running.values()),
            )
        )


class Tables(Controller):
    """Writes the fleet's configuration and runners to the blackboard."""

    name = "tables"

    def __init__(self, context: Context, fleet: ServingFleet) -> None:
        super().__init__(context)
        self._fleet = fleet

    def step(self, now_seconds: float) -> None:
        self.context.board.write(
            keys.CONFIGURATION,
            self._fleet.configuration,
            writer="configuration",
            now_seconds=now_seconds,
        )
        table = {}
        for fake in self._fleet.runners.values():
            table[fake.runner.runner_id] = fake.runner
        entry = self.context.board.entry(keys.RUNNERS)
        if entry is not None and entry.value.runners == table:
            return
        self.context.board.write(
            keys.RUNNERS,
            RunnerTable(runners=table, reports={}),
            writer="runner_table",
            now_seconds=now_seconds,
        )


class ServingFleet(FakeFleet):
    """Simulated routers whose requests run on fake runners.

    Attributes:
        runners: Fake runners by runner id.
        configuration: Configuration that all routers use.
        protections: Protections that the credits of all routers use.
        member_ids: Current members of the membership.
        epoch: Epoch of the membership.
        past_members: Earlier members, each with the time at which their
            leases have expired.
        report_lag_seconds: Age of the reports that runners return.
        memberships: Membership controllers by router id.
        credits: Credits controllers by router id.
        admissions: Admission controllers by router id.
        in_flight: Router of each attempt in flight, by organisation and
            attempt id; without those of killed routers.
        completed: Requests that completed, by organisation.
        waited_seconds: Time from submission to admission, by organisation.
        refused: Number of refusals by kind.
        checks_runner_capacity: Whether a runner's load is checked against its
            capacity.
    """

    def __init__(
        self,
        member_count: int = 7,
        *,
        runners: Iterable[Runner] | None = None,
        contracts: dict[str, int] | None = None,
        protections: Protections | None = None,
        seed: int = 0,
        loss: float = 0.0,
        report_lag_seconds: float = 0.0,
    ) -> None:
        self.runners: dict[str, FakeRunner] = {}
        for runner in runners or make_runners(4):
            self.runners[runner.runner_id] = FakeRunner(runner)
        self.configuration = make_configuration(contracts or {"museum": 40})
        self.protections = protections or Protections()
        self.member_ids = [f"r{index}" for index in range(member_count)]
        self.epoch = 1
        self.past_members: list[EarlierMembership] = []
        self.report_lag_seconds = report_lag_seconds
        self.memberships: dict[str, FixedMembership] = {}
        self.credits: dict[str, Credits] = {}
        self.admissions: dict[str, Admission] = {}
        self.in_flight: dict[str, dict[str, Node]] = {}
        self.completed: dict[str, int] = {}
        self.waited_seconds: dict[str, list[float]] = {}
        self.refused: dict[ErrorKind, int] = {}
        self.checks_runner_capacity = True
        self._requests = itertools.count(1)
        super().__init__(
            list(self.member_ids), self._controllers, seed=seed, loss=loss
        )
        self.read_report = self._report

    def _controllers(self, context: Context) -> list[Controller]:
        member_id = context.member_id
        membership = FixedMembership(
            context,
            self.member_ids,
            epoch=self.epoch,
            unsettled=tuple(self.past_members),
        )
        credits = Credits(context, protections=self.protections)
        admission = Admission(context, credits)
        self.memberships[member_id] = membership
        self.credits[member_id] = credits
        self.admissions[member_id] = admission
        return [membership, Tables(context, self), credits, admission]

    def _report(
        self, runner: Runner, node: Node
    ) -> Result[RunnerReport, Problem]:
        return self.runners[runner.runner_id].report(
            self.clock.monotonic_seconds(), self.report_lag_seconds
        )

    def kill(self, member_id: str) -> None:
        """Kills a router; runners continue the attempts that it has sent."""
        node = self.nodes.get(member_id)
        super().kill(member_id)
        for attempts in self.in_flight.values():
            for attempt_id in list(attempts):
                if attempts[attempt_id] is node:
                    del attempts[attempt_id]

    def change_members(self, member_ids: list[str]) -> None:
        """Changes the members at every running router that renews its lease."""
        settled_at_seconds = self.clock.monotonic_seconds() + LEASE_SECONDS
        self.past_members.append(
            EarlierMembership(frozenset(self.member_ids), settled_at_seconds)
        )
        self.member_ids = list(member_ids)
        self.epoch += 1
        for member_id in sorted(self.nodes):
            if self.memberships[member_id].renews:
                self.memberships[member_id].change(member_ids)

    def submit_request(
        self,
        member_id: str,
        organisation: str = "museum",
        *,
        tokens: int = 1000,
        run_seconds: float = 0.3,
        deadline_seconds: float = DEADLINE_SECONDS,
        urgency: Urgency = Urgency.NORMAL,
    ) -> None:
        """Submits one request to a router, unless it is killed or paused.

        Args:
            member_id: Id of the router.
            organisation: Organisation of the caller.
            tokens: Length of the prompt.
            run_seconds: How long the request runs at its runner.
            deadline_seconds: Time from now to its deadline.
            urgency: Urgency of the request.
        """
        node = self.nodes.get(member_id)
        if node is None or member_id in self.paused:
            return
        now_seconds = self.clock.monotonic_seconds()
        request = Request(
            f"q{next(self._requests)}",
            organisation=organisation,
            service=SERVICE,
            method="POST",
            path="/v1/completions",
            body=b"{}",
            content_type="application/json",
            urgency=urgency,
            deadline_at_seconds=now_seconds + deadline_seconds,
            idempotent=True,
            prompt_tokens=tokens,
        )

        def reply(result: Result[Ticket, Problem]) -> None:
            if not isinstance(result, Success):
                kind = result.failure().kind
                self.refused[kind] = self.refused.get(kind, 0) + 1
                return
            waited = self.waited_seconds.setdefault(organisation, [])
            waited.append(self.clock.monotonic_seconds() - now_seconds)
            self._send(node, result.unwrap(), run_seconds)

        self.admissions[member_id].submit(request, reply)
        self.drain(node)

    def _send(self, node: Node, ticket: Ticket, run_seconds: float) -> None:
        """Checks the contract's limit, then schedules the arrival."""
        organisation = ticket.request.organisation
        attempts = self.in_flight.setdefault(organisation, {})
        attempts[ticket.attempt_id] = node
        terms = self.configuration.contracts[organisation].terms[SERVICE]
        check(
            len(attempts) <= terms.in_flight_requests,
            Invariant.CREDITS_WITHIN_CAPACITY,
            f"{organisation}: {len(attempts)} in flight",
        )
        self.schedule(
            self.clock.monotonic_seconds() + self._delay(),
            None,
            lambda: self._arrive(node, ticket, run_seconds),
        )

    def _arrive(self, node: Node, ticket: Ticket, run_seconds: float) -> None:
        """Starts an attempt at its runner and schedules its completion."""
        now_seconds = self.clock.monotonic_seconds()
        fake = self.runners[ticket.runner.runner_id]
        if now_seconds < fake.up_at_seconds:
            self._end_attempt(node, ticket, AttemptState.UNSENT)
            return
        fake.running[ticket.attempt_id] = ticket.reserved_tokens
        capacity = fake.capacity(now_seconds)
        fake.peak_utilisation = max(
            fake.peak_utilisation, len(fake.running) / capacity
        )
        if self.checks_runner_capacity:
            check(
                len(fake.running) <= capacity
                and sum(fake.running.values()) <= fake.runner.memory_tokens,
                Invariant.COLD_LIMIT,
                f"{fake.runner.runner_id}: {len(fake.running)} running, "
                f"capacity {capacity}",
            )
        incarnation = fake.incarnation
        fake.abort_callbacks[ticket.attempt_id] = lambda: self._end_attempt(
            node, ticket, AttemptState.MAYBE_RUN
        )

        def finish() -> None:
            if fake.incarnation != incarnation:
                return
            del fake.running[ticket.attempt_id]
            del fake.abort_callbacks[ticket.attempt_id]
            fake.completed += 1
            self._end_attempt(node, ticket, AttemptState.DONE)

        self.schedule(now_seconds + run_seconds, None, finish)

    def _end_attempt(
        self, node: Node, ticket: Ticket, state: AttemptState
    ) -> None:
        """Reports an attempt's outcome to its router, if that still runs."""
        organisation = ticket.request.organisation
        self.in_flight[organisation].pop(ticket.attempt_id, None)

        def act() -> None:
            if state is AttemptState.DONE:
                done = self.completed.get(organisation, 0)
                self.completed[organisation] = done + 1
            admission = self.admissions[node.context.member_id]
            admission.release(
                AttemptOutcome(
                    ticket,
                    state=state,
                    status=200 if state is AttemptState.DONE else 0,
                    latency_seconds=self.clock.monotonic_seconds()
                    - ticket.admitted_at_seconds,
                    runner_died=state is AttemptState.MAYBE_RUN,
                )
            )
            self.drain(node)

        self.later(node, act)

    def _delay(self) -> float:
        return self.rng.uniform(0, 2 * self.delay_seconds)


def make_runners(count: int, *, slots: int = 12) -> list[Runner]:
    """Returns plain runners, spread over three data centres."""
    runners = []
    for index in range(count):
        runners.append(
            Runner(
                f"e{index}",
                service=SERVICE,
                kind=ServiceKind.PLAIN,
                address=f"10.0.0.{index}:80",
                data_centre="abc"[index % 3],
                slots=slots,
                cold_slots=2,
            )
        )
    return runners


def make_configuration(contracts: dict[str, int]) -> Configuration:
    """Returns a configuration with one contract for each organisation.

    Args:
        contracts: Requests that each organisation may have in flight.
    """
    contract_by_organisation = {}
    for organisation, in_flight_requests in contracts.items():
        terms = ServiceTerms(
            SERVICE,
            in_flight_requests=in_flight_requests,
            in_flight_tokens=in_flight_requests * 8192,
            urgency=Urgency.NORMAL,
            deadline_seconds=DEADLINE_SECONDS,
        )
        contract_by_organisation[organisation] = Contract(
            organisation, key_sha256=(), terms={SERVICE: terms}
        )
    states = dict.fromkeys("abc", DataCentreState.IN)
    return Configuration(
        contracts=contract_by_organisation,
        services={},
        data_centres=states,
        versions={},
    )
