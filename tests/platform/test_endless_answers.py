"""Calls of the router to a store or a runner whose answer never ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure

from mulberrypaddle.fleet import RunnerEntry
from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving.store import Collection
from tests.serving.test_endless_answers import (
    ENDLESS_BYTES,
    MAX_GROWTH_BYTES,
    EndlessRunner,
    peak_bytes,
)
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"4000\r\n" + b"x" * 16_384 + b"\r\n"


class EndlessAnswerTest(testtools.TestCase):
    """An endless answer is aborted at the size limit, without using memory."""

    def _assert_limited(
        self, call: Callable[[str], Awaitable[Any]], start: bytes, part: bytes
    ) -> None:
        """Checks that a call fails, with bounded traffic and memory growth.

        Args:
            call: Makes the call to an address.
            start: First bytes of the answer.
            part: Bytes that the answer repeats without end.
        """
        endless = EndlessRunner(start, part)

        async def scenario() -> Any:
            server = RawRunner(endless.answer)
            address = await server.start()
            result = await asyncio.wait_for(call(address), 10.0)
            await server.stop()
            return result

        before = peak_bytes()
        self.assertIsInstance(run(scenario()), Failure)
        self.assertLess(endless.sent_bytes, ENDLESS_BYTES)
        self.assertLess(peak_bytes() - before, MAX_GROWTH_BYTES)

    async def _list(self, address: str) -> Any:
        return await PlatformStore(address).list(Collection.RUNNERS)

    async def _report(self, address: str) -> Any:
        entry = RunnerEntry(
            "r1",
            started_at_ms=1,
            service="cards",
            address=address,
            data_centre="south",
            slots=1,
            draining=False,
        )
        return await PlatformRunnerControl().fetch_report(
            entry, limit_seconds=5.0
        )

    def test_chunked_listing(self) -> None:
        self._assert_limited(self._list, _CHUNKED, _CHUNK)

    def test_listing_until_the_connection_closes(self) -> None:
        self._assert_limited(self._list, b"HTTP/1.1 200 OK\r\n\r\n", b"{}")

    def test_chunked_report(self) -> None:
        self._assert_limited(self._report, _CHUNKED, _CHUNK)

    def test_report_that_is_nested_deeply_or_has_too_many_digits(self) -> None:
        async def scenario(body: bytes) -> Any:
            async def answer(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                    + body
                )

            runner = RawRunner(answer)
            try:
                return await self._report(await runner.start())
            finally:
                await runner.stop()

        for body in (
            b"[" * 50_000 + b"]" * 50_000,
            b'{"pace": ' + b"9" * 5_000 + b"}",
            b'{"pace": "\xff"}',
            b"{",
        ):
            self.assertIsInstance(run(scenario(body)), Failure)

    def test_header_section_of_a_report(self) -> None:
        start = b"HTTP/1.1 200 OK\r\n"
        self._assert_limited(self._report, start, b"X-Some: value\r\n")
