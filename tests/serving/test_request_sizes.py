"""Tests of the limits on the size of callers' requests."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import testtools

from tests.support.asynchronous import run
from tests.support.front_end_harness import (
    FrontEndHarness,
    make_config,
    request_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

# An unknown key is answered by the router itself, without a runner.
_UNKNOWN_KEY = "X-Api-Key: other"

# More than the sockets of both ends hold, so that the caller still sends when
# the refusal is written.
_LONG_BODY_BYTES = 40_000_000


class HeadTest(testtools.TestCase):
    """Heads of requests around the limit."""

    def test_head_within_a_raised_limit_is_not_dropped(self) -> None:
        # On a new connection, and on one that waits while the limit is raised.
        for waits in (False, True):

            async def scenario(waits: bool) -> bytes:
                harness = FrontEndHarness()
                raised = make_config(version=2, header_bytes=200_000)
                if not waits:
                    harness.apply_config(raised)
                reader, writer = await harness.connect()
                await asyncio.sleep(0.05)
                if waits:
                    harness.apply_config(raised)
                writer.write(_request_with_head_of(150_000))
                answer = await _read_answer(reader)
                writer.close()
                harness.close()
                return answer

            answer = run(scenario(waits))
            self.assertEqual(b"HTTP/1.1 401", answer[:12], f"waits={waits}")

    def test_head_that_arrives_while_the_limit_is_lowered_is_read(
        self,
    ) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            harness.apply_config(make_config(version=2, header_bytes=200_000))
            reader, writer = await harness.connect()
            request = _request_with_head_of(150_000)
            writer.write(request[:60_000])
            await asyncio.sleep(0.05)
            harness.apply_config(make_config(version=3, header_bytes=16_384))
            writer.write(request[60_000:])
            answer = await _read_answer(reader)
            writer.close()
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 401", run(scenario())[:12])

    def test_head_over_the_limit_is_refused(self) -> None:
        for size_bytes in (100_000, 5_000_000):

            async def scenario(size_bytes: int) -> bytes:
                harness = FrontEndHarness()
                answer = await _send(harness, _request_with_head_of(size_bytes))
                harness.close()
                return answer

            answers: list[bytes] = []
            refusals = _refusals_in(scenario(size_bytes), answers)
            _check_refusal(self, b"431", answers[0])
            self.assertEqual(["too_large"], refusals)


class BodyTest(testtools.TestCase):
    """Bodies of requests around the limit."""

    def test_body_within_the_configured_limit_is_read(self) -> None:
        for is_chunked in (False, True):

            async def scenario(is_chunked: bool) -> bytes:
                harness = FrontEndHarness()
                harness.apply_config(
                    make_config(version=2, body_bytes=20_000_000)
                )
                answer = await _send(
                    harness, _request_with_body_of(10_000_000, is_chunked)
                )
                harness.close()
                return answer

            answer = run(scenario(is_chunked))
            self.assertEqual(b"HTTP/1.1 401", answer[:12], f"{is_chunked}")

    def test_body_over_the_limit_is_refused(self) -> None:
        for is_chunked in (False, True):

            async def scenario(is_chunked: bool) -> bytes:
                harness = FrontEndHarness()
                answer = await _send(
                    harness, _request_with_body_of(_LONG_BODY_BYTES, is_chunked)
                )
                await asyncio.sleep(0.1)
                self.assertEqual(
                    (0, 0),
                    (harness.board.reading, harness.board.in_flight_count),
                )
                harness.close()
                return answer

            answers: list[bytes] = []
            refusals = _refusals_in(scenario(is_chunked), answers)
            _check_refusal(self, b"413", answers[0])
            self.assertEqual(["q1 too_large"], refusals)

    def test_body_over_the_limit_is_not_asked_for(self) -> None:
        async def scenario(length: bytes) -> bytes:
            harness = FrontEndHarness()
            request = request_bytes(
                "/pay/1", headers=("Expect: 100-continue",)
            ).replace(b"Content-Length: 0", b"Content-Length: " + length)
            answer = await _send(harness, request)
            harness.close()
            return answer

        for length in (b"200000", b"9" * 5_000):
            _check_refusal(self, b"413", run(scenario(length)))

    def test_malformed_request_with_a_body_over_the_limit_is_refused_once(
        self,
    ) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            request = request_bytes(
                "/pay/1", headers=("Transfer-Encoding: chunked",)
            ).replace(b"Content-Length: 0", b"Content-Length: 200000")
            answer = await _send(harness, request)
            harness.close()
            return answer

        _check_refusal(self, b"413", run(scenario()))

    def test_body_that_arrives_while_the_limit_is_lowered_is_read(
        self,
    ) -> None:
        async def scenario() -> bytes:
            harness = FrontEndHarness()
            reader, writer = await harness.connect()
            request = _request_with_body_of(90_000, is_chunked=False)
            writer.write(request[:50_000])
            await asyncio.sleep(0.05)
            harness.apply_config(make_config(version=2, body_bytes=1_000))
            writer.write(request[50_000:])
            answer = await _read_answer(reader)
            writer.close()
            harness.close()
            return answer

        self.assertEqual(b"HTTP/1.1 401", run(scenario())[:12])


def _check_refusal(
    test: testtools.TestCase, status: bytes, answer: bytes
) -> None:
    """Checks that a caller got one complete refusal of a given status."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    test.assertEqual(b"HTTP/1.1 " + status, answer[:12])
    test.assertIn(b"connection: close", lines)
    test.assertIn(b"content-length: %d" % len(body), lines)
    test.assertTrue(body.endswith(b"}"))


