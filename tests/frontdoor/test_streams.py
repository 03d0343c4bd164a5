"""Tests of streams over loopback.

They cover slow, stalled and disconnected readers, and runners that fail.
"""

from __future__ import annotations

import asyncio
import json
import re
import zlib
from typing import TYPE_CHECKING, Any

import testtools
from testtools import matchers

from mulberrypaddle.controllers.stream_memory import WINDOW_BYTES
from mulberrypaddle.core import invariants
from mulberrypaddle.frontdoor.relay import Relay
from mulberrypaddle.standins.engine import EngineState, sampled_token_text
from tests.support.asynchronous import run
from tests.support.small_fleet import CALLER_KEY, SmallFleet

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_STEPS = 2_000

_OFFSET = re.compile(rb"\nid: ([0-9]+)\n")


async def until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    for _ in range(WAIT_STEPS):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise TimeoutError("the condition did not hold in time")


def completion(max_tokens: int) -> dict[str, Any]:
    """Returns the body of a request for a streamed completion."""
    return {"prompt": "a card", "max_tokens": max_tokens, "stream": True}


def make_warm(fleet: SmallFleet, runner_id: str) -> None:
    """Registers a runner that can use all its slots without a slow start."""
    stored = fleet.store.read(f"runners/{runner_id}").unwrap()
    document = json.loads(stored.value)
    document["cold_slots"] = 16
    fleet.put(f"runners/{runner_id}", json.dumps(document))


class RawReader:
    """A caller over a raw socket, which reads only in `read_all`."""

    def __init__(self, fleet: SmallFleet) -> None:
        self._fleet = fleet
        self.received = b""

    async def send(
        self, path: str, body: dict[str, Any], *, lines: str = ""
    ) -> None:
        """Connects with a small receive buffer and sends one request."""
        host, port = self._fleet.addresses[0].split(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=1024
        )
        data = json.dumps(body)
        self.writer.write(
            f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Authorization: Bearer {CALLER_KEY}\r\n{lines}"
            f"Content-Length: {len(data)}\r\n\r\n{data}".encode()
        )
        await self.writer.drain()

    async def read_all(self) -> bytes:
        """Reads to the end of the connection."""
        self.received += await self.reader.read(-1)
        return self.received


async def _first_running(fleet: SmallFleet) -> EngineState:
    """Waits for an engine to have a request in flight and returns it."""
    for _ in range(WAIT_STEPS):
        for engine in fleet.card_writers:
            if engine.running:
                return engine
        await asyncio.sleep(0.005)
    raise TimeoutError("no engine got a request in time")


COMPLETIONS = "/services/card-writer/v1/completions"


