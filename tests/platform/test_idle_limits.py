"""Requests on kept connections around the end of an idle limit."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import testtools

from tests.support.asynchronous import run
from tests.support.kept_callers import read_answer
from tests.support.simulated_deployment import (
    SimulatedDeployment,
    request_bytes,
)

if TYPE_CHECKING:
    from tests.support.simulated_deployment import Router

CONNECTIONS = 20
HEADER_SECONDS = 1.0


class Pause:
    """A time in which the process of the router stands still.

    Attributes:
        begin_seconds: When it begins, after the connections became idle.
        end_seconds: When it ends.
    """

    __slots__ = ("begin_seconds", "end_seconds")

    def __init__(self, begin_seconds: float, end_seconds: float) -> None:
        self.begin_seconds = begin_seconds
        self.end_seconds = end_seconds


class IdleLimitTest(testtools.TestCase):
    """A request that callers may send gets its answer, however late."""

    def _answers(
        self,
        *,
        idle_seconds: float,
        sent_after_seconds: float,
        raised_to_seconds: float | None = None,
        pause: Pause | None = None,
        pieces: int = 1,
    ) -> int:
        """Counts the requests on idle connections that are answered.

        Args:
            idle_seconds: Idle limit when the connections become idle.
            sent_after_seconds: When the requests are sent, after that.
            raised_to_seconds: Idle limit of a version that is written then;
                None for no further version.
            pause: When the router stands still; None for never.
            pieces: Number of parts in which a request is sent, with a pause
                between two of them.
        """

        async def play() -> int:
            with tempfile.TemporaryDirectory() as folder:
                deployment = SimulatedDeployment(Path(folder))
                deployment.idle_seconds = idle_seconds
                deployment.header_seconds = HEADER_SECONDS
                deployment.put_config()
                try:
                    deployment.add_runner("stock")
                    for number in range(4):
                        deployment.add_runner("cards", f"d{number // 2}")
                    router = deployment.add_router(1)
                    await deployment.wait_until_ready()
                    connections = await _connect(deployment, router)
                    before = await _exchange(connections, "before")
                    self.assertEqual(CONNECTIONS, before)
                    if raised_to_seconds is not None:
                        deployment.idle_seconds = raised_to_seconds
                        deployment.put_config()
                    pausing = asyncio.ensure_future(_pause(router, pause))
                    await asyncio.sleep(sent_after_seconds)
                    answered = await _exchange(
                        connections, "after", pieces=pieces
                    )
                    await pausing
                    for _, writer in connections:
                        writer.close()
                    return answered
                finally:
                    await deployment.close()

        return run(play())

    def test_raised_limit_holds_for_connections_that_are_idle(self) -> None:
        answered = self._answers(
            idle_seconds=2.0, raised_to_seconds=15.0, sent_after_seconds=4.0
        )
        self.assertEqual(CONNECTIONS, answered)

    def test_request_beside_a_raised_limit_of_a_late_process(self) -> None:
        answered = self._answers(
            idle_seconds=3.0,
            raised_to_seconds=15.0,
            sent_after_seconds=3.7,
            pause=Pause(3.5, 4.1),
        )
        self.assertEqual(CONNECTIONS, answered)

    def test_request_that_waits_in_the_socket_of_a_late_process(self) -> None:
        answered = self._answers(
            idle_seconds=1.0,
            sent_after_seconds=0.75,
            pause=Pause(0.7, 2.1),
        )
        self.assertEqual(CONNECTIONS, answered)

    def test_head_in_pieces_beside_the_end_of_the_idle_limit(self) -> None:
        answered = self._answers(
            idle_seconds=1.0,
            sent_after_seconds=0.75,
            pause=Pause(0.9, 2.2),
            pieces=3,
        )
        self.assertEqual(CONNECTIONS, answered)

    def test_unused_connection_is_closed(self) -> None:
        answered = self._answers(idle_seconds=0.5, sent_after_seconds=3.0)
        self.assertEqual(0, answered)


async def _connect(
    deployment: SimulatedDeployment, router: Router
) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Returns new connections to a router."""
    return [
        await asyncio.open_connection(router.ip, deployment.caller_port)
        for _ in range(CONNECTIONS)
    ]


async def _exchange(
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]],
    name: str,
    *,
    pieces: int = 1,
) -> int:
    """Sends a request on each connection; returns how many are answered."""
    answers = await asyncio.gather(
        *(
            _answer(reader, writer, f"{name}-{number}", pieces)
            for number, (reader, writer) in enumerate(connections)
        )
    )
    return sum(answer.startswith(b"HTTP/1.1 200") for answer in answers)


async def _answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request_id: str,
    pieces: int,
) -> bytes:
    """Sends a request; returns its answer, empty if the connection ends."""
    request = request_bytes("safe", request_id, prompt="", deadline_seconds=4.0)
    size = -(-len(request) // pieces)
    answer = bytearray()
    try:
        for start in range(0, len(request), size):
            if start:
                await asyncio.sleep(0.2)
            writer.write(request[start : start + size])
        async with asyncio.timeout(5.0):
            if not await read_answer(reader, answer):
                return b""
    except OSError:
        return b""
    return bytes(answer)


async def _pause(router: Router, pause: Pause | None) -> None:
    """Lets the process of a router stand still for a time."""
    if pause is None:
        return
    await asyncio.sleep(pause.begin_seconds)
    router.signal(signal.SIGSTOP)
    await asyncio.sleep(pause.end_seconds - pause.begin_seconds)
    router.signal(signal.SIGCONT)
