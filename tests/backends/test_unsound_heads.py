"""Answers with unsound heads at the clients of the product's own interface."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals

from mulberrypaddle.backends.http_object_store import HttpObjectStore
from mulberrypaddle.backends.json_http_client import JsonHttpClient
from mulberrypaddle.cli.client import OperatorClient
from mulberrypaddle.core.errors import ErrorKind, Ran
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.core.request import AttemptState
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner, closing_after
from tests.support.response_heads import (
    LENGTH,
    SOUND_CODINGS,
    SOUND_HEADS,
    UNSOUND_HEADS,
    UNSOUND_STATUSES,
    make_answer,
)
from tests.support.runner_answers import call_runner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_OBJECT = {"key": "k", "value": "YQ==", "version": 1}


def _unsound_answers(status: int, body: bytes) -> list[tuple[str, bytes]]:
    """Returns answers with a status and a body that must not be believed."""
    line = b"HTTP/1.1 %d X" % status
    answers = [
        (reason, make_answer(lines, status_line=line, body=body))
        for reason, lines in UNSOUND_HEADS.items()
    ]
    for other in (*UNSOUND_STATUSES, b"%d0" % status):
        line = b"HTTP/1.1 " + other + b" X"
        answers.append(
            (repr(other), make_answer(LENGTH, status_line=line, body=body))
        )
    return answers


class RunnerTest(testtools.TestCase):
    """Such an answer of a runner is none; the request may have run."""

    def test_unsound_heads(self) -> None:
        for status in (200, 409, 500):
            for reason, answer in _unsound_answers(status, b"broken disk"):
                result, statuses = call_runner(answer)
                self.assertIsInstance(result, Failure, reason)
                self.expectThat(statuses, Equals([]), reason)
                self.expectThat(
                    result.failure().state,
                    Equals(AttemptState.MAYBE_RUN),
                    reason,
                )

    def test_refusal_of_an_engine_is_not_believed(self) -> None:
        body = json.dumps({"ran": Ran.NOT_RUN.value}).encode()
        sound = make_answer(LENGTH, status_line=b"HTTP/1.1 503 X", body=body)
        result, _ = call_runner(sound, kind=ServiceKind.ENGINE)
        self.assertIs(AttemptState.REFUSED, result.failure().state)
        for reason, answer in _unsound_answers(503, body):
            result, _ = call_runner(answer, kind=ServiceKind.ENGINE)
            self.expectThat(
                result.failure().state, Equals(AttemptState.MAYBE_RUN), reason
            )

    def test_rare_heads_that_are_sound_are_answers(self) -> None:
        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            result, statuses = call_runner(make_answer(lines))
            if reason == "no length":
                # This interface asks for a length or chunks.
                self.expectThat(statuses, Equals([]))
                continue
            self.expectThat(statuses, Equals([200]), reason)
            self.expectThat(isinstance(result, Success), Equals(True), reason)


class OtherClientTest(testtools.TestCase):
    """Reads fail, and it isn't known whether writes took effect."""

    def _check(
        self,
        call: Callable[[str], Awaitable[Any]],
        kind: ErrorKind,
        *statuses: int,
    ) -> None:
        async def scenario(answer: bytes) -> Any:
            server = RawRunner(closing_after(answer))
            try:
                return await call(await server.start())
            finally:
                await server.stop()

        body = json.dumps(_OBJECT).encode()
        sound = run(scenario(make_answer(LENGTH, body=body)))
        self.assertIsInstance(sound, Success)
        for status in statuses:
            for reason, answer in _unsound_answers(status, body):
                result = run(scenario(answer))
                self.assertIsInstance(result, Failure, reason)
                self.expectThat(
                    result.failure().kind, Equals(kind), f"{status} {reason}"
                )

    def test_reads_of_the_object_store(self) -> None:
        self._check(
            lambda address: HttpObjectStore(address).read("k"),
            ErrorKind.STORE_UNAVAILABLE,
            200,
        )

    def test_writes_to_the_object_store(self) -> None:
        # The others would mean that nothing was written.
        self._check(
            lambda address: HttpObjectStore(address).write(
                "k", b"v", expected_version=1
            ),
            ErrorKind.OUTCOME_UNKNOWN,
            200,
            409,
            413,
            503,
        )

    def test_vms_and_the_platform(self) -> None:
        self._check(
            lambda address: JsonHttpClient(timeout_seconds=2.0).call(
                "POST", f"http://{address}/v1/order", {}
            ),
            ErrorKind.OUTCOME_UNKNOWN,
            200,
            409,
            429,
            503,
        )

    def test_operator(self) -> None:
        # The client runs an event loop of its own.
        self._check(
            lambda address: asyncio.to_thread(
                OperatorClient((address,), "key").put,
                "documents/a",
                "text",
                expected_version=1,
            ),
            ErrorKind.PEER_UNREACHABLE,
            200,
            409,
        )