class SlowReaderTest(testtools.TestCase):
    """Readers that read slowly, not at all, or disconnect."""

    def test_slow_reader_puts_backpressure_on_the_runner(self) -> None:
        async def scenario() -> tuple[int, int, bytes]:
            async with SmallFleet() as fleet:
                fleet.engine.token_seconds = 0.0
                fleet.engine.padding_bytes = 4_000
                memory = fleet.routers[0].memory
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(2_000))
                await until(lambda: memory.charged_bytes > WINDOW_BYTES // 2)
                for _ in range(50):
                    await asyncio.sleep(0.005)
                running = len(fleet.engine.running)
                return memory.peak_bytes, running, await reader.read_all()

        peak_bytes, running, answer = run(scenario())
        self.assertThat(peak_bytes, matchers.Not(matchers.GreaterThan(65_536)))
        self.assertEqual(1, running)
        self.assertEqual(2_000, len(_OFFSET.findall(answer)))
        self.assertThat(answer, matchers.EndsWith(b"\r\n0\r\n\r\n"))

    def test_stalled_reader_is_disconnected_and_its_attempt_cancelled(
        self,
    ) -> None:
        async def scenario() -> tuple[list[str], bytes, int]:
            async with SmallFleet() as fleet:
                fleet.engine.token_seconds = 0.0
                fleet.engine.padding_bytes = 4_000
                memory = fleet.routers[0].memory
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(2_000))
                await until(lambda: memory.charged_bytes > WINDOW_BYTES // 2)
                memory.step(fleet.routers[0].context.now_seconds() + 3_600)
                await until(lambda: not fleet.engine.running)
                await until(lambda: memory.charged_bytes == 0)
                return (
                    fleet.engine.cancels,
                    await reader.read_all(),
                    memory.stalls,
                )

        cancels, answer, stalls = run(scenario())
        self.assertEqual((1, 1), (len(cancels), stalls))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_caller_disconnect_cancels_its_attempt(self) -> None:
        async def scenario() -> list[str]:
            async with SmallFleet() as fleet:
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(30_000))
                await until(lambda: bool(fleet.engine.running))
                reader.writer.close()
                await until(lambda: not fleet.engine.running)
                await until(lambda: fleet.routers[0].memory.charged_bytes == 0)
                return fleet.engine.cancels

        self.assertEqual(1, len(run(scenario())))

    def test_exhausted_memory_parks_and_resumes_streams_without_gaps(
        self,
    ) -> None:
        async def scenario() -> tuple[list[bytes], int, int, list[int]]:
            warm = SmallFleet(answer_memory_bytes=1 << 18)
            make_warm(warm, "card-writer-1")
            async with warm as fleet:
                fleet.engine.token_seconds = 0.0
                fleet.engine.padding_bytes = 4_000
                memory = fleet.routers[0].memory
                readers = [RawReader(fleet) for _ in range(8)]
                for reader in readers:
                    await reader.send(COMPLETIONS, completion(400))
                await until(lambda: memory.sheds > 0)
                answers = await asyncio.gather(
                    *(reader.read_all() for reader in readers)
                )
                return (
                    answers,
                    memory.sheds,
                    memory.peak_bytes,
                    fleet.engine.resumes,
                )

        answers, sheds, peak_bytes, resumes = run(scenario())
        self.assertThat(sheds, matchers.GreaterThan(0))
        self.assertThat(resumes, matchers.Not(matchers.HasLength(0)))
        self.assertThat(peak_bytes, matchers.LessThan((1 << 18) + 1))
        for answer in answers:
            offsets = [int(offset) for offset in _OFFSET.findall(answer)]
            self.assertEqual(list(range(400)), offsets)
            self.assertThat(answer, matchers.EndsWith(b"\r\n0\r\n\r\n"))


