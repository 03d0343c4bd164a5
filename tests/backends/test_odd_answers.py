"""Answers of other services that have another form than expected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools
from returns.result import Failure

from mulberrypaddle.backends.http_object_store import HttpObjectStore
from mulberrypaddle.backends.http_runner import HttpRunnerClient
from mulberrypaddle.backends.vm_agents import HttpVmAgents
from mulberrypaddle.backends.vm_list import HttpVmList
from mulberrypaddle.backends.weight_store import HttpWeightStore
from mulberrypaddle.blackboard.intents import SendVmOrder
from mulberrypaddle.core.fleet import Runner, ServiceKind
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

_ODD_BODIES = (
    b"{",
    b"\xff",
    b"[" * 50_000 + b"]" * 50_000,
    b'{"version": ' + b"9" * 5_000 + b"}",
    b"[]",
    b"null",
    b'"text"',
    b"7",
    b'{"vms": 7, "objects": 7}',
    b'{"generation": Infinity, "expires_seconds": NaN}',
    b'{"generation": true, "expires_seconds": "9"}',
    b'{"key": "k", "value": "\xc3\xa9", "version": 1}',
    b'{"key": "k", "value": "YQ==", "version": 1e999}',
    b'{"incarnation": "a", "uptime_seconds": Infinity,'
    b' "running_requests": 1, "held_tokens": 1}',
    b'{"incarnation": "a", "uptime_seconds": 1.0,'
    b' "running_requests": %s, "held_tokens": 1}' % (b"9" * 400),
)


class OddAnswerTest(testtools.TestCase):
    """Each client fails with a problem, whatever the answer is."""

    def _check(self, call: Callable[[str], Awaitable[Any]]) -> None:
        """Makes a call for each odd body, with the address that answers."""

        async def scenario(status: int, body: bytes) -> Any:
            async def answer(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                head = (
                    f"HTTP/1.1 {status} X\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)

            runner = RawRunner(answer)
            try:
                return await call(await runner.start())
            finally:
                await runner.stop()

        for status in (200, 409, 503):
            for body in _ODD_BODIES:
                self.assertIsInstance(run(scenario(status, body)), Failure)

    def test_object_store(self) -> None:
        async def read(address: str) -> Any:
            return await HttpObjectStore(address).read("k")

        async def list_all(address: str) -> Any:
            return await HttpObjectStore(address).list("k")

        async def write(address: str) -> Any:
            return await HttpObjectStore(address).write(
                "k", b"v", expected_version=1
            )

        for call in (read, list_all, write):
            self._check(call)

    def test_list_of_vms(self) -> None:
        async def read(address: str) -> Any:
            return await HttpVmList(address).read(3)

        self._check(read)

    def test_agents_on_vms(self) -> None:
        async def report(address: str) -> Any:
            return await HttpVmAgents().report(address)

        async def order(address: str) -> Any:
            intent = mock.create_autospec(
                SendVmOrder, instance=True, address=address
            )
            intent.order.value = "leave"
            intent.group_id, intent.argument = "g", ""
            intent.generation, intent.fencing, intent.vm_ids = 1, 1, ()
            return await HttpVmAgents().order(intent)

        for call in (report, order):
            self._check(call)

    def test_weight_store(self) -> None:
        async def reserve(address: str) -> Any:
            return await HttpWeightStore(address).reserve("l", model="m")

        self._check(reserve)

    def test_report_of_a_runner(self) -> None:
        async def report(address: str) -> Any:
            runner = Runner(
                "r",
                service="s",
                kind=ServiceKind.PLAIN,
                address=address,
                data_centre="a",
                slots=1,
                cold_slots=1,
            )
            return await HttpRunnerClient().report(runner)

        self._check(report)
