"""Tests of requests that cross the close of a kept connection to a runner."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from typing import TYPE_CHECKING

import testtools

from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    from collections.abc import Callable

_ANSWER = (
    b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
    b"Keep-Alive: timeout=2\r\nContent-Length: 4\r\n\r\ndone"
)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as a close with unread bytes does."""
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class KeptConnectionTest(testtools.TestCase):
    """A runner that closes a kept connection as the next request comes."""

    def test_request_that_meets_a_close_is_repeated(self) -> None:
        # The runner ends the connection in order, or resets it.
        ends: tuple[Callable[[asyncio.StreamWriter], None], ...] = (
            asyncio.StreamWriter.close,
            _reset,
        )
        for end in ends:
            for runner_count in (1, 2):
                answers, sends = run(self._send_twice(end, runner_count))
                case = f"{end.__name__}, {runner_count} runners"
                for answer in answers:
                    self.assertEqual(b"HTTP/1.1 200", answer[:12], case)
                    self.assertTrue(answer.endswith(b"done"), case)
                self.assertEqual(3, sends, case)

    async def _send_twice(
        self,
        end: Callable[[asyncio.StreamWriter], None],
        runner_count: int,
        *,
        max_runners: int = 2,
    ) -> tuple[list[bytes], int]:
        """Sends two requests; a runner closes a connection if both come on it.

        Args:
            end: Closes a connection.
            runner_count: Number of runners.
            max_runners: Number of runners that the route allows.

        Returns:
            The answers, and how often runners got a request.
        """
        harness = FrontEndHarness()
        assert harness.board.config is not None
        route = harness.board.config.route_for("shop.example", "/safe/1")
        assert route is not None
        route.max_runners = max_runners
        for _ in range(20):
            # The retry budget of a new process allows no second attempt.
            harness.board.retries.record_first_attempt(
                "stock", harness.board.now()
            )
        sends = 0
        answered_on: list[asyncio.StreamWriter] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sends
            sends += 1
            is_kept = writer in answered_on
            answered_on.append(writer)
            if is_kept:
                end(writer)
                return
            writer.write(_ANSWER)

        runners = [RawRunner(answer) for _ in range(runner_count)]
        for number, runner in enumerate(runners):
            harness.add_runner(f"r{number}", await runner.start())
        answers = [await harness.send_request("/safe/1") for _ in range(2)]
        harness.close()
        for runner in runners:
            await runner.stop()
        return answers, sends

    def test_request_that_may_not_be_repeated_meets_no_close(self) -> None:
        for max_runners in (0, 1):
            answers, sends = run(
                self._send_twice(_reset, 1, max_runners=max_runners)
            )
            heads = [answer[:12] for answer in answers]
            self.assertEqual([b"HTTP/1.1 200"] * 2, heads, f"{max_runners}")
            self.assertEqual(2, sends, f"{max_runners}")

    def test_requests_around_the_idle_limit_of_a_runner_are_answered(
        self,
    ) -> None:
        runner = _ClosingRunner(idle_seconds=0.05)

        async def scenario() -> list[bytes]:
            harness = FrontEndHarness()
            # The retry budget is to allow a repetition of each request.
            for _ in range(2_000):
                harness.board.retries.record_first_attempt(
                    "stock", harness.board.now()
                )
            harness.add_runner("r0", runner.address)
            answers = []
            for number in range(60):
                answers.append(await harness.send_request("/safe/1"))
                await asyncio.sleep(0.045 + 0.0002 * number)
            harness.close()
            return answers

        try:
            answers = run(scenario())
        finally:
            runner.close()
        for number, answer in enumerate(answers):
            self.assertEqual(b"HTTP/1.1 200", answer[:12], f"{number}")
            self.assertTrue(answer.endswith(b"done"), f"{number}")


class _ClosingRunner:
    """Closes connections sooner than it announces, in threads of its own.

    Attributes:
        address: Address as host:port.
    """

    def __init__(self, *, idle_seconds: float) -> None:
        """Starts to serve.

        Args:
            idle_seconds: When it closes an idle connection.
        """
        self._idle_seconds = idle_seconds
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops accepting connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(self._idle_seconds)
            received = b""
            try:
                while data := connection.recv(65_536):
                    received += data
                    if received.endswith(b"\r\n\r\n"):
                        received = b""
                        connection.sendall(_ANSWER)
            except OSError:
                # The idle limit is over, or the router has gone.
                return
