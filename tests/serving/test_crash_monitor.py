"""Whether runners whose answers broke off have crashed."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.dispatch.crash_attribution import PROBE_INTERVAL_SECONDS
from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving import crash_monitor
from mulberrypaddle.serving.blackboard import Blackboard
from mulberrypaddle.serving.crash_monitor import CrashMonitor
from tests.support.asynchronous import run
from tests.support.front_end_harness import (
    FrontEndHarness,
    free_port,
    make_settings,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_STARTED_AT_MS = 1_000


def _put_runner(
    board: Blackboard, address: str, *, started_at_ms: int, draining: bool
) -> None:
    entry = RunnerEntry(
        "r1",
        started_at_ms=started_at_ms,
        service="cards",
        address=address,
        data_centre="north-1",
        slots=4,
        draining=draining,
    )
    board.view.replace_all([entry], revision=1, now_seconds=board.now())


async def _is_suspected(
    address: str,
    *,
    started_at_ms: int = _STARTED_AT_MS,
    draining: bool = False,
) -> bool:
    """Returns whether a part is a suspect after its answer broke off.

    Args:
        address: Address of the runner.
        started_at_ms: Start time in the runner's present entry.
        draining: Whether its present entry says that it is leaving.
    """
    board = Blackboard(
        make_settings(),
        header_codec=PlatformHeaderCodec(),
        client=make_client(),
        rng=random.Random(1),
    )
    _put_runner(board, address, started_at_ms=started_at_ms, draining=draining)
    board.crash_attribution.record_interruption(
        ("r1", _STARTED_AT_MS),
        address=address,
        parts=("part",),
        now_seconds=board.now(),
    )
    monitor = CrashMonitor(board)
    monitor.tick(may_try=False)
    await asyncio.gather(*board.supervisor.tasks)
    board.client.close()
    return board.crash_attribution.is_suspected(("part",))


async def _with_listener(
    check: Callable[[str], Awaitable[bool]],
) -> bool:
    """Returns the result of a check with the address of a live runner."""
    server = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    try:
        return await check(f"127.0.0.1:{port}")
    finally:
        server.close()
        await server.wait_closed()


class CrashMonitorTest(testtools.TestCase):
    """Only a process that has ended counts as a crash."""

    def test_refused_connection_confirms_a_crash(self) -> None:
        self.assertTrue(run(_is_suspected(f"127.0.0.1:{free_port()}")))

    def test_runner_that_accepts_connections_has_not_crashed(self) -> None:
        self.assertFalse(run(_with_listener(_is_suspected)))

    def test_restart_confirms_a_crash(self) -> None:
        async def check(address: str) -> bool:
            return await _is_suspected(
                address, started_at_ms=_STARTED_AT_MS + 1
            )

        self.assertTrue(run(_with_listener(check)))

    def test_vm_that_gives_no_answer_charges_no_part(self) -> None:
        self.patch(crash_monitor, "PROBE_TIMEOUT_SECONDS", 0.05)

        async def never_connects(*_: object) -> None:
            await asyncio.sleep(3600.0)

        with mock.patch.object(asyncio, "open_connection", never_connects):
            self.assertFalse(run(_is_suspected("127.0.0.1:1")))

    def test_unreachable_network_charges_no_part(self) -> None:
        async def fails(*_: object) -> None:
            raise TimeoutError("no route to the VM")

        with mock.patch.object(asyncio, "open_connection", fails):
            self.assertFalse(run(_is_suspected("127.0.0.1:1")))

    def test_leaving_runner_charges_no_part(self) -> None:
        self.assertFalse(
            run(_is_suspected(f"127.0.0.1:{free_port()}", draining=True))
        )

    def test_runner_that_crashes_after_a_probe_is_probed_again(self) -> None:
        async def scenario() -> bool:
            harness = FrontEndHarness()
            attribution = harness.board.crash_attribution
            monitor = CrashMonitor(harness.board)
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
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