class BrokenRunnerTest(testtools.TestCase):
    """Runners that fail, end early, or are cancelled."""

    def test_broken_stream_resumes_at_another_runner(self) -> None:
        async def scenario() -> tuple[str, str, int]:
            async with SmallFleet(engine_count=2) as fleet:
                for engine in fleet.card_writers:
                    engine.samples_tokens = True
                    engine.token_seconds = 0.02
                call = asyncio.ensure_future(
                    fleet.call("card-writer", "/v1/completions", completion(50))
                )
                broken = await _first_running(fleet)
                broken.abort_after_tokens = 3
                answer = await call
                resumes = 0
                for engine in fleet.card_writers:
                    if engine is not broken:
                        resumes += len(engine.resumes)
                return (
                    answer.body.decode(),
                    answer.headers["X-Request-Id"],
                    resumes,
                )

        body, request_id, resumes = run(scenario())
        seed = str(zlib.crc32(request_id.encode()))
        expected = ""
        for offset in range(50):
            text = sampled_token_text("a card", offset, seed=seed, version="v1")
            data = json.dumps({"text": text})
            expected += f"id: {offset}\ndata: {data}\n\n"
        self.assertEqual(expected + "data: [DONE]\n\n", body)
        self.assertEqual(1, resumes)

    def test_runners_that_keep_failing_end_in_an_error_event(self) -> None:
        async def scenario() -> bytes:
            async with SmallFleet(engine_count=2) as fleet:
                for engine in fleet.card_writers:
                    engine.abort_after_tokens = 3
                    engine.aborts_every_stream = True
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(40))
                return await reader.read_all()

        answer = run(scenario())
        offsets = [int(offset) for offset in _OFFSET.findall(answer)]
        # Two or three attempts, depending on when the quarantine receives
        # the reports of the failures.
        self.assertIn(offsets, (list(range(6)), list(range(9))))
        self.assertThat(answer, matchers.Contains(b"event: error\n"))
        self.assertThat(answer, matchers.Contains(b'"ran": "unknown"'))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_stream_never_mixes_adapter_versions(self) -> None:
        async def scenario() -> bytes:
            async with SmallFleet(engine_count=2) as fleet:
                for number, engine in enumerate(fleet.card_writers):
                    engine.adapter_version = f"v{number}"
                fleet.card_writers[0].abort_after_tokens = 2
                fleet.card_writers[1].abort_after_tokens = 2
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(9))
                return await reader.read_all()

        answer = run(scenario())
        offsets = [int(offset) for offset in _OFFSET.findall(answer)]
        # The stream is resumed at a runner with the same version.
        self.assertEqual(list(range(9)), offsets)
        self.assertThat(answer, matchers.EndsWith(b"\r\n0\r\n\r\n"))

    def test_slow_runner_is_cancelled_at_the_deadline(self) -> None:
        async def scenario(stream: bool) -> tuple[bytes, int]:
            async with SmallFleet() as fleet:
                # The first request obtains the router's credit at the runner.
                await fleet.call(
                    "card-writer", "/v1/completions", completion(1)
                )
                fleet.engine.token_seconds = 0.02
                reader = RawReader(fleet)
                await reader.send(
                    COMPLETIONS,
                    {"prompt": "x", "max_tokens": 5_000, "stream": stream},
                    lines="Request-Timeout: 1\r\n",
                )
                answer = await reader.read_all()
                await until(lambda: bool(fleet.engine.cancels))
                return answer, len(fleet.engine.cancels)

        streamed, cancels = run(scenario(True))
        self.assertThat(streamed, matchers.Contains(b"event: error\n"))
        self.assertThat(streamed, matchers.Contains(b"deadline_passed"))
        self.assertFalse(streamed.endswith(b"0\r\n\r\n"))
        self.assertEqual(1, cancels)
        unstreamed, cancels = run(scenario(False))
        self.assertThat(unstreamed, matchers.StartsWith(b"HTTP/1.1 504 "))
        self.assertThat(unstreamed, matchers.Contains(b'"ran": "unknown"'))
        self.assertEqual(1, cancels)

    def test_stream_without_its_end_mark_is_an_error(self) -> None:
        async def scenario() -> bytes:
            async with SmallFleet() as fleet:
                fleet.engine.end_after_tokens = 2
                reader = RawReader(fleet)
                await reader.send(COMPLETIONS, completion(9))
                return await reader.read_all()

        answer = run(scenario())
        self.assertThat(answer, matchers.Contains(b"event: error\n"))
        self.assertThat(answer, matchers.Contains(b'"ran": "unknown"'))
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_undetected_early_end_violates_the_invariant(self) -> None:
        self.patch(Relay, "finish_attempt", lambda *_: None)

        async def scenario() -> int:
            async with SmallFleet() as fleet:
                before = invariants.breach_count(
                    invariants.Invariant.ANSWER_COMPLETE
                )
                fleet.engine.end_after_tokens = 2
                await fleet.call(
                    "card-writer", "/v1/completions", completion(9)
                )
                return (
                    invariants.breach_count(
                        invariants.Invariant.ANSWER_COMPLETE
                    )
                    - before
                )

        self.assertEqual(1, run(scenario()))

    def test_truncated_answer_is_retried_or_refused(self) -> None:
        async def scenario(breaks: int) -> tuple[int, dict[str, Any]]:
            async with SmallFleet() as fleet:
                fleet.engine.truncated_responses_remaining = breaks
                body = {"prompt": "a card", "max_tokens": 20}
                answer = await fleet.call(
                    "card-writer", "/v1/completions", body
                )
                return answer.code, json.loads(answer.body)

        status, body = run(scenario(1))
        self.assertEqual((200, 20), (status, body["tokens"]))
        status, body = run(scenario(99))
        self.assertEqual((502, "unknown"), (status, body["ran"]))
