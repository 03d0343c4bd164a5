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
