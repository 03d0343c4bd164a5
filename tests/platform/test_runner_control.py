"""Orders to runners over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from returns.result import Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving.runner_control import OrderOutcome
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio

    from mulberrypaddle.fleet import GroupMembership


class OrderTest(testtools.TestCase):
    """An order to one runner."""

    def test_runner_id_outside_latin_1_reaches_the_runner(self) -> None:
        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

        async def scenario() -> tuple[object, list[bytes]]:
            path = FrontEndHarness()
            runner = RawRunner(answer)
            path.add_runner("bieżnik-1", await runner.start())
            entry = path.board.view.get("bieżnik-1")
            assert entry is not None
            outcome = await PlatformRunnerControl().send_order(
                entry,
                OpenGroup("g1", epoch=1),
                fence=1,
                may_send=lambda: True,
            )
            path.close()
            await runner.stop()
            return outcome, runner.request_heads

        outcome, heads = run(scenario())
        self.assertEqual(Success(OrderOutcome.STARTED), outcome)
        line = "X-Expect-Instance: bieżnik-1\r\n".encode()
        self.assertIn(line, heads[0])


def _fetch_membership(
    head: bytes, body: bytes
) -> Result[GroupMembership | None, Problem]:
    """Asks a runner that gives one answer which group it is in."""

    async def answer(
        count: int, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        writer.write(b"HTTP/1.1 " + head + b"\r\n" + length + body)

    async def scenario() -> Result[GroupMembership | None, Problem]:
        path = FrontEndHarness()
        runner = RawRunner(answer)
        path.add_runner("r0", await runner.start())
        entry = path.board.view.get("r0")
        assert entry is not None
        membership = await PlatformRunnerControl().fetch_membership(
            entry, limit_seconds=1.0
        )
        path.close()
        await runner.stop()
        return membership

    return run(scenario())


class MembershipTest(testtools.TestCase):
    """What a runner reports of its group when it is asked."""

    def test_group_is_decoded(self) -> None:
        membership = _fetch_membership(
            b"200 OK",
            b'{"busy": false, "group": {"name": "g7", "epoch": 12, "rank": 0,'
            b' "state": "open"}}',
        ).unwrap()
        assert membership is not None
        self.assertEqual(("g7", 12), membership.key)
        self.assertEqual("g7/0/open", str(membership))

    def test_runner_without_a_group(self) -> None:
        for body in (b"{}", b'{"group": null}'):
            self.assertEqual(Success(None), _fetch_membership(b"200 OK", body))

    def test_odd_answers_are_refusals(self) -> None:
        for head, body in (
            (b"503 Full", b"{}"),
            (b"200 OK", b"[]"),
            (b"200 OK", b"{"),
            (b"200 OK", b'{"group": {"name": "g7", "epoch": 12}}'),
            (b"200 OK", b'{"group": {"name": "g7", "epoch": "x"}}'),
            (b"200 OK", b'{"group": 5}'),
        ):
            problem = _fetch_membership(head, body).failure()
            self.assertIs(ErrorKind.RUNNER_REFUSED, problem.kind, body)
