"""Tests of requests that crash the runners that begin to run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.dispatch.crash_records import (
    MAX_LOST_RUNNERS,
    TRIAL_PAUSE_SECONDS,
    fingerprint,
)
from mulberrypaddle.serving.heartbeat import Heartbeat
from mulberrypaddle.serving.local_heartbeat import make_local_heartbeat
from mulberrypaddle.serving.peer import DutyStatus
from tests.serving.test_exchange import _answers, _complete_response
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio

_DONE = _complete_response(200, b"done")


def _heartbeat_of(harness: FrontEndHarness) -> Heartbeat:
    """Returns the heartbeat of a router as others decode it."""
    heartbeat = make_local_heartbeat(
        harness.board,
        duty_status=DutyStatus(),
        incarnation="p1",
        capacity=0,
        revisions={},
        known=[],
        relays={},
        now_seconds=harness.board.now(),
    )
    return Heartbeat.from_bytes(heartbeat.to_bytes())


def _apply(harness: FrontEndHarness, heartbeat: Heartbeat) -> None:
    """Applies what a heartbeat says of requests that crash runners."""
    harness.board.crashes.apply_peer_report(
        heartbeat.losses,
        {name: age / 1000 for name, age in heartbeat.cleared.items()},
        harness.board.now(),
    )


def _record_losses(
    harness: FrontEndHarness, path: str, *, ago_seconds: float
) -> None:
    """Records enough lost runners for a request to be refused."""
    at_seconds = harness.board.now() - ago_seconds
    for number in range(MAX_LOST_RUNNERS):
        harness.board.crashes.record_loss(
            fingerprint("museum", path, b""),
            (f"lost-{number}", 1),
            at_seconds=at_seconds + number / 10,
            now_seconds=at_seconds + number / 10,
        )


async def _send(harness: FrontEndHarness, path: str) -> tuple[bytes, int]:
    """Sends a request to a router with one sound runner.

    Returns:
        Start of the answer, and the number of requests at the runner.
    """
    runner = RawRunner(_answers(_DONE))
    harness.add_runner("r1", await runner.start())
    got = await harness.send_request(path)
    await runner.stop()
    return got[:12], len(runner.request_heads)


class CrashingRequestTest(testtools.TestCase):
    """A request that has crashed several runners is not sent any more."""

    def test_request_is_refused_after_routers_restarted_in_turn(self) -> None:
        async def scenario() -> list[tuple[bytes, int]]:
            routers = [FrontEndHarness()]
            _record_losses(routers[0], "/pay/1", ago_seconds=60.0)
            results = []
            for _ in range(2):
                routers.append(FrontEndHarness())
                _apply(routers[-1], _heartbeat_of(routers[-2]))
                for path in ("/pay/1", "/pay/2"):
                    results.append(await _send(routers[-1], path))
            for router in routers:
                router.close()
            return results

        refused, served = (b"HTTP/1.1 503", 0), (b"HTTP/1.1 200", 1)
        self.assertEqual([refused, served] * 2, run(scenario()))

    def test_answered_trial_ends_the_refusal_at_other_routers(self) -> None:
        async def scenario() -> list[tuple[bytes, int]]:
            first, second = FrontEndHarness(), FrontEndHarness()
            ago_seconds = TRIAL_PAUSE_SECONDS + 1.0
            _record_losses(first, "/pay/1", ago_seconds=ago_seconds)
            _apply(second, _heartbeat_of(first))
            results = [await _send(second, "/pay/1")]
            first.board.crashes.may_try = True
            results.append(await _send(first, "/pay/1"))
            _apply(second, _heartbeat_of(first))
            results.append(await _send(second, "/pay/1"))
            for router in (first, second):
                router.close()
            return results

        refused, served = (b"HTTP/1.1 503", 0), (b"HTTP/1.1 200", 1)
        self.assertEqual([refused, served, served], run(scenario()))

    def test_request_is_not_repeated_once_it_is_known_to_crash(self) -> None:
        async def scenario() -> tuple[bytes, int]:
            harness = FrontEndHarness()

            async def crash(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                _record_losses(harness, "/safe/1", ago_seconds=1.0)
                writer.transport.abort()

            runner = RawRunner(crash)
            address = await runner.start()
            for number in range(2):
                harness.add_runner(f"r{number}", address)
            # The retry budget of a new process allows no second attempt.
            for _ in range(20):
                harness.board.retries.record_first_attempt(
                    "stock", harness.board.now()
                )
            got = await harness.send_request("/safe/1")
            harness.close()
            await runner.stop()
            return got[:12], len(runner.request_heads)

        self.assertEqual((b"HTTP/1.1 502", 1), run(scenario()))
