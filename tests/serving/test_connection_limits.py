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

    async def start(self) -> None:
        """Begins to wait for a head, at time 0."""
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
