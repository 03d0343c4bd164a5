"""Tests that a graceful stop aborts no request in flight."""

from __future__ import annotations

import asyncio
import json

import testtools
from testtools import matchers

from mulberrypaddle.core import invariants
from tests.frontdoor.test_streams import completion, until
from tests.support.asynchronous import run
from tests.support.small_fleet import SmallFleet


class StopTest(testtools.TestCase):
    """Stops of a router while a stream is in flight."""

    def test_stream_in_flight_completes_and_new_requests_are_refused(
        self,
    ) -> None:
        async def scenario() -> tuple[bytes, int, dict[str, str], int]:
            async with SmallFleet() as fleet:
                fleet.engine.token_seconds = 0.01
                stream = asyncio.ensure_future(
                    fleet.call("card-writer", "/v1/completions", completion(40))
                )
                await until(lambda: bool(fleet.engine.running))
                stop = asyncio.ensure_future(fleet.routers[0].stop())
                await asyncio.sleep(0)
                refused = await fleet.call(
                    "card-writer", "/v1/completions", completion(1)
                )
                ready = await fleet.fetch("GET", "/readyz")
                answer = await stream
                await stop
                fleet.routers.clear()
                return (
                    answer.body,
                    refused.code,
                    json.loads(refused.body),
                    ready.code,
                )

        answer, refused, problem, ready = run(scenario())
        self.assertThat(answer, matchers.EndsWith(b"data: [DONE]\n\n"))
        self.assertThat(answer, matchers.Contains(b"id: 39\n"))
        self.assertEqual((503, 503), (refused, ready))
        self.assertEqual(
            ("shutting_down", "not run"), (problem["title"], problem["ran"])
        )

    def test_request_in_flight_is_answered_when_the_stop_times_out(
        self,
    ) -> None:
        async def scenario() -> tuple[int, dict[str, str]]:
            async with SmallFleet(stop_seconds=0.3) as fleet:
                # No answer begins while the router stops.
                fleet.engine.token_seconds = 30.0
                request = asyncio.ensure_future(
                    fleet.call("card-writer", "/v1/completions", completion(1))
                )
                await until(lambda: bool(fleet.engine.running))
                router = fleet.routers[0]
                router.door.stop_accepting()
                # An unfinished request is still a breach of the invariant.
                with self.assertRaises(invariants.InvariantBreachError):
                    await router.door.wait_until_idle(timeout_seconds=0.3)
                await router.close_connections()
                answer = await asyncio.wait_for(request, 5.0)
                await until(lambda: not fleet.engine.running)
                return answer.code, json.loads(answer.body)

        status, problem = run(scenario())
        self.assertEqual(504, status)
        self.assertEqual(
            ("deadline_passed", "unknown"), (problem["title"], problem["ran"])
        )

    def test_stop_without_waiting_violates_the_invariant(self) -> None:
        async def scenario() -> int:
            async with SmallFleet(stop_seconds=0.0) as fleet:
                fleet.engine.token_seconds = 0.01
                stream = asyncio.ensure_future(
                    fleet.call("card-writer", "/v1/completions", completion(40))
                )
                await until(lambda: bool(fleet.engine.running))
                door = fleet.routers[0].door
                try:
                    await door.wait_until_idle(timeout_seconds=0.0)
                except invariants.InvariantBreachError:
                    breached = 1
                else:
                    breached = 0
                await stream
                return breached

        self.assertEqual(1, run(scenario()))
