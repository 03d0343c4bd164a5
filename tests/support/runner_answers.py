"""Calls of the product's own client of runners, which get given answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.backends.base import AnswerSink
from mulberrypaddle.backends.http_runner import HttpRunnerClient
from mulberrypaddle.core.fleet import Runner, ServiceKind
from mulberrypaddle.core.ticket import Ticket
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner, closing_after
from tests.support.retry_load import make_request

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.backends.base import (
        AnswerHead,
        AttemptCompletion,
        AttemptControl,
        AttemptFailure,
        ResumePoint,
    )
    from mulberrypaddle.core.errors import Problem


class RecordingSink(AnswerSink):
    """Records the status of the head that it receives."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    @property
    def resume_point(self) -> ResumePoint | None:
        return None

    def attach(self, upstream: AttemptControl) -> None:
        pass

    def start(self, head: AnswerHead) -> None:
        self.statuses.append(head.status)

    def accept(self, data: bytes) -> bool:
        return True

    def end(self) -> Problem | None:
        return None


def call_runner(
    answer: bytes, *, kind: ServiceKind = ServiceKind.PLAIN
) -> tuple[Result[AttemptCompletion, AttemptFailure], list[int]]:
    """Calls a runner that closes the connection behind its bytes.

    Args:
        answer: Bytes that the runner writes.
        kind: Kind of the runner's service.

    Returns:
        The result of the call, and the statuses that the sink received.
    """
    sink = RecordingSink()

    async def scenario() -> Result[AttemptCompletion, AttemptFailure]:
        server = RawRunner(closing_after(answer))
        client = HttpRunnerClient()
        ticket = Ticket(
            make_request(1, 0.0),
            Runner(
                "e1",
                service="stock",
                kind=kind,
                address=await server.start(),
                data_centre="a",
                slots=1,
                cold_slots=1,
            ),
            attempt_id="attempt",
            reserved_tokens=1,
            admitted_at_seconds=0.0,
        )
        result = await client.call(ticket, sink, timeout_seconds=5.0)
        client.close()
        await server.stop()
        return result

    return run(scenario()), sink.statuses
