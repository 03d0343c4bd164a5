"""Limits on the time for which callers may leave connections unused."""

from __future__ import annotations

import asyncio
import socket

import testtools
from tornado.iostream import StreamClosedError

from mulberrypaddle.serving.caller_stream import CallerStream
from mulberrypaddle.serving.connection_limits import ConnectionLimits
from tests.support.asynchronous import run

IDLE_SECONDS = 15.0
HEAD_SECONDS = 3.0


class WaitingCaller:
    """A connection that waits for a request, and the caller's end of it.

    Attributes:
        limits: Limits that apply to it.
        stream: The router's end.
        head: Done when the head of the request is complete.
    """

    def __init__(self) -> None:
        self._caller, router_end = socket.socketpair()
        self.stream = CallerStream(router_end)
        self.limits = ConnectionLimits(
            idle_seconds=IDLE_SECONDS, head_seconds=HEAD_SECONDS
        )

    async def start(self, *, buffered: bytes = b"") -> None:
        """Begins to wait for a head, at time 0.

        Args:
            buffered: Bytes that are read together with the request before.
        """
        if buffered:
            self._caller.sendall(b"!" + buffered)
            await self.stream.read_until(b"!")
        self.limits.start_waiting(self, self.stream, 0.0)
        self.head = asyncio.ensure_future(self._read_head())
        await asyncio.sleep(0.01)

    async def send(self, data: bytes) -> None:
        """Sends bytes and lets the router read them."""
        self._caller.sendall(data)
        await asyncio.sleep(0.01)

    def is_open_at(self, *times_seconds: float) -> list[bool]:
        """Returns for each time whether a check leaves the connection open."""
        states = []
        for now_seconds in times_seconds:
            self.limits.close_expired(now_seconds)
            states.append(not self.stream.closed())
        return states

    def close(self) -> None:
        """Closes both ends."""
        self.stream.close()
        self._caller.close()

    async def _read_head(self) -> bytes:
        try:
            return await self.stream.read_until_regex(b"\r?\n\r?\n")
        except StreamClosedError:
            return b""


class LoweredLimitTest(testtools.TestCase):
    """Callers may not know a lower limit yet while they use a connection."""

    def test_head_that_has_begun_keeps_its_limit(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start()
            await caller.send(b"GET / HT")
            caller.limits.close_expired(1.0)
            caller.limits.update(idle_seconds=1.0, head_seconds=0.5)
            states = caller.is_open_at(2.0, 3.9, 4.1)
            caller.close()
            return states

        self.assertEqual([True, True, False], run(scenario()))

    def test_idle_connection_keeps_the_time_for_a_head_under_way(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start()
            caller.limits.update(idle_seconds=1.0, head_seconds=0.5)
            states = caller.is_open_at(2.0, 15.6, 17.9, 18.1)
            caller.close()
            return states

        self.assertEqual([True, True, True, False], run(scenario()))

    def test_limit_raised_and_lowered_between_two_checks(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start()
            caller.limits.update(idle_seconds=30.0, head_seconds=5.0)
            caller.limits.update(idle_seconds=1.0, head_seconds=0.5)
            states = caller.is_open_at(18.1, 34.9, 35.1)
            caller.close()
            return states

        self.assertEqual([True, True, False], run(scenario()))


class BlankLineTest(testtools.TestCase):
    """A line end between two requests begins no request."""

    def test_connection_with_a_line_end_has_the_idle_limit(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start()
            await caller.send(b"\r\n")
            states = caller.is_open_at(1.0, 4.1, 12.0)
            await caller.send(b"GET / HT")
            states += caller.is_open_at(12.1, 15.0, 15.2)
            caller.close()
            return states

        self.assertEqual([True] * 5 + [False], run(scenario()))

    def test_line_end_read_with_the_request_before(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start(buffered=b"\r\n")
            states = caller.is_open_at(4.1, 17.9, 18.1)
            caller.close()
            return states

        self.assertEqual([True, True, False], run(scenario()))

    def test_head_begun_with_the_request_before_has_its_limit(self) -> None:
        async def scenario() -> list[bool]:
            caller = WaitingCaller()
            await caller.start(buffered=b"GET / HT")
            states = caller.is_open_at(0.2, 3.1, 3.3)
            caller.close()
            return states

        self.assertEqual([True, True, False], run(scenario()))

    def test_head_that_is_complete_but_not_handled_is_kept(self) -> None:
        async def scenario() -> tuple[list[bool], bytes]:
            caller = WaitingCaller()
            await caller.start()
            await caller.send(b"\r\n")
            await caller.send(b"GET / HTTP/1.1\r\n\r\n")
            states = caller.is_open_at(18.1)
            head = await caller.head
            caller.close()
            return states, head

        states, head = run(scenario())
        self.assertEqual([True], states)
        self.assertEqual(b"\r\nGET / HTTP/1.1\r\n\r\n", head)
