"""Tests of requests that can't be read as HTTP."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import testtools

from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness, request_bytes

_HOST = b"Host: shop.example\r\n"

# Requests with a fault in the request line, the headers, the length or a chunk.
_MALFORMED = (
    b"POST\r\n" + _HOST + b"\r\n",
    b"POST /pay/1 HTTP/9.x\r\n" + _HOST + b"\r\n",
    b"POST /pay/1 HTTP/1.1\r\n" + _HOST + b"no header\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n" + _HOST + b"X-A: \x00\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n" + _HOST + b"Content-Length: many\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n" + _HOST + b"Content-Length: 1, 2\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n"
    + _HOST
    + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    b"POST /pay/1 HTTP/1.1\r\n"
    + _HOST
    + b"Transfer-Encoding: gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n"
    + _HOST
    + b"Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n"
    + _HOST
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
    b"POST /pay/1 HTTP/1.1\r\n"
    + _HOST
    + b"Transfer-Encoding: chunked\r\n\r\n2;"
    + b"x" * 100
    + b"\r\nab\r\n0\r\n\r\n",
)


class MalformedRequestTest(testtools.TestCase):
    """Requests that are refused before they are complete."""

    def test_malformed_request_gets_a_complete_refusal(self) -> None:
        for request in _MALFORMED:
            # More follows than the sockets of both ends hold.
            for rest in (b"", b"x" * 20_000_000):
                answer, events, counts = run(_send(request + rest))
                head, _, body = answer.partition(b"\r\n\r\n")
                lines = head.lower().split(b"\r\n")
                name = f"{request!r}, {len(rest)} more bytes"
                self.assertEqual(b"HTTP/1.1 400", answer[:12], name)
                self.assertIn(b"connection: close", lines, name)
                self.assertIn(b"content-length: %d" % len(body), lines, name)
                self.assertTrue(body.endswith(b"}"), name)
                self.assertEqual(["refused bad_request"], events, name)
                self.assertEqual((0, 0), counts, name)

    def test_malformed_request_behind_another_gets_a_refusal(self) -> None:
        request = request_bytes(
            "/pay/1", headers=("X-Api-Key: other",)
        ).replace(b"Connection: close\r\n", b"")
        for malformed in _MALFORMED:
            answer, _, _ = run(_send(request + malformed))
            self.assertEqual(1, answer.count(b"HTTP/1.1 401"), f"{malformed!r}")
            self.assertEqual(1, answer.count(b"HTTP/1.1 400"), f"{malformed!r}")


async def _send(data: bytes) -> tuple[bytes, list[str], tuple[int, int]]:
    """Sends bytes on one connection.

    Returns:
        What came back, event and kind of each request that was dropped or
        logged as refused as malformed, and the numbers of requests that are
        being read and in flight at the end.
    """
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[method-assign]
    logger = logging.getLogger("mulberrypaddle")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    harness = FrontEndHarness()
    answer = b""
    try:
        reader, writer = await harness.connect()
        writer.write(data)
        try:
            await asyncio.wait_for(writer.drain(), 10.0)
            answer = await asyncio.wait_for(reader.read(), 10.0)
        except ConnectionError:
            # The caller has lost what it had not read yet.
            answer = b""
        writer.close()
        await asyncio.sleep(0.05)
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
    harness.close()
    board = harness.board
    events = [
        _describe(record)
        for record in records
        if record.getMessage() in ("refused", "request_dropped", "unanswered")
    ]
    return answer, events, (board.reading, board.in_flight_count)


def _describe(record: logging.LogRecord) -> str:
    """Returns event and kind of a log record."""
    fields: dict[str, Any] = vars(record)
    return f"{record.getMessage()} {fields.get('kind', '')}".strip()
