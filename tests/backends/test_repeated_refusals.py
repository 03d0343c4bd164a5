"""Tests of the client of runners against an engine that refuses twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from returns.result import Result, Success

from mulberrypaddle.backends.http_runner import HttpRunnerClient
from mulberrypaddle.core.fleet import Runner, ServiceKind
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.core.ticket import Ticket
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner
from tests.support.retry_load import make_request
from tests.support.runner_answers import RecordingSink

if TYPE_CHECKING:
    import asyncio

    from mulberrypaddle.backends.base import AttemptCompletion, AttemptFailure

_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\n"
    b'Content-Length: 18\r\n\r\n{"ran": "not run"}'
)
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RepeatedRefusalTest(testtools.TestCase):
    """A second copy of a refusal is no answer to the next request."""

    def _call_twice(
        self, *, idempotent: bool
    ) -> tuple[list[Result[AttemptCompletion, AttemptFailure]], RawRunner]:
        """Calls an engine that refuses the first request, and once more.

        The second copy comes on the same connection behind the next request.
        """
        first: list[asyncio.StreamWriter] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if count == 1:
                first.append(writer)
                writer.write(_REFUSAL)
                return
            first[0].write(_REFUSAL)
            writer.write(_ANSWER)

        server = RawRunner(answer)

        async def scenario() -> list[Result[AttemptCompletion, AttemptFailure]]:
            client = HttpRunnerClient()
            runner = Runner(
                "e1",
                service="card-writer",
                kind=ServiceKind.ENGINE,
                address=await server.start(),
                data_centre="a",
                slots=1,
                cold_slots=1,
            )
            results = []
            for number in (1, 2):
                ticket = Ticket(
                    make_request(number, 0.0, idempotent=idempotent),
                    runner,
                    attempt_id=f"attempt-{number}",
                    reserved_tokens=1,
                    admitted_at_seconds=0.0,
                )
                sink = RecordingSink()
                results.append(
                    await client.call(ticket, sink, timeout_seconds=5.0)
                )
            client.close()
            await server.stop()
            return results

        return run(scenario()), server

    def test_request_that_runs_at_most_once_is_not_reported_refused(
        self,
    ) -> None:
        results, server = self._call_twice(idempotent=False)
        self.assertIs(AttemptState.REFUSED, results[0].failure().state)
        self.assertIsInstance(results[1], Success)
        self.assertEqual(2, server.connection_count)

    def test_repeatable_requests_share_a_connection(self) -> None:
        _, server = self._call_twice(idempotent=True)
        self.assertEqual(1, server.connection_count)
