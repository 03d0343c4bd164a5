"""Orders to runners over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from returns.result import Success

from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving.runner_control import OrderOutcome
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio


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