def _request_with_head_of(size_bytes: int) -> bytes:
    """Returns a request whose head has about a given size."""
    # A single header of this size would do, too.
    filler = f"X-Filler: {'x' * 5_000}"
    return request_bytes(
        "/pay/1", headers=(_UNKNOWN_KEY, *[filler] * (size_bytes // 5_010))
    )


def _request_with_body_of(size_bytes: int, is_chunked: bool) -> bytes:
    """Returns a request with a body of a given size."""
    body = b"x" * size_bytes
    request = request_bytes("/pay/1", body=body, headers=(_UNKNOWN_KEY,))
    if not is_chunked:
        return request
    head = request.partition(b"\r\n\r\n")[0].replace(
        b"Content-Length: %d" % size_bytes, b"Transfer-Encoding: chunked"
    )
    chunk = b"%x\r\n%s\r\n" % (size_bytes // 10, body[: size_bytes // 10])
    return b"".join([head, b"\r\n\r\n", chunk * 10, b"0\r\n\r\n"])


async def _send(harness: FrontEndHarness, request: bytes) -> bytes:
    """Sends all of a request before the answer is read, as most callers do."""
    reader, writer = await harness.connect()
    writer.write(request)
    await asyncio.wait_for(writer.drain(), 10.0)
    await asyncio.sleep(0.1)
    answer = await _read_answer(reader)
    writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    """Returns what a caller gets; empty if its connection is reset."""
    try:
        return await asyncio.wait_for(reader.read(), 10.0)
    except ConnectionError:
        return b""


def _refusals_in(
    scenario: Coroutine[Any, Any, bytes], answers: list[bytes]
) -> list[str]:
    """Runs a scenario and adds its answer to a list.

    Returns:
        Id, if known, and kind of each request that was logged as refused.
    """
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger = logging.getLogger("mulberrypaddle.requests")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        answers.append(run(scenario))
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
    refusals = []
    for record in records:
        fields = vars(record)
        if record.getMessage() == "unanswered":
            refusals.append("unanswered")
        if record.getMessage() == "refused":
            refusals.append(f"{fields['request']} {fields['kind']}".strip())
    return refusals
