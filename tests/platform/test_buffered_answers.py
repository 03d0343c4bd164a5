"""Memory of a router process whose runners send without end."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import testtools

from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner
from tests.support.simulated_deployment import (
    Router,
    SimulatedDeployment,
    request_bytes,
    send_request,
)

RUNNERS = 30
REQUESTS = 150
SOUND_REQUESTS = 20
FIRST_BYTES = 6 * 1024 * 1024
MORE_BYTES = 64 * 1024
# Memory of the smallest VMs.
VM_BYTES = 160 * 1024 * 1024

_HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"


async def _answer(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Answers a request soundly, or without an end if its id says so."""
    if b"endless" not in request:
        writer.write(_HEAD + b"Content-Length: 2\r\n\r\nok")
        return
    writer.write(_HEAD + b"\r\n" + b"x" * FIRST_BYTES)
    while not writer.is_closing():
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b"x" * MORE_BYTES)


def _request(request_id: str) -> bytes:
    """Returns the bytes of a request whose caller waits for three seconds."""
    return request_bytes("pay", request_id, prompt="", deadline_seconds=3.0)


def _peak_bytes(process_id: int) -> int:
    """Returns the peak memory use of a process."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no peak")


class EndlessAnswersTest(testtools.TestCase):
    """Many runners answer without an end at the same time."""

    def test_memory_is_bounded_and_other_callers_are_answered(self) -> None:
        async def scenario(folder: Path) -> tuple[int, list[bytes]]:
            deployment = SimulatedDeployment(folder, seed=1)
            runners = [RawRunner(_answer) for _ in range(RUNNERS)]
            try:
                for number, runner in enumerate(runners):
                    deployment.store.put(
                        "servers",
                        f"i-{number}",
                        {
                            "service": "stock",
                            "address": await runner.start(),
                            "zone": "south",
                            "version": "v1",
                            "slots": 12,
                            "state": "ready",
                            "coldRemainingMs": 0,
                            "born": 1,
                            "sequence": 1,
                        },
                    )
                router = deployment.add_router(1)
                await _wait_until_ready(router)
                port = deployment.caller_port
                endless = [
                    asyncio.ensure_future(
                        send_request(
                            router.ip,
                            port,
                            _request(f"endless{number}"),
                            seconds=6.0,
                        )
                    )
                    for number in range(REQUESTS)
                ]
                sound = []
                for number in range(SOUND_REQUESTS):
                    await asyncio.sleep(0.1)
                    sound.append(
                        await send_request(
                            router.ip,
                            port,
                            _request(f"sound{number}"),
                            seconds=6.0,
                        )
                    )
                await asyncio.gather(*endless, return_exceptions=True)
                assert router.process is not None
                return _peak_bytes(router.process.pid), sound
            finally:
                await deployment.close()
                for runner in runners:
                    await runner.stop()

        with tempfile.TemporaryDirectory() as folder:
            peak, sound = run(scenario(Path(folder)))
        self.assertLess(peak, VM_BYTES)
        served = [a for a in sound if a.startswith(b"HTTP/1.1 200")]
        self.assertEqual(SOUND_REQUESTS, len(served), sound)


async def _wait_until_ready(router: Router) -> None:
    """Returns once a router is ready and has read the runners."""
    for _ in range(100):
        if await router.is_ready():
            await asyncio.sleep(0.5)
            return
        await asyncio.sleep(0.1)
    raise AssertionError("the router is not ready")
