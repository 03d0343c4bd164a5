"""Tests against a runner that writes a refusal twice on one connection.

The second copy must not count as the refusal of another request.
"""

from __future__ import annotations

import asyncio
import enum

import testtools

from tests.serving.test_exchange import _MODEL, _complete_response
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes

_KEEP_ALIVE = b"Keep-Alive: timeout=2\r\n"
_NOT_RUN = b"X-Not-Executed: 1\r\n" + _KEEP_ALIVE
_EVENT = b"id: 1\ndata: done\n\n"

# Time in seconds in which bytes reach the router before anything else happens.
_ARRIVAL_SECONDS = 0.03


class _When(enum.Enum):
    """When the second copy is written.

    Attributes:
        WITH_REFUSAL: In one write with the refusal.
        BEFORE_NEXT: After the refusal has been read, before the next request.
        WITHIN_NEXT: When the head of the next request has arrived.
        AFTER_NEXT: When the next request has arrived.
    """

    WITH_REFUSAL = "with_refusal"
    BEFORE_NEXT = "before_next"
    WITHIN_NEXT = "within_next"
    AFTER_NEXT = "after_next"


class _FaultyRunner:
    """Refuses the first request twice and runs all later ones.

    Attributes:
        connection_count: Number of accepted connections.
        run_ids: Ids of the requests that it ran, in order.
    """

    def __init__(
        self, refusal: bytes, copies: list[bytes], when: _When
    ) -> None:
        """Prepares the runner.

        Args:
            refusal: The refusal of the first request.
            copies: Parts of its second copy, which are written one by one.
            when: When the second copy is written.
        """
        self._refusal = refusal
        self._copies = copies
        self._when = when
        self._server: asyncio.Server | None = None
        self._has_refused = False
        self.connection_count = 0
        self.run_ids: list[bytes] = []

    async def start(self) -> str:
        """Starts listening and returns the address as host:port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stops listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        writes_copy = not self._has_refused
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
                )
                is_next = self._has_refused and writes_copy
                if is_next and self._when is _When.WITHIN_NEXT:
                    await self._write_copy(writer)
                await reader.readexactly(int(fields[b"Content-Length"]))
                if not self._has_refused:
                    self._has_refused = True
                    await self._refuse(writer)
                    continue
                self.run_ids.append(fields[b"X-Request-Id"])
                if is_next and self._when is _When.AFTER_NEXT:
                    await self._write_copy(writer)
                answer = _complete_response(200, _EVENT, _KEEP_ALIVE)
                writer.write(answer.replace(b"q1", fields[b"X-Request-Id"]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The router has closed the connection.
            return
        finally:
            writer.close()

    async def _refuse(self, writer: asyncio.StreamWriter) -> None:
        """Writes the refusal, and a copy that comes before the next request."""
        if self._when is _When.WITH_REFUSAL:
            writer.write(self._refusal + self._copies[0])
            for part in self._copies[1:]:
                await asyncio.sleep(_ARRIVAL_SECONDS / 3)
                writer.write(part)
            return
        writer.write(self._refusal)
        if self._when is _When.BEFORE_NEXT:
            await asyncio.sleep(_ARRIVAL_SECONDS)
            await self._write_copy(writer)

    async def _write_copy(self, writer: asyncio.StreamWriter) -> None:
        """Writes the second copy, each part in a packet of its own."""
        for part in self._copies:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(_ARRIVAL_SECONDS / 3)


def _send_two(
    path: str, refusal: bytes, copies: list[bytes], when: _When
) -> tuple[list[bytes], _FaultyRunner]:
    """Sends the requests q1 and q2 in a row to a router with one runner.

    Returns:
        The two answers that the callers received, and the runner.
    """
    runner = _FaultyRunner(refusal, copies, when)

    async def scenario() -> list[bytes]:
        harness = FrontEndHarness()
        address = await runner.start()
        headers: tuple[str, ...] = ("X-Deadline-Ms: 3000",)
        if path.startswith("/write/"):
            headers = _MODEL
            harness.add_open_group("h0", address)
        else:
            harness.add_runner("r0", address)
        answers = []
        for request_id in (b"q1", b"q2"):
            request = request_bytes(path, body=b"x" * 90_000, headers=headers)
            reader, writer = await harness.connect()
            writer.write(request.replace(b"q1", request_id, 1))
            answers.append(await asyncio.wait_for(reader.read(), 10.0))
            writer.close()
            if request_id == b"q1":
                await asyncio.sleep(2 * _ARRIVAL_SECONDS)
        harness.close()
        runner.stop()
        return answers

    return run(scenario()), runner


def _refusal(status: int) -> bytes:
    """Returns a refusal of the request q1, without a seal."""
    answer = _complete_response(status, b"", _NOT_RUN)
    return answer.replace(b"X-Response-Seal: s\r\n", b"")


def _copies_of(refusal: bytes) -> list[list[bytes]]:
    """Returns second copies of a refusal, each as a list of parts.

    With the id of its request and without any; whole, split within the status
    line and split before the empty line.
    """
    copies = []
    for copy in (refusal, refusal.replace(b"X-Request-Id: q1\r\n", b"")):
        copies.append([copy])
        for at in (7, len(copy) - 2):
            copies.append([copy[:at], copy[at:]])
    return copies


_CASES = [
    (_refusal(status), copies)
    for status in (429, 503)
    for copies in _copies_of(_refusal(status))
]


class RepeatedRefusalTest(testtools.TestCase):
    """A second copy of a refusal is no answer to the next request."""

    def _status(self, answer: bytes) -> int:
        return int(answer.split(b" ")[1])

    def _assert_not_refused(self, when: _When) -> None:
        """Checks that the second request is not reported as not run.

        The retry budget of a new process allows no second attempt, so that a
        repeatable request whose answer is rejected ends with 502.
        """
        for path in ("/safe/1", "/write/1", "/pay/1"):
            for refusal, copies in _CASES:
                answers, runner = _send_two(path, refusal, copies, when)
                statuses = [self._status(answer) for answer in answers]
                detail = f"{path} {statuses} {copies}"
                self.assertEqual(503, statuses[0], detail)
                self.assertIn(b"Retry-After", answers[0])
                if path == "/pay/1" or when is _When.WITH_REFUSAL:
                    self.assertEqual(200, statuses[1], detail)
                    self.assertEqual(2, runner.connection_count)
                self.assertIn(statuses[1], (200, 502), detail)
                if statuses[1] == 200:
                    self.assertIn(b"data: done", answers[1])
                    self.assertEqual([b"q2"], runner.run_ids, detail)

    def test_copy_with_the_refusal(self) -> None:
        self._assert_not_refused(_When.WITH_REFUSAL)

    def test_copy_before_the_next_request(self) -> None:
        self._assert_not_refused(_When.BEFORE_NEXT)

    def test_copy_while_the_next_request_is_sent(self) -> None:
        self._assert_not_refused(_When.WITHIN_NEXT)

    def test_copy_after_the_next_request(self) -> None:
        self._assert_not_refused(_When.AFTER_NEXT)

    def test_kept_connection_is_used_for_the_repeatable_request(self) -> None:
        for path in ("/safe/1", "/write/1"):
            refusal, copies = _CASES[0]
            _, runner = _send_two(path, refusal, copies, _When.AFTER_NEXT)
            self.assertEqual(1, runner.connection_count)


class RefusedAttemptTest(testtools.TestCase):
    """A refused request is sent again, on a connection of its own."""

    async def _send(
        self, path: str, copies: list[bytes], when: _When, runner_count: int
    ) -> tuple[bytes, list[_FaultyRunner]]:
        """Sends one request to runners of which each refuses its first one.

        Returns:
            The answer that the caller received, and the runners.
        """
        harness = FrontEndHarness()
        for service in ("stock", "cards"):
            for _ in range(50):
                # The retry budget of a new process allows no second attempt.
                harness.board.retries.record_first_attempt(
                    service, harness.board.now()
                )
        runners = []
        for number in range(runner_count):
            runner = _FaultyRunner(_refusal(429), copies, when)
            address = await runner.start()
            harness.add_runner(f"r{number}", address)
            harness.add_open_group(f"h{number}", address)
            runners.append(runner)
        got = await harness.send_request(path, headers=_MODEL)
        harness.close()
        for runner in runners:
            runner.stop()
        return got, runners

    def _assert_runs_once(
        self,
        path: str,
        copies: list[bytes],
        when: _When,
        *,
        runner_count: int,
    ) -> None:
        got, runners = run(self._send(path, copies, when, runner_count))
        detail = f"{path} {when} {copies} {got!r}"
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), detail)
        run_ids = []
        for runner in runners:
            run_ids += runner.run_ids
        self.assertEqual([b"q1"], run_ids, detail)

    def test_copy_is_no_answer_to_the_next_attempt(self) -> None:
        for path in ("/safe/1", "/write/1", "/pay/1"):
            for copies in _copies_of(_refusal(429)):
                for when in _When:
                    self._assert_runs_once(path, copies, when, runner_count=1)

    def test_bytes_behind_a_refusal_do_not_change_it(self) -> None:
        refusal = _refusal(429)
        for extra in (refusal, refusal[:20], b"garbage\r\n\r\n", b"\x00\xff"):
            self._assert_runs_once(
                "/pay/1", [extra], _When.WITH_REFUSAL, runner_count=3
            )
