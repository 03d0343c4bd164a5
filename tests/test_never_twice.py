"""Tests of requests that must run at most once, over three real routers."""

from __future__ import annotations

import json
import random
import time

import testtools

from tests.support.asynchronous import run
from tests.support.claims_fleet import uuid7
from tests.support.small_fleet import SmallFleet

ROUTERS = 3


async def _order(fleet: SmallFleet, router: int, key: str) -> tuple[int, bytes]:
    """Sends an order through one router; returns its status and body."""
    answer = await fleet.call(
        "shop-counter",
        "/orders",
        {"print": 1},
        router=router,
        headers={"Idempotency-Key": key},
    )
    return answer.code, answer.body or b""


class NeverTwiceTest(testtools.TestCase):
    """A request is resent with the same key through every router."""

    def test_resend_through_every_router_runs_once(self) -> None:
        rng = random.Random(1)
        keys = [uuid7(time.time(), rng) for _ in range(6)]

        async def scenario() -> int:
            async with SmallFleet(router_count=ROUTERS) as fleet:
                for index, key in enumerate(keys):
                    first = await _order(fleet, index % ROUTERS, key)
                    self.assertEqual(200, first[0], first)
                    for router in range(ROUTERS):
                        again = await _order(fleet, router, key)
                        self.assertIn(
                            json.loads(again[1]).get("ran", "ran"),
                            ("ran", "unknown"),
                        )
                return sum(fleet.plain.runs.values())

        self.assertEqual(len(keys), run(scenario()))

    def test_request_during_a_store_outage_is_not_run(self) -> None:
        key = uuid7(time.time(), random.Random(2))

        async def scenario() -> tuple[str, int, int]:
            async with SmallFleet(router_count=ROUTERS) as fleet:
                fleet.store.down = True
                refused = await _order(fleet, 0, key)
                ran = json.loads(refused[1])["ran"]
                runs = sum(fleet.plain.runs.values())
                fleet.store.down = False
                status = 0
                for _ in range(10):
                    status, _ = await _order(fleet, 1, key)
                    if status == 200:
                        break
                return ran, runs, sum(fleet.plain.runs.values())

        self.assertEqual(("not run", 0, 1), run(scenario()))
