"""Tests that callers are told "has not run" only of requests that have not.

Callers of requests that must not run twice send them again after the statuses
408, 421, 429 and 503.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from testtools.matchers import Contains, Equals, Not

from mulberrypaddle.serving.header_codec import NOT_RUN_STATUSES
from tests.serving.test_exchange import (
    _MODEL,
    _STREAM_HEAD,
    _complete_response,
    _event,
)
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio

_NOT_EXECUTED = b"X-Not-Executed: 1\r\n"
_RETRY_AFTER = b"Retry-After: 0.1\r\n"

# What the runners answer before the answer that is tested, by name.
_EARLIER_ANSWERS = {
    "first": (),
    "after a refusal": (_complete_response(503, b"", _NOT_EXECUTED),),
    "after a lost answer": (b"",),
    "after a begun stream": (_STREAM_HEAD + _event(1),),
}


async def _send_to_runners(
    path: str, answers: tuple[bytes, ...], headers: tuple[str, ...]
) -> tuple[int, int]:
    """Sends a request to a router with two runners or heads of groups.

    Args:
        path: Path of the request.
        answers: What the runners send to its attempts, whichever they go to;
            the last one also to all further attempts. Connections are closed
            after each.
        headers: Headers of the request, besides the usual ones.

    Returns:
        The status that the caller got, and the number of attempts.
    """
    attempts = 0

    async def answer(
        count: int, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal attempts
        writer.write(answers[min(attempts, len(answers) - 1)])
        attempts += 1
        await writer.drain()
        writer.close()

    harness = FrontEndHarness()
    runners = [RawRunner(answer), RawRunner(answer)]
    for number, runner in enumerate(runners):
        address = await runner.start()
        if path.startswith("/write/"):
            harness.add_open_group(f"h{number}", address)
        else:
            harness.add_runner(f"r{number}", address)
    for service in ("stock", "cards"):
        for _ in range(50):
            harness.board.retries.record_first_attempt(
                service, harness.board.now()
            )
    got = await harness.send_request(path, headers=headers)
    harness.close()
    for runner in runners:
        await runner.stop()
    return int(got.split(b" ", 2)[1]), attempts


class TrueRefusalTest(testtools.TestCase):
    """Statuses that promise "not run" need the runner's statement."""

    def test_order_that_ran_and_failed_with_429_is_not_refused(self) -> None:
        for status in (408, 429, 503):
            for extra in (b"", _RETRY_AFTER):
                answer = _complete_response(status, b"busy", extra)
                got, attempts = run(_send_to_runners("/pay/1", (answer,), ()))
                self.expectThat((got, attempts), Equals((502, 1)), f"{status}")

    def test_request_that_may_have_run_is_never_refused(self) -> None:
        for path in ("/safe/1", "/pay/1", "/write/1"):
            headers: tuple[str, ...] = ("X-Deadline-Ms: 700",)
            if path == "/write/1":
                headers = (*_MODEL[:2], *headers)
            for resumed in ((), ("Last-Event-Id: 3",)):
                for name, earlier in _EARLIER_ANSWERS.items():
                    for status in (408, 429, 503):
                        answers = (*earlier, _complete_response(status, b"x"))
                        got, attempts = run(
                            _send_to_runners(
                                path, answers, (*headers, *resumed)
                            )
                        )
                        self.expectThat(
                            NOT_RUN_STATUSES,
                            Not(Contains(got)),
                            f"{path} {resumed} {name} {status} {attempts}",
                        )

    def test_statement_that_a_request_has_not_run_is_passed_on(self) -> None:
        for status in NOT_RUN_STATUSES:
            answer = _complete_response(status, b"", _NOT_EXECUTED)
            got, attempts = run(
                _send_to_runners("/pay/1", (answer,), ("X-Deadline-Ms: 400",))
            )
            # A router that repeats such a request until its time is up may say
            # so instead.
            self.expectThat((503, 504), Contains(got), f"{status}")
            self.assertTrue(attempts > 1)

    def test_other_errors_of_a_runner_reach_the_caller(self) -> None:
        for status in (400, 404, 409, 500, 504):
            answer = _complete_response(status, b"no")
            got, _ = run(_send_to_runners("/pay/1", (answer,), ()))
            self.expectThat(got, Equals(status))
