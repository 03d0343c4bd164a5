"""Tests of requests through one router, from caller to runner and back."""

from __future__ import annotations

import json
import random
import time

import testtools
from testtools import matchers

from tests.support.asynchronous import run
from tests.support.claims_fleet import uuid7
from tests.support.small_fleet import SmallFleet


class EndToEndTest(testtools.TestCase):
    """Requests through a real router over HTTP."""

    def test_streams_a_complete_answer(self) -> None:
        async def scenario() -> tuple[int, str]:
            async with SmallFleet() as fleet:
                answer = await fleet.call(
                    "card-writer",
                    "/v1/completions",
                    {"prompt": "a card", "max_tokens": 3, "stream": True},
                )
                return answer.code, answer.body.decode()

        status, body = run(scenario())
        self.assertEqual(200, status)
        self.assertThat(body, matchers.Contains('id: 2\ndata: {"text": "a2 "}'))
        self.assertThat(body, matchers.EndsWith("data: [DONE]\n\n"))

    def test_unknown_bearer_key_is_refused_as_not_run(self) -> None:
        async def scenario() -> tuple[int, str]:
            async with SmallFleet() as fleet:
                answer = await fleet.call(
                    "card-writer", "/v1/completions", {}, key="wrong"
                )
                self.assertEqual({}, fleet.engine.runs)
                return answer.code, json.loads(answer.body)["ran"]

        self.assertEqual((401, "not run"), run(scenario()))

    def test_broken_stream_never_ends_cleanly(self) -> None:
        async def scenario() -> tuple[int, str]:
            async with SmallFleet() as fleet:
                fleet.engine.abort_after_tokens = 2
                answer = await fleet.call(
                    "card-writer",
                    "/v1/completions",
                    {"prompt": "a card", "max_tokens": 9, "stream": True},
                )
                return answer.code, (answer.body or b"").decode()

        status, body = run(scenario())
        complete = "id: 8\n" in body and body.endswith("data: [DONE]\n\n")
        self.assertTrue(complete or status == 599, (status, body))

    def test_resent_order_runs_once(self) -> None:
        key = uuid7(time.time(), random.Random(1))

        async def scenario() -> tuple[int, int, bool]:
            async with SmallFleet() as fleet:
                answers = []
                for _ in range(2):
                    answers.append(
                        await fleet.call(
                            "shop-counter",
                            "/orders",
                            {"print": 1},
                            headers={"Idempotency-Key": key},
                        )
                    )
                same = answers[0].body == answers[1].body
                runs = fleet.plain.runs
                return len(runs), sum(runs.values()), same

        self.assertEqual((1, 1, True), run(scenario()))

    def test_order_with_an_invalid_key_is_not_run(self) -> None:
        async def scenario() -> tuple[int, str, int]:
            async with SmallFleet() as fleet:
                answer = await fleet.call(
                    "shop-counter",
                    "/orders",
                    {"print": 1},
                    headers={"Idempotency-Key": "order-1"},
                )
                ran = json.loads(answer.body)["ran"]
                return answer.code, ran, len(fleet.plain.runs)

        self.assertEqual((400, "not run", 0), run(scenario()))
