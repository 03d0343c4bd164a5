"""Measures service during ten minutes without the object API.

Seven routers with the real membership, credits and admission run on a
simulated network, clock and store. They serve repeatable requests, which
callers resend through a random router until the deadline. During the outage
the VM of a runner fails, then a router, then the load doubles for a while. In
the baseline an owner keeps its duties during the outage without confirmation
by other routers. Run as `python -m benchmarks.store_outage`.
"""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.controllers.admission import Admission
from mulberrypaddle.controllers.credits import Credits
from mulberrypaddle.controllers.duties import may_act
from mulberrypaddle.controllers.membership import (
    FleetMembership,
    MembershipOptions,
)
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.invariants import (
    InvariantBreachError,
    set_raise_on_breach,
)
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.core.request import AttemptState, Request
from tests.support.serving_fleet import (
    DEADLINE_SECONDS,
    SERVICE,
    ServingFleet,
    Tables,
    make_runners,
)

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.controllers import Context, Controller
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.ticket import Ticket
    from mulberrypaddle.node import Node

ROUTERS = 7
WARM_SECONDS = 40.0
OUTAGE_SECONDS = 600.0
AFTER_SECONDS = 30.0
STEP_SECONDS = 0.1
REQUESTS_PER_SECOND = 12.0
VM_LOSS_SECONDS = 100.0
VM_DOWN_SECONDS = 60.0
ROUTER_LOSS_SECONDS = 250.0
PEAK_START_SECONDS = 400.0
PEAK_END_SECONDS = 460.0
RESEND_DELAY_SECONDS = 0.5
TARGET_SHARE = 0.999
DUTIES = tuple(Duty("runner", f"e{number}") for number in range(8))


class _Call:
    """A caller's request, including all its attempts."""

    __slots__ = ("deadline_seconds", "number")

    def __init__(self, number: int, deadline_seconds: float) -> None:
        self.number = number
        self.deadline_seconds = deadline_seconds


class OutageFleet(ServingFleet):
    """Counts answered requests and turns in which a duty had two owners.

    A turn is one step of the simulation.

    Attributes:
        offered: Number of requests that callers have started.
        answered: Number of requests answered before their deadline.
        unsafe_turns: Number of turns in which a duty had two owners.
        owned_turns: Sum over all turns of the share of duties with an owner.
        turns: Number of turns.
    """

    def __init__(self, options: MembershipOptions) -> None:
        self.offered = 0
        self.answered = 0
        self.unsafe_turns = 0
        self.owned_turns = 0.0
        self.turns = 0
        self._options = options
        self._call_numbers = itertools.count(1)
        self._attempt_numbers = itertools.count(1)
        self._calls: dict[str, _Call] = {}
        self._pending: dict[int, tuple[_Call, Node]] = {}
        super().__init__(
            ROUTERS, runners=make_runners(8), contracts={"museum": 80}, seed=5
        )

    def _controllers(self, context: Context) -> list[Controller]:
        credits = Credits(context, protections=self.protections)
        admission = Admission(context, credits)
        self.credits[context.member_id] = credits
        self.admissions[context.member_id] = admission
        membership = FleetMembership(
            context,
            region="tx-central",
            peer_address=f"{context.member_id}:1",
            options=self._options,
        )
        return [membership, Tables(context, self), credits, admission]

    def turn(self) -> None:
        """Steps all nodes and counts the owners of each duty."""
        super().turn()
        now_seconds = self.clock.monotonic_seconds()
        owned = 0
        unsafe = False
        for duty in DUTIES:
            owners = sum(
                may_act(node.context, duty, now_seconds)
                for node in self.nodes.values()
            )
            owned += owners > 0
            unsafe = unsafe or owners > 1
        self.unsafe_turns += unsafe
        self.owned_turns += owned / len(DUTIES)
        self.turns += 1

    def start_call(self) -> None:
        """Sends one new request through a random router."""
        self.offered += 1
        now_seconds = self.clock.monotonic_seconds()
        number = next(self._call_numbers)
        self._send_attempt(_Call(number, now_seconds + DEADLINE_SECONDS))

    def _send_attempt(self, call: _Call) -> None:
        """Sends an attempt through a random router before the deadline."""
        if self.clock.monotonic_seconds() >= call.deadline_seconds:
            return
        # The load balancer stops sending to a failed router at once.
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        request = Request(
            f"q{call.number}-{next(self._attempt_numbers)}",
            organisation="museum",
            service=SERVICE,
            method="POST",
            path="/v1/completions",
            body=b"{}",
            content_type="application/json",
            urgency=Urgency.NORMAL,
            deadline_at_seconds=call.deadline_seconds,
            idempotent=True,
            prompt_tokens=1000,
        )
        self._calls[request.request_id] = call
        self._pending[call.number] = (call, node)

        def reply(result: Result[Ticket, Problem]) -> None:
            if isinstance(result, Success):
                self._send(node, result.unwrap(), 0.3)
                return
            self._resend(call)

        self.admissions[node.context.member_id].submit(request, reply)
        self.drain(node)

    def _resend(self, call: _Call) -> None:
        """Schedules the next attempt of a request."""
        self._pending.pop(call.number, None)
        due_seconds = self.clock.monotonic_seconds() + RESEND_DELAY_SECONDS
        self.schedule(due_seconds, None, lambda: self._send_attempt(call))

    def _end_attempt(
        self, node: Node, ticket: Ticket, state: AttemptState
    ) -> None:
        super()._end_attempt(node, ticket, state)
        call = self._calls[ticket.request.request_id]
        if self.nodes.get(node.context.member_id) is not node:
            return
        if state is not AttemptState.DONE:
            self._resend(call)
            return
        self._pending.pop(call.number, None)
        if self.clock.monotonic_seconds() <= call.deadline_seconds:
            self.answered += 1

    def lose_router(self, member_id: str) -> None:
        """Kills a router; callers resend the requests that it had in flight."""
        lost = self.nodes[member_id]
        self.kill(member_id)
        for call, node in list(self._pending.values()):
            if node is lost:
                self._resend(call)


