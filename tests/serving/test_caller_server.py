"""Tests of the server for callers around a planned stop."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from typing import TYPE_CHECKING, Any

import testtools

from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.serving import caller_server
from mulberrypaddle.serving.exchange import Exchange
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes
from tests.support.raw_runner import AnswerWriter, RawRunner

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from tornado.httputil import HTTPHeaders

    from mulberrypaddle.serving.header_codec import CallerHeaders

# An unknown key is answered by the router itself, without a runner.
_REQUEST = request_bytes("/pay/1", headers=("X-Api-Key: other",))


_LONG_ANSWER_BYTES = 8_000_000


class ConnectionTest(testtools.TestCase):
    """The connections that are open."""

    def test_closed_connections_are_forgotten(self) -> None:
        async def scenario() -> tuple[int, int]:
            harness = FrontEndHarness()
            writers = [(await harness.connect())[1] for _ in range(3)]
            await harness.send_request("/pay/1", headers=("X-Api-Key: other",))
            before = harness.connection_count
            for writer in writers:
                writer.close()
            await asyncio.sleep(0.1)
            after = harness.connection_count
            harness.close()
            return before, after

        before, after = run(scenario())
        self.assertEqual((3, 0), (before, after))

    def test_refused_head_is_not_logged_as_dropped(self) -> None:
        async def scenario() -> None:
            harness = FrontEndHarness()
            reader, writer = await harness.connect()
            writer.write(b"no request\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 5.0)
            self.assertEqual(b"HTTP/1.1 400", answer[:12])
            writer.close()
            harness.close()

        self.assertEqual([], _dropped_records(scenario()))

    def test_head_that_ends_early_is_logged_as_dropped(self) -> None:
        async def scenario() -> None:
            harness = FrontEndHarness()
            _, writer = await harness.connect()
            writer.write(_REQUEST[:20])
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            harness.close()

        records = _dropped_records(scenario())
        self.assertEqual([20], [fields["received_bytes"] for fields in records])


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

    def test_connection_queued_behind_a_failed_one_is_served(self) -> None:
        accept = socket.socket.accept

        async def scenario(error: OSError) -> bytes:
            def accept_all_but_first(listener: socket.socket) -> Any:
                connection, _ = accept(listener)
                self.patch(socket.socket, "accept", accept)
                connection.close()
                raise error

            harness = FrontEndHarness()
            address = harness.settings.caller_address
            failed = socket.create_connection(address)
            caller = socket.create_connection(address)
            self.patch(socket.socket, "accept", accept_all_but_first)
            stopping = asyncio.ensure_future(
                harness.stop(quiet_seconds=1.0, until_seconds=0.0)
            )
            await asyncio.sleep(0)
            try:
                caller.sendall(_REQUEST)
                answer = await _read_answer(caller)
            except OSError:
                answer = b""
            await stopping
            failed.close()
            harness.close()
            return answer

        for number in (errno.ECONNABORTED, errno.EPROTO):
            answer = run(scenario(OSError(number, "failed while queued")))
            self.assertEqual(b"HTTP/1.1 401", answer[:12])

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

    def test_answer_is_written_to_a_slow_caller_before_the_stop_ends(
        self,
    ) -> None:
        # Requests in flight are ended after the caller has read, or before.
        for service_seconds in (10.0, 0.1):
            self._stop_under_a_slow_caller(service_seconds)

    def _stop_under_a_slow_caller(self, service_seconds: float) -> None:
        """Checks that a caller that reads late gets the whole answer."""

        async def scenario() -> tuple[bool, int]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_long_answer)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            writer.write(request_bytes("/safe/1"))
            await reader.readline()
            await asyncio.sleep(0.3)
            stopping = asyncio.ensure_future(
                harness.stop(
                    quiet_seconds=0.0,
                    until_seconds=harness.board.now() + service_seconds,
                    exit_seconds=harness.board.now() + 10.0,
                )
            )
            await asyncio.sleep(0.3)
            ended_early = stopping.done()
            rest = await asyncio.wait_for(reader.read(), 5.0)
            await asyncio.wait_for(stopping, 1.0)
            writer.close()
            harness.close()
            await runner.stop()
            return ended_early, rest.count(b"x")

        self.assertEqual((False, _LONG_ANSWER_BYTES), run(scenario()))

    def test_request_after_the_end_of_a_stop_is_not_sent_to_a_runner(
        self,
    ) -> None:
        async def scenario() -> tuple[bytes, int]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_refusal)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            request = request_bytes("/safe/1").replace(
                b"Connection: close\r\n", b""
            )
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
            await harness.stop(
                quiet_seconds=0.0, until_seconds=harness.board.now()
            )
            # The process has other work to end before it exits.
            writer.write(request)
            await asyncio.sleep(0.2)
            answer = await asyncio.wait_for(reader.read(1), 5.0)
            writer.close()
            harness.close()
            await runner.stop()
            return answer, len(runner.request_heads)

        self.assertEqual((b"", 1), run(scenario()))

    def test_request_that_crosses_the_close_is_not_sent_to_a_runner(
        self,
    ) -> None:
        self.patch(caller_server, "STOP_IDLE_POLLS", 1)

        async def scenario(turns: int) -> tuple[bool, int]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_refusal)
            harness.add_runner("r0", await runner.start())
            caller = socket.create_connection(harness.settings.caller_address)
            await asyncio.sleep(0.02)
            caller.sendall(request_bytes("/safe/1"))
            for _ in range(turns):
                await asyncio.sleep(0)
            await harness.stop(
                quiet_seconds=0.0, until_seconds=harness.board.now()
            )
            await asyncio.sleep(0.1)
            caller.setblocking(False)
            try:
                answered = caller.recv(12) != b""
            except ConnectionResetError:
                answered = False
            caller.close()
            harness.close()
            await runner.stop()
            return answered, len(runner.request_heads)

        for turns in range(12):
            answered, runs = run(scenario(turns))
            self.assertLessEqual(runs, int(answered), f"{turns} turns")

    def test_request_that_lies_unread_at_the_last_check_is_answered(
        self,
    ) -> None:
        async def scenario(is_used: bool) -> bytes:
            harness = FrontEndHarness()
            caller = socket.create_connection(harness.settings.caller_address)
            if is_used:
                caller.sendall(_REQUEST.replace(b"Connection: close\r\n", b""))
            await asyncio.sleep(0.1)
            if is_used:
                self.assertEqual(b"HTTP/1.1 401", caller.recv(65_536)[:12])
            # The event loop does not run between the request and the check.
            self.patch(caller_server, "STOP_IDLE_POLLS", 1)
            caller.sendall(_REQUEST)
            await harness.stop(
                quiet_seconds=0.0, until_seconds=harness.board.now()
            )
            try:
                answer = await _read_answer(caller)
            except ConnectionResetError:
                answer = b""
            harness.close()
            return answer

        for is_used in (False, True):
            answer = run(scenario(is_used))
            self.assertEqual(b"HTTP/1.1 401", answer[:12], f"{is_used}")

    def test_request_whose_head_arrives_in_pieces_in_a_stop_is_refused(
        self,
    ) -> None:
        async def scenario() -> tuple[bytes, int]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_refusal)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            request = request_bytes("/safe/1")
            writer.write(request[:40])
            await asyncio.sleep(0.1)
            stop = harness.begin_stop(left_seconds=0.2)
            stopping = asyncio.ensure_future(
                harness.stop(
                    quiet_seconds=0.0,
                    until_seconds=stop.ends_at_seconds,
                    exit_seconds=stop.ends_at_seconds + 2.0,
                )
            )
            await asyncio.sleep(0.6)
            writer.write(request[40:])
            answer = await asyncio.wait_for(reader.read(), 5.0)
            await asyncio.wait_for(stopping, 1.0)
            writer.close()
            harness.close()
            await runner.stop()
            return answer, len(runner.request_heads)

        answer, runs = run(scenario())
        self.assertEqual((b"HTTP/1.1 503", 0), (answer[:12], runs))

    def test_requests_are_refused_by_a_stop_that_comes_late_to_its_exit(
        self,
    ) -> None:
        async def scenario(is_read: bool) -> tuple[bytes, float]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_nothing)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            stop = harness.begin_stop(left_seconds=0.3)
            stopping = asyncio.ensure_future(
                harness.stop(
                    quiet_seconds=5.0,
                    until_seconds=stop.ends_at_seconds,
                    exit_seconds=stop.ends_at_seconds + 0.2,
                )
            )
            await asyncio.sleep(0.05)
            writer.write(request_bytes("/safe/1"))
            if is_read:
                await asyncio.sleep(0.05)
            # The process stands still until the exit is over.
            time.sleep(stop.ends_at_seconds + 0.3 - harness.board.now())
            late_at = harness.board.now()
            await asyncio.wait_for(stopping, 5.0)
            late_seconds = harness.board.now() - late_at
            try:
                answer = await asyncio.wait_for(reader.read(), 5.0)
            except ConnectionError:
                answer = b""
            writer.close()
            harness.close()
            await runner.stop()
            return answer, late_seconds

        for is_read in (False, True):
            answer, late_seconds = run(scenario(is_read))
            self.assertIn(
                answer[:12], (b"HTTP/1.1 503", b"HTTP/1.1 504"), f"{is_read}"
            )
            self.assertLess(late_seconds, 0.3)

    def test_head_without_an_end_delays_the_stop_until_its_exit(self) -> None:
        async def scenario() -> float:
            harness = FrontEndHarness()
            _, writer = await harness.connect()
            writer.write(_REQUEST[:40])
            await asyncio.sleep(0.1)
            now = harness.board.now()
            await harness.stop(
                quiet_seconds=0.0, until_seconds=now, exit_seconds=now + 0.5
            )
            duration_seconds = harness.board.now() - now
            writer.close()
            harness.close()
            return duration_seconds

        duration_seconds = run(scenario())
        self.assertGreaterEqual(duration_seconds, 0.5)
        self.assertLess(duration_seconds, 1.5)

    def test_refusal_that_crosses_the_close_is_not_truncated(self) -> None:
        async def scenario(turns: int) -> bytes:
            harness = FrontEndHarness()
            caller = socket.create_connection(harness.settings.caller_address)
            await asyncio.sleep(0.02)
            caller.sendall(_REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            now = harness.board.now()
            await harness.stop(
                quiet_seconds=0.0, until_seconds=now, exit_seconds=now
            )
            try:
                answer = await _read_answer(caller)
            except ConnectionResetError:
                answer = b""
            harness.close()
            return answer

        for turns in range(12):
            answer = run(scenario(turns))
            self.assertTrue(
                not answer or answer.endswith(b"}"),
                f"{turns} turns: {answer!r}",
            )

    def test_pipelined_request_is_refused_at_the_end_of_a_stop(self) -> None:
        async def scenario() -> tuple[bytes, int]:
            harness = FrontEndHarness()
            runner = RawRunner(_send_nothing)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            request = request_bytes("/pay/1").replace(
                b"Connection: close\r\n", b""
            )
            writer.write(request + request)
            await asyncio.sleep(0.2)
            stop = harness.begin_stop(left_seconds=0.5)
            await harness.stop(
                quiet_seconds=0.0, until_seconds=stop.ends_at_seconds
            )
            answers = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            harness.close()
            await runner.stop()
            return answers, len(runner.request_heads)

        answers, runs = run(scenario())
        self.assertEqual(2, answers.count(b"HTTP/1.1 "))
        self.assertIn(b"HTTP/1.1 504", answers)
        self.assertIn(b"HTTP/1.1 503", answers)
        self.assertEqual(1, runs)

    def test_answer_to_a_request_before_the_signal_announces_the_close(
        self,
    ) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()

            async def answer(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                harness.begin_stop(left_seconds=5.0)
                await _send_refusal(count, request, writer)

            runner = RawRunner(answer)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            writer.write(
                request_bytes("/safe/1").replace(b"Connection: close\r\n", b"")
            )
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
            writer.close()
            harness.close()
            await runner.stop()
            return head

        self.assertIn(b"connection: close\r\n", run(scenario()).lower())

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


class UnexpectedErrorTest(testtools.TestCase):
    """Errors of this router itself."""

    def test_error_before_the_exchange_is_answered(self) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            harness.board.header_codec = _FailingCodec()
            answer = await harness.send_request("/safe/1")
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 500", run(scenario())[:12])

    def test_refused_head_request_leaves_the_connection_usable(self) -> None:
        async def scenario() -> list[bytes]:
            harness = FrontEndHarness()
            reader, writer = await harness.connect()
            request = _REQUEST.replace(b"Connection: close\r\n", b"")
            heads = []
            for method in (b"HEAD ", b"HEAD "):
                writer.write(method + request.partition(b" ")[2])
                heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.close()
            harness.close()
            return [head[:12] for head in heads]

        self.assertEqual([b"HTTP/1.1 401"] * 2, run(scenario()))

    def test_exchange_without_a_response_is_answered(self) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            answer = await harness.send_request("/safe/1")
            harness.close()
            return answer

        self.patch(caller_server, "Exchange", _SilentExchange)
        self.assertEqual(b"HTTP/1.1 500", run(scenario())[:12])


class _SilentExchange(Exchange):
    """Ends without a response."""

    async def run(self) -> None:
        """Does nothing."""


class _FailingCodec(PlatformHeaderCodec):
    """Fails to parse the headers of each request."""

    def parse_caller_headers(self, headers: HTTPHeaders) -> CallerHeaders:
        """Raises an error that no caller of this method expects."""
        raise RuntimeError("not parsed")


class UnansweredTest(testtools.TestCase):
    """Log lines of complete requests that get no complete response."""

    def _log_of(self, answer: AnswerWriter) -> list[str]:
        """Returns the lines about a request whose caller leaves after 0.2 s."""

        async def scenario() -> None:
            harness = FrontEndHarness()
            runner = RawRunner(answer)
            harness.add_runner("r0", await runner.start())
            reader, writer = await harness.connect()
            writer.write(request_bytes("/safe/1"))
            await asyncio.sleep(0.2)
            writer.close()
            await asyncio.sleep(0.1)
            harness.close()
            await runner.stop()

        return _unanswered_in(scenario())

    def test_request_whose_caller_leaves_is_logged(self) -> None:
        self.assertEqual(["q1 caller_closed"], self._log_of(_send_nothing))

    def test_answered_request_is_not_logged(self) -> None:
        self.assertEqual([], self._log_of(_send_refusal))

    def test_request_at_the_end_of_a_stop_is_logged(self) -> None:
        self._check_log_of_stop(sent_after_seconds=-0.2)

    def test_time_out_at_the_end_of_a_stop_is_logged_as_stopped(self) -> None:
        self._check_log_of_stop(sent_after_seconds=0.05)

    def _check_log_of_stop(self, *, sent_after_seconds: float) -> None:
        """Checks the log line of a stream that the end of a stop cuts.

        Args:
            sent_after_seconds: When the stream is requested, relative to the
                signal.
        """

        async def scenario() -> None:
            harness = FrontEndHarness()
            runner = RawRunner(_send_one_event)
            harness.add_open_group("h0", await runner.start())
            _, writer = await harness.connect()
            board = harness.board
            signalled_at = board.now() - 1.5
            request = request_bytes("/write/1", headers=("X-Model: small",))
            if sent_after_seconds < 0:
                writer.write(request)
                await asyncio.sleep(-sent_after_seconds)
            stop = harness.begin_stop(
                left_seconds=2.5,
                signalled_before_seconds=board.now() - signalled_at,
            )
            if sent_after_seconds > 0:
                await asyncio.sleep(sent_after_seconds)
                writer.write(request)
                # The attempt times out before the server is stopped.
                await asyncio.sleep(2.8)
            await harness.stop(
                quiet_seconds=0.0, until_seconds=stop.ends_at_seconds
            )
            harness.log_interrupted()
            writer.close()
            harness.close()
            await runner.stop()

        records = _unanswered_records(scenario())
        self.assertEqual("stopped", records[-1]["cause"])
        fields = {
            name: records[-1].get(name)
            for name in ("begun", "sends", "runner", "events")
        }
        self.assertEqual(
            {"begun": True, "sends": 1, "runner": "h0", "events": 1}, fields
        )
        self.assertGreaterEqual(records[-1]["after_signal"], 1.5)
        self.assertGreaterEqual(records[-1]["silent"], 0.1)


def _unanswered_in(scenario: Coroutine[Any, Any, None]) -> list[str]:
    """Runs a scenario; returns id and cause of each unanswered request."""
    return [
        f"{fields['request']} {fields['cause']}"
        for fields in _unanswered_records(scenario)
    ]


def _unanswered_records(
    scenario: Coroutine[Any, Any, None],
) -> list[dict[str, Any]]:
    """Runs a scenario; returns the fields of each unanswered request."""
    return _records_of("mulberrypaddle.requests", "unanswered", scenario)


def _dropped_records(
    scenario: Coroutine[Any, Any, None],
) -> list[dict[str, Any]]:
    """Runs a scenario; returns the fields of each dropped request."""
    return _records_of("mulberrypaddle.beliefs", "request_dropped", scenario)


def _records_of(
    logger_name: str, event: str, scenario: Coroutine[Any, Any, None]
) -> list[dict[str, Any]]:
    """Runs a scenario; returns the fields of each record of an event."""
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger = logging.getLogger(logger_name)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        run(scenario)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
    return [vars(record) for record in records if record.getMessage() == event]


async def _send_long_answer(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Answers with a body that no socket buffer holds."""
    writer.write(
        b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
        b"Content-Length: %d\r\n\r\n" % _LONG_ANSWER_BYTES
    )
    writer.write(b"x" * _LONG_ANSWER_BYTES)


async def _send_nothing(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Leaves the request without an answer."""


async def _send_one_event(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Begins a stream and falls silent after its first event."""
    writer.write(
        b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"f\r\nid: 1\ndata: x\n\n\r\n"
    )


async def _send_refusal(
    count: int, request: bytes, writer: asyncio.StreamWriter
) -> None:
    """Answers that the request is wrong."""
    writer.write(
        b"HTTP/1.1 400 X\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n"
    )


async def _read_answer(caller: socket.socket) -> bytes:
    """Reads up to the end of a connection that was opened by hand."""
    caller.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=caller)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer
