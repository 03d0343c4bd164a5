"""Bytes that all calls together may hold."""

from __future__ import annotations

import asyncio

import testtools

from mulberrypaddle.serving.buffer_budget import BufferBudget, HeldBytes
from tests.serving.test_exchange import _MODEL, _STREAM_HEAD
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes
from tests.support.raw_runner import RawRunner


class BufferBudgetTest(testtools.TestCase):
    """Which call is ended when too many bytes are held."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = BufferBudget(100)
        self.evicted: list[str] = []

    def open(self, name: str, count: int) -> HeldBytes:
        """Returns the account of a call that holds some bytes."""
        holder = self.budget.open(lambda: self.evicted.append(name))
        holder.resize(count)
        return holder

    def test_largest_call_is_ended(self) -> None:
        self.open("a", 40)
        self.open("b", 30)
        small = self.open("c", 20)
        self.assertTrue(small.resize(31))
        self.assertEqual(["a"], self.evicted)
        self.assertEqual(61, self.budget.held_bytes)

    def test_newest_of_equal_calls_is_ended(self) -> None:
        self.open("a", 50)
        self.open("b", 50)
        self.open("c", 50)
        self.assertEqual(["c"], self.evicted)

    def test_call_that_grows_most_is_ended_itself(self) -> None:
        self.open("a", 40)
        large = self.open("b", 50)
        self.assertFalse(large.resize(70))
        self.assertEqual(["b"], self.evicted)
        self.assertFalse(large.resize(1))
        self.assertEqual(40, self.budget.held_bytes)

    def test_pinned_calls_stay(self) -> None:
        self.open("a", 90).pin()
        self.open("b", 20)
        self.assertEqual(["b"], self.evicted)
        self.assertEqual(90, self.budget.held_bytes)

    def test_released_bytes_are_free(self) -> None:
        for _ in range(3):
            self.open("a", 90).release()
        self.assertEqual([], self.evicted)
        self.assertEqual(0, self.budget.held_bytes)
        self.assertEqual(0, self.budget.evicted_count)

    def test_held_bytes_never_exceed_the_limit(self) -> None:
        for count in range(1, 60):
            self.open(str(count), count)
            self.assertLessEqual(self.budget.held_bytes, 100)


class SlowCallerTest(testtools.TestCase):
    """Callers that don't read their answers."""

    def test_answer_cut_for_its_bytes_does_not_look_complete(self) -> None:
        body = b"x" * 7_500_000

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )

        async def scenario() -> tuple[list[int], int]:
            path = FrontEndHarness()
            path.board.answer_buffers.limit_bytes = 12_000_000
            runner = RawRunner(answer)
            path.add_runner("r1", await runner.start())
            callers = []
            for _ in range(6):
                reader, writer = await path.connect()
                writer.write(request_bytes("/safe/1"))
                callers.append((reader, writer))
                await asyncio.sleep(0.2)
            sizes = []
            for reader, writer in callers:
                data = await asyncio.wait_for(_read_all(reader), 5.0)
                sizes.append(len(data.partition(b"\r\n\r\n")[2]))
                writer.close()
            held = path.board.answer_buffers.held_bytes
            path.close()
            await runner.stop()
            return sizes, held

        sizes, held = run(scenario())
        self.assertIn(len(body), sizes)
        self.assertLess(min(sizes), len(body))
        self.assertEqual(0, held)


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    """Returns the bytes of a response until it or its connection ends."""
    data = b""
    while True:
        try:
            chunk = await asyncio.wait_for(reader.read(65_536), 1.0)
        except (TimeoutError, ConnectionError):
            return data
        if not chunk:
            return data
        data += chunk


class UnfinishedAnswerTest(testtools.TestCase):
    """Heads and events that don't end count like bodies."""

    def _answer_to(self, part: bytes, path_name: str, headers: object) -> bytes:
        """Returns the answer to a request whose runner sends part of one."""

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(5.0)

        async def scenario() -> tuple[bytes, int]:
            path = FrontEndHarness()
            path.board.answer_buffers.limit_bytes = 20_000
            runner = RawRunner(answer)
            address = await runner.start()
            path.add_runner("r1", address)
            path.add_open_group("h1", address)
            reader, writer = await path.connect()
            writer.write(request_bytes(path_name, headers=headers))  # type: ignore[arg-type]
            data = await asyncio.wait_for(_read_all(reader), 3.0)
            writer.close()
            held = path.board.answer_buffers.held_bytes
            path.close()
            await runner.stop()
            return data, held

        data, held = run(scenario())
        self.assertEqual(0, held)
        return data

    def test_endless_head(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + b"X-Some: value\r\n" * 200
        answer = self._answer_to(head, "/pay/1", ())
        self.assertIn(b"HTTP/1.1 502", answer)

    def test_endless_event(self) -> None:
        part = _STREAM_HEAD + b"5000\r\n" + b"data: " + b"x" * 20_474 + b"\r\n"
        answer = self._answer_to(part, "/write/1", _MODEL)
        self.assertIn(b"HTTP/1.1 502", answer)


class RequestBodyTest(testtools.TestCase):
    """Bodies of requests that arrive slowly."""

    def test_request_refused_for_its_bytes_gets_a_true_refusal(self) -> None:
        sent: list[bytes] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            sent.append(request)
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
                b"Content-Length: 2\r\n\r\nok"
            )

        async def scenario() -> tuple[list[bytes], int]:
            path = FrontEndHarness()
            path.board.request_buffers.limit_bytes = 200_000
            runner = RawRunner(answer)
            path.add_runner("r1", await runner.start())
            callers = []
            for _ in range(4):
                reader, writer = await path.connect()
                request = request_bytes("/pay/1", body=b"b" * 90_000)
                writer.write(request[:-10])
                callers.append((reader, writer, request))
                await asyncio.sleep(0.1)
            answers = []
            for reader, writer, request in callers:
                writer.write(request[-10:])
                answers.append(await asyncio.wait_for(_read_all(reader), 3.0))
                writer.close()
            held = path.board.request_buffers.held_bytes
            path.close()
            await runner.stop()
            return answers, held

        answers, held = run(scenario())
        served = [a for a in answers if a.startswith(b"HTTP/1.1 200")]
        refused = [a for a in answers if a.startswith(b"HTTP/1.1 503")]
        self.assertEqual((2, 2), (len(served), len(refused)), answers)
        self.assertEqual(2, len(sent))
        for answer_bytes in refused:
            self.assertIn(b"Retry-After: 1.00", answer_bytes)
        self.assertEqual(0, held)