def _requests_per_second(outage_seconds: float) -> float:
    """Returns the requests per second at a time since the outage began."""
    is_peak = PEAK_START_SECONDS <= outage_seconds < PEAK_END_SECONDS
    return REQUESTS_PER_SECOND * (2 if is_peak else 1)


def run(options: MembershipOptions) -> tuple[OutageFleet, str]:
    """Runs the outage and `AFTER_SECONDS` after it.

    Args:
        options: Options of the membership.

    Returns:
        The fleet, and the message of the first breach of an invariant, which
        ends the run; empty if there was none.
    """
    fleet = OutageFleet(options)
    fleet.run(WARM_SECONDS, step_seconds=STEP_SECONDS)
    fleet.store.down = True
    fleet.turns = 0
    fleet.owned_turns = 0.0
    steps = int((OUTAGE_SECONDS + AFTER_SECONDS) / STEP_SECONDS)
    due_calls = 0.0
    try:
        for step in range(steps):
            seconds = step * STEP_SECONDS
            if step == int(VM_LOSS_SECONDS / STEP_SECONDS):
                fleet.runners["e3"].restart(
                    fleet.clock.monotonic_seconds(), VM_DOWN_SECONDS
                )
            if step == int(ROUTER_LOSS_SECONDS / STEP_SECONDS):
                fleet.lose_router("r3")
            if step == int(OUTAGE_SECONDS / STEP_SECONDS):
                fleet.store.down = False
            due_calls += _requests_per_second(seconds) * STEP_SECONDS
            while due_calls >= 1 and seconds < OUTAGE_SECONDS:
                due_calls -= 1
                fleet.start_call()
            fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
    except InvariantBreachError as error:
        return fleet, str(error)
    return fleet, ""


def main() -> None:
    """Measures the present behaviour and the baseline."""
    logging.disable(logging.CRITICAL)
    set_raise_on_breach(True)
    for variant, options in (
        ("confirmed", MembershipOptions()),
        ("unconfirmed", MembershipOptions(confirm_outage=False)),
    ):
        fleet, breach = run(options)
        share = fleet.answered / fleet.offered
        print(
            f"way={variant} offered={fleet.offered} answered={fleet.answered} "
            f"share_answered={share:.5f} target_share={TARGET_SHARE} "
            f"unsafe_turns={fleet.unsafe_turns} "
            f"share_of_time_owned={fleet.owned_turns / fleet.turns:.3f} "
            f"breach={breach or 'none'!r}",
            flush=True,
        )


if __name__ == "__main__":
    main()
