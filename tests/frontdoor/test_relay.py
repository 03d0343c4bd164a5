"""Tests of late bytes from abandoned attempts and of "not run" claims."""

from __future__ import annotations

import asyncio
import random

import testtools

from mulberrypaddle.backends import AnswerHead
from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers.base import Context
from mulberrypaddle.controllers.stream_memory import StreamMemory
from mulberrypaddle.core import invariants
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.core.contract import ServiceTerms, Urgency
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.frontdoor.attempts import AttemptHistory
from mulberrypaddle.frontdoor.relay import CallerConnection, Relay
from tests.support.asynchronous import run


class _Caller(CallerConnection):
    """Collects the bytes sent and accepts each write at once."""

    def __init__(self) -> None:
        self.data = b""

    def start(self, head: AnswerHead, *, keep_length: bool) -> None:
        pass

    def send(self, data: bytes) -> asyncio.Future[None]:
        self.data += data
        sent = asyncio.get_running_loop().create_future()
        sent.set_result(None)
        return sent


def _relay(caller: _Caller) -> Relay:
    """Returns a relay for a resumable event stream."""
    context = Context(
        member_id="router-1",
        incarnation=1,
        data_centre="south",
        board=Board(),
        clock=ManualClock(),
        rng=random.Random(1),
    )
    return Relay(
        caller,
        memory=StreamMemory(context, budget_bytes=1 << 20),
        organisation="museum",
        terms=ServiceTerms(
            "card-writer",
            in_flight_requests=1,
            in_flight_tokens=1,
            urgency=Urgency.HIGH,
            deadline_seconds=1.0,
        ),
        parse_events=True,
        resumable=True,
    )


class RelayTest(testtools.TestCase):
    """One answer assembled from several attempts."""

    def test_late_bytes_of_an_abandoned_attempt_are_dropped(self) -> None:
        async def scenario() -> tuple[bytes, int]:
            caller = _Caller()
            relay = _relay(caller)
            head = AnswerHead(200, content_type="text/plain")
            late = relay.start_attempt()
            relay.end_attempt()
            sink = relay.start_attempt()
            sink.start(head)
            sink.accept(b"right ")
            late.start(head)
            late.accept(b"wrong ")
            sink.accept(b"answer")
            self.assertIsNone(sink.end())
            self.assertIsNotNone(late.end())
            return caller.data, relay.late_bytes

        self.assertEqual((b"right answer", 6), run(scenario()))


class AttemptHistoryTest(testtools.TestCase):
    """A refusal says "not run" only if no attempt can have run."""

    def test_not_run_only_while_no_attempt_can_have_run(self) -> None:
        history = AttemptHistory()
        problem = Problem(ErrorKind.NO_RUNNER, "none is left")
        for state in (AttemptState.UNSENT, AttemptState.REFUSED):
            history.record_start()
            history.record_outcome(state)
        self.assertIs(Ran.NOT_RUN, history.correct_ran(problem).ran)
        history.record_start()
        self.assertIs(Ran.UNKNOWN, history.correct_ran(problem).ran)
        history.check_refusal(history.correct_ran(problem))

    def test_false_not_run_violates_the_invariant(self) -> None:
        history = AttemptHistory()
        history.record_start()
        history.record_outcome(AttemptState.MAYBE_RUN)
        self.assertRaises(
            invariants.InvariantBreachError,
            history.check_refusal,
            Problem(ErrorKind.NO_RUNNER, "none is left"),
        )
