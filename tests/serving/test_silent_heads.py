"""Streams that left a head for its silence and find no other one at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.dispatch import stalls, wait_decision
from mulberrypaddle.serving.announcements import record_leaving
from tests.serving.test_exchange import (
    _MODEL,
    _STREAM_END,
    _STREAM_HEAD,
    _complete_response,
    _event,
)
from tests.support.asynchronous import run
from tests.support.front_end_harness import FrontEndHarness
from tests.support.raw_runner import RawRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.serving.blackboard import Blackboard

_HEADS = ("h0", "h1")
# Time for which a head that falls silent holds its connection, in seconds.
_SILENCE_SECONDS = 3.0


class SilentHeadTest(testtools.TestCase):
    """One of two heads falls silent, and the other refuses the stream."""

    def _send_request(
        self,
        *,
        pause: bytes = b"",
        sends_event: bool = True,
        first_attempts: int = 100,
        prepare: Callable[[Blackboard], None] | None = None,
        on_refusal: Callable[[Blackboard], None] | None = None,
    ) -> tuple[bytes, int]:
        """Requests a stream; the third attempt at it would complete it.

        Args:
            pause: Header of the refusal that asks for a pause.
            sends_event: Whether the first head sends an event before it falls
                silent.
            first_attempts: Number of earlier requests, which decides on the
                retry budget.
            prepare: Called before the request.
            on_refusal: Called before the second head refuses.

        Returns:
            The bytes that the caller received, and the number of attempts.
        """

        async def scenario() -> tuple[bytes, int]:
            path = FrontEndHarness()
            board = path.board
            _add_first_attempts(board, first_attempts)
            attempts = 0

            async def answer(
                count: int, request: bytes, writer: asyncio.StreamWriter
            ) -> None:
                nonlocal attempts
                attempts += 1
                if attempts == 1:
                    if sends_event:
                        writer.write(_STREAM_HEAD + _event(1))
                        await writer.drain()
                    await asyncio.sleep(_SILENCE_SECONDS)
                elif attempts == 2:
                    if on_refusal is not None:
                        on_refusal(board)
                    writer.write(
                        _complete_response(
                            503, b"", b"X-Not-Executed: 1\r\n" + pause
                        )
                    )
                else:
                    writer.write(_STREAM_HEAD + _event(2) + _STREAM_END)

            runners = []
            for name in _HEADS:
                runner = RawRunner(answer)
                path.add_open_group(name, await runner.start())
                runners.append(runner)
            if prepare is not None:
                prepare(board)
            got = await path.send_request("/write/1", headers=_MODEL)
            path.close()
            for runner in runners:
                await runner.stop()
            return got, attempts

        self.patch(stalls, "STALL_SECONDS", 0.2)
        self.patch(stalls, "FIRST_EVENT_STALL_SECONDS", 0.2)
        return run(scenario())

    def _assert_complete(self, got: bytes, attempts: int) -> None:
        """Asserts that the third attempt has completed the stream."""
        self.assertEqual(3, attempts, got)
        for number in (1, 2):
            self.assertEqual(1, got.count(b"id: %d\n" % number), got)
        self.assertTrue(got.endswith(_STREAM_END), got)

    def test_stream_awaits_a_silent_head_if_the_others_ask_for_a_pause(
        self,
    ) -> None:
        got, attempts = self._send_request(pause=b"Retry-After: 9\r\n")
        self._assert_complete(got, attempts)

    def test_stream_returns_to_a_head_that_other_routers_call_silent(
        self,
    ) -> None:
        def report_silence(board: Blackboard) -> None:
            board.runner_health.apply_peer_report(
                failing=(), silent=_HEADS, now_seconds=board.now()
            )
            board.loop.call_later(0.1, report_silence, board)

        got, attempts = self._send_request(
            pause=b"Retry-After: 9\r\n", prepare=report_silence
        )
        self._assert_complete(got, attempts)

    def test_stream_outlives_a_silent_head_that_leaves_and_a_paused_one(
        self,
    ) -> None:
        # The pause is longer than the stream would wait in a queue.
        self.patch(wait_decision, "FIRST_EVENT_RESERVE_SECONDS", 1.5)

        def announce_leaving(board: Blackboard) -> None:
            for name in _HEADS:
                entry = board.view.get(name)
                if entry is not None and not board.loads.total(name):
                    record_leaving(board, entry.incarnation, source="answer")

        got, attempts = self._send_request(
            pause=b"Retry-After: 1\r\n", on_refusal=announce_leaving
        )
        self._assert_complete(got, attempts)

    def test_stream_that_left_a_silent_head_waits_for_the_retry_budget(
        self,
    ) -> None:
        def refill_budget_later(board: Blackboard) -> None:
            board.loop.call_later(1.2, _add_first_attempts, board, 100)

        got, attempts = self._send_request(
            first_attempts=15, on_refusal=refill_budget_later
        )
        self._assert_complete(got, attempts)

    def test_request_without_events_does_not_wait_for_the_retry_budget(
        self,
    ) -> None:
        got, attempts = self._send_request(sends_event=False, first_attempts=15)
        self.assertEqual(2, attempts, got)
        self.assertTrue(got.startswith(b"HTTP/1.1 502"), got)


def _add_first_attempts(board: Blackboard, count: int) -> None:
    """Records first attempts, which raise the retry budget."""
    for _ in range(count):
        board.retries.record_first_attempt("cards", board.now())
