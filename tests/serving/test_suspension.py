"""A process does not act on what expired while it was suspended."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.replicas.orders import OpenGroup
from mulberrypaddle.serving import suspension
from tests.serving.test_exchange import _complete_response
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes
from tests.support.raw_runner import RawRunner


class _Clock:
    """The total suspension of the VM, set by a test.

    Attributes:
        suspended_seconds: Time for which the VM was suspended.
    """

    def __init__(self) -> None:
        self.suspended_seconds = 0.0

    def read(self) -> float:
        return self.suspended_seconds


class SuspensionTest(testtools.TestCase):
    """Suspensions between a decision and the message that it leads to."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = _Clock()
        patch = mock.patch.object(
            suspension, "suspended_seconds", self.clock.read
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_complete_response(200, b"done"))

        async def scenario() -> tuple[bytes, int]:
            path = FrontEndHarness()
            runner = RawRunner(answer)
            path.add_runner("r0", await runner.start())
            # Requests of another router fill the runner.
            path.board.loads.apply_peer_report(
                "other", {"r0": 100}, now_seconds=path.board.now()
            )
            reader, writer = await path.connect()
            writer.write(
                request_bytes("/pay/1", headers=("X-Deadline-Ms: 2000",))
            )
            # The request waits for a free slot when the VM is suspended.
            await asyncio.sleep(0.1)
            self.clock.suspended_seconds = 5.0
            path.board.loads.drop_all_peers()
            path.board.dispatch_waiting()
            response = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            path.close()
            await runner.stop()
            return response, len(runner.request_heads)

        response, sent = run(scenario())
        self.assertEqual(0, sent)
        self.assertNotIn(b"200", response[:12])

    def test_call_is_not_sent_if_suspended_before_connecting(self) -> None:
        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_complete_response(200, b"done"))

        async def scenario() -> tuple[bytes, int]:
            path = FrontEndHarness()
            runner = RawRunner(answer)
            path.add_runner("r0", await runner.start())
            client = path.board.client
            fetch = client.fetch

            def suspended_fetch(*args: object, **fields: object) -> object:
                # After the headers are built, before the connection is
                # established.
                self.clock.suspended_seconds += 5.0
                return fetch(*args, **fields)  # type: ignore[arg-type]

            client.fetch = suspended_fetch  # type: ignore[assignment]
            response = await path.send_request(
                "/pay/1", headers=("X-Deadline-Ms: 2000",)
            )
            path.close()
            await runner.stop()
            return response, len(runner.request_heads)

        response, sent = run(scenario())
        self.assertEqual(0, sent)
        self.assertNotIn(b"200", response[:12])

    def test_order_is_not_sent_after_the_lease_expired(self) -> None:
        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

        async def scenario() -> list[int]:
            path = FrontEndHarness()
            runner = RawRunner(answer)
            path.add_runner("r0", await runner.start())
            entry = path.board.view.get("r0")
            assert entry is not None
            control = PlatformRunnerControl()
            sent = []
            for held in (True, False):
                await control.send_order(
                    entry,
                    OpenGroup("g1", epoch=1),
                    fence=1,
                    may_send=lambda held=held: held,
                )
                sent.append(len(runner.request_heads))
            path.close()
            await runner.stop()
            return sent

        self.assertEqual([1, 1], run(scenario()))
