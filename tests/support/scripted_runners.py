"""Sends a request to a router whose runners write given bytes as answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    import asyncio


class RoutedAnswer:
    """What became of one request.

    Attributes:
        got: Bytes that the caller received.
        requests: Requests that runners received.
        reports: Losses of runners that the crash records would report if the
            runners were gone.
    """

    __slots__ = ("got", "reports", "requests")

    def __init__(
        self, got: bytes, requests: list[bytes], reports: dict[str, list[str]]
    ) -> None:
        self.got = got
        self.requests = requests
        self.reports = reports


def send_to_runners(
    path: str,
    *answers: bytes,
    method: str = "POST",
    headers: tuple[str, ...] = (),
    before: bytes | None = None,
    closes: bool = True,
) -> RoutedAnswer:
    """Sends a request to three runners that share a list of answers.

    Args:
        path: Path of the request.
        *answers: Answers in order of arrival; then connections are closed.
        method: HTTP method.
        headers: Further headers of the request.
        before: Answer to a request that is sent before, over a connection that
            is kept; None for no such request.
        closes: Whether runners close the connection behind an answer.
    """

    async def scenario() -> RoutedAnswer:
        harness = FrontEndHarness()
        service = "cards" if path.startswith("/write/") else "stock"
        for _ in range(100):
            # The retry budget of a new process allows no second attempt.
            harness.board.retries.record_first_attempt(
                service, harness.board.now()
            )
        left = list(answers) if before is None else [before, *answers]
        requests: list[bytes] = []

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            requests.append(request)
            if not left:
                writer.close()
                return
            is_before = len(left) > len(answers)
            writer.write(left.pop(0))
            await writer.drain()
            if closes and not is_before:
                writer.close()

        runners = []
        for number in range(3):
            runner = RawRunner(answer)
            address = await runner.start()
            if service == "cards":
                harness.add_open_group(f"h{number}", address)
            else:
                harness.add_runner(f"r{number}", address)
            runners.append(runner)
        if before is not None:
            await harness.send_request(path, method=method)
            requests.clear()
        got = await harness.send_request(path, method=method, headers=headers)
        now = harness.board.now()
        harness.board.crashes.confirm_crashes(set(), now)
        reports = harness.board.crashes.loss_reports(now)
        harness.close()
        for runner in runners:
            await runner.stop()
        return RoutedAnswer(got, requests, reports)

    return run(scenario())
