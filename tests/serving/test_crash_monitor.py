"""Confirmation that runners whose answers broke off have crashed."""

from __future__ import annotations

import asyncio

import testtools

from mulberrypaddle.dispatch.crash_attribution import PROBE_INTERVAL_SECONDS
from mulberrypaddle.serving.crash_monitor import CrashMonitor
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness


async def _accept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Closes an accepted connection."""
    writer.close()


class CrashMonitorTest(testtools.TestCase):
    """Probes of runners."""

    def test_runner_that_crashes_after_a_probe_is_probed_again(self) -> None:
        async def scenario() -> bool:
            harness = FrontEndHarness()
            attribution = harness.board.crash_attribution
            monitor = CrashMonitor(harness.board)
            server = await asyncio.start_server(_accept, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            address = f"{host}:{port}"
            harness.add_runner("r1", address)

            async def interrupt(part: str) -> None:
                attribution.record_interruption(
                    ("r1", 1),
                    address=address,
                    parts=(part,),
                    now_seconds=harness.board.now(),
                )
                for _ in range(5):
                    monitor.tick(may_try=False)
                    await asyncio.sleep(0.02)

            # For example the runner had just closed a kept connection.
            await interrupt("sound")
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            server.close()
            await server.wait_closed()
            await interrupt("bad")
            harness.close()
            return attribution.is_suspected(("bad",))

        self.assertTrue(run(scenario()))
