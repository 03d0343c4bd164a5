"""Tests of new configurations beside requests in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools

from mulberrypaddle.fleet import ServingConfig
from tests.support.asynchronous import run
from tests.support.front_end_harness import (
    FrontEndHarness,
    make_config,
    request_bytes,
)
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_HEAD = b"HTTP/1.1 200 X\r\nX-Request-Id: q1\r\nX-Response-Seal: s\r\n"
_EVENT = b"f\r\nid: %d\ndata: x\n\n\r\n"
_MODEL = ("X-Model: small", "X-Token-Counts: 100,50", "X-Deadline-Ms: 3000")

# Load at which a runner of the harness looks full.
_FULL_LOAD = 100


def _without_keys() -> ServingConfig:
    """Returns a version in which all keys are withdrawn."""
    config = make_config(version=2)
    config.organisations = {}
    return config


def _without_routes() -> ServingConfig:
    """Returns a version without routes."""
    config = make_config(version=2)
    return ServingConfig(
        version=config.version,
        revision=config.revision,
        routes=(),
        services=config.services,
        limits=config.limits,
        organisations=config.organisations,
    )


def _without_services() -> ServingConfig:
    """Returns a version without routes and services."""
    config = _without_routes()
    config.services = {}
    return config


def _with_short_timeouts() -> ServingConfig:
    """Returns a version whose routes have a timeout of 10 ms."""
    config = make_config(version=2)
    for name in ("safe", "pay", "write"):
        route = config.route_for("shop.example", f"/{name}/1")
        assert route is not None
        route.timeout_seconds = 0.01
    return config


_VERSIONS = (
    _without_keys(),
    _without_routes(),
    _without_services(),
    _with_short_timeouts(),
)
_NAMES = ("no keys", "no routes", "no services", "short timeouts")


class ConfigChangeTest(testtools.TestCase):
    """A new version does not apply to what was admitted before."""

    def _assert_served(
        self,
        change: Callable[[str, ServingConfig], Coroutine[Any, Any, bytes]],
    ) -> None:
        """Checks the answers to requests of each path beside each version.

        Args:
            change: Sends a request to a path, lets a version take effect, and
                returns the answer.
        """
        for name, version in zip(_NAMES, _VERSIONS, strict=True):
            for path in ("/safe/1", "/pay/1"):
                answer = run(change(path, version))
                self.assertEqual(
                    (b"HTTP/1.1 200", True),
                    (answer[:12], answer.endswith(b"done")),
                    f"{path}, {name}",
                )

    def test_request_at_a_runner_is_answered_beside_a_new_version(
        self,
    ) -> None:
        self._assert_served(self._change_while_at_a_runner)

    async def _change_while_at_a_runner(
        self, path: str, version: ServingConfig
    ) -> bytes:
        """Returns the answer of a runner that answers after a new version."""
        harness = FrontEndHarness()

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            harness.apply_config(version)
            await asyncio.sleep(0.1)
            writer.write(_HEAD + b"Content-Length: 4\r\n\r\ndone")

        runner = RawRunner(answer)
        harness.add_runner("r0", await runner.start())
        got = await harness.send_request(path)
        harness.close()
        await runner.stop()
        return got

    def test_request_in_the_queue_is_answered_beside_a_new_version(
        self,
    ) -> None:
        self._assert_served(self._change_while_queued)

    async def _change_while_queued(
        self, path: str, version: ServingConfig
    ) -> bytes:
        """Returns the answer to a request that was queued at a new version."""
        harness = FrontEndHarness()

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_HEAD + b"Content-Length: 4\r\n\r\ndone")

        runner = RawRunner(answer)
        harness.add_runner("r0", await runner.start())
        board = harness.board
        for _ in range(_FULL_LOAD):
            board.loads.add_request("r0")
        reader, writer = await harness.connect()
        writer.write(request_bytes(path))
        await asyncio.sleep(0.05)
        self.assertEqual(1, board.in_flight_count)
        harness.apply_config(version)
        await asyncio.sleep(0.02)
        for _ in range(_FULL_LOAD):
            board.loads.remove_request("r0")
        reading = asyncio.ensure_future(reader.read())
        while not reading.done():
            # As the router does from time to time.
            board.dispatch_waiting()
            await asyncio.sleep(0.05)
        got = await reading
        writer.close()
        harness.close()
        await runner.stop()
        return got

    def test_stream_is_completed_beside_a_new_version(self) -> None:
        for name, version in zip(_NAMES, _VERSIONS, strict=True):
            for continues in (True, False):
                answer = run(self._change_within_a_stream(version, continues))
                case = f"{name}, continues={continues}"
                self.assertEqual(b"HTTP/1.1 200", answer[:12], case)
                self.assertIn(b"id: 1\n", answer, case)
                self.assertIn(b"id: 2\n", answer, case)
                self.assertTrue(answer.endswith(b"0\r\n\r\n"), case)

    async def _change_within_a_stream(
        self, version: ServingConfig, continues: bool
    ) -> bytes:
        """Returns a stream with a new version behind its first event.

        Args:
            version: The new version.
            continues: Whether the head that sent this event goes on; if not, it
                breaks off, and another head goes on.
        """
        harness = FrontEndHarness()
        for _ in range(20):
            harness.board.retries.record_first_attempt(
                "cards", harness.board.now()
            )
        sends = 0

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal sends
            sends += 1
            writer.write(_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            if sends == 1:
                writer.write(_EVENT % 1)
                await asyncio.sleep(0.05)
                harness.apply_config(version)
                await asyncio.sleep(0.05)
                if not continues:
                    writer.transport.abort()
                    return
            writer.write(_EVENT % 2 + b"0\r\n\r\n")

        runners = [RawRunner(answer) for _ in range(2)]
        for number, runner in enumerate(runners):
            harness.add_open_group(f"h{number}", await runner.start())
        got = await harness.send_request("/write/1", headers=_MODEL)
        harness.close()
        for runner in runners:
            await runner.stop()
        return got
