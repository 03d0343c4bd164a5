"""Tests of the server for callers around a planned stop."""

from __future__ import annotations

import asyncio
import socket

import testtools

from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes

# An unknown key is answered by the router itself, without a runner.
_REQUEST = request_bytes("/pay/1", headers=("X-Api-Key: other",))


class StopTest(testtools.TestCase):
    """Connections that were made just before the listener closes."""

    def test_connection_in_the_accept_queue_is_served(self) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            caller = socket.create_connection(harness.settings.caller_address)
            # The event loop has not run since, so the kernel still queues
            # the connection.
            stopping = asyncio.ensure_future(
                harness.stop(quiet_seconds=1.0, until_seconds=0.0)
            )
            await asyncio.sleep(0)
            caller.sendall(_REQUEST)
            answer = await _read_answer(caller)
            await stopping
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 401", run(scenario())[:12])

    def test_first_request_after_the_listener_closed_is_served(self) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            reader, writer = await harness.connect()
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(
                harness.stop(quiet_seconds=1.0, until_seconds=0.0)
            )
            await asyncio.sleep(0.1)
            self.assertFalse(stopping.done())
            writer.write(_REQUEST)
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            await stopping
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 401", run(scenario())[:12])

    def test_unused_connection_delays_the_stop_for_a_bounded_time(
        self,
    ) -> None:
        async def scenario() -> None:
            harness = FrontEndHarness()
            _, writer = await harness.connect()
            await asyncio.sleep(0.05)
            await asyncio.wait_for(
                harness.stop(quiet_seconds=0.2, until_seconds=0.0), 5.0
            )
            writer.close()
            harness.close()

        run(scenario())


async def _read_answer(caller: socket.socket) -> bytes:
    """Reads up to the end of a connection that was opened by hand."""
    caller.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=caller)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer
