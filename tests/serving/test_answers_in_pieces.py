"""Answers that arrive in pieces, however they are cut.

The heads of sound answers must be found whole, over new connections and over
kept ones, and heads with joined lines must be told from them.
"""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import testtools

from mulberrypaddle.backends.answer_bytes import AnswerBytes
from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.serving.runner_call import CallOutcome
from tests.serving.test_runner_call import _call
from tests.support.asynchronous import run
from tests.support.raw_runner import RawRunner

_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-A: 1\r\n"

_ANSWERS_PER_RUN = 40


def _chunked(body: bytes, rng: random.Random) -> bytes:
    """Returns a body in chunks of several sizes."""
    parts = []
    while body:
        size = rng.choice((1, 7, 600, 20_000))
        part, body = body[:size], body[size:]
        parts.append(b"%x;note=1\r\n%s\r\n" % (len(part), part))
    return b"".join(parts) + b"0\r\nX-Trailer: 1\r\n\r\n"


def _make_answer(rng: random.Random, *, joined: bool) -> tuple[bytes, bytes]:
    """Returns an answer whose end is marked, and its body.

    Args:
        rng: Chooses its form.
        joined: Whether a line of the head begins with a blank.
    """
    body = rng.randbytes(rng.choice((0, 1, 600, 15_000, 70_000)))
    head = _INTERIM * rng.choice((0, 0, 2)) + _HEAD
    if joined:
        head += rng.choice((b" ", b"\t", b"  ")) + b"X-B: 2\r\n"
    if rng.random() < 0.5:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body, body
    coding = b"Transfer-Encoding: chunked\r\n\r\n"
    return head + coding + _chunked(body, rng), body


async def _write_in_pieces(
    writer: asyncio.StreamWriter, data: bytes, rng: random.Random
) -> None:
    """Writes bytes in up to eight parts, mostly each in a packet of its own."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(8)))
    start = 0
    for end in (*cuts, len(data)):
        writer.write(data[start:end])
        await writer.drain()
        await asyncio.sleep(rng.choice((0, 0, 0.002)))
        start = end


class PiecesTest(testtools.TestCase):
    """The outcome of a call doesn't depend on how its answer was cut."""

    def _call_all(
        self, seed: int, *, joined: bool
    ) -> list[tuple[CallOutcome, bool, bool]]:
        """Calls a runner many times, mostly over kept connections.

        Returns:
            For each call its outcome, whether its body is that of the answer,
            and whether its connection could be counted.
        """
        rng = random.Random(seed)
        answers = [
            _make_answer(rng, joined=joined) for _ in range(_ANSWERS_PER_RUN)
        ]

        async def answer(
            count: int, request: bytes, writer: asyncio.StreamWriter
        ) -> None:
            await _write_in_pieces(writer, answers[count - 1][0], rng)

        async def scenario() -> list[tuple[CallOutcome, bool, bool]]:
            runner = RawRunner(answer)
            address = await runner.start()
            client = make_client()
            results = []
            for number in range(_ANSWERS_PER_RUN):
                outcome, received, call = await _call(
                    client, address, uses_kept_connection=number % 5 > 0
                )
                body_is_whole = received.body == answers[number][1]
                counts = call._answer_bytes
                results.append(
                    (outcome, body_is_whole, counts._before_bytes is not None)
                )
            client.close()
            await runner.stop()
            return results

        return run(scenario())

    def test_sound_answers_are_complete(self) -> None:
        for seed in range(5):
            results = self._call_all(seed, joined=False)
            self.assertEqual({(CallOutcome.COMPLETE, True, True)}, set(results))

    def test_joined_lines_are_no_answer(self) -> None:
        for seed in range(5):
            for outcome, _, _ in self._call_all(seed, joined=True):
                self.assertIs(CallOutcome.BROKEN, outcome)

    def test_answers_are_complete_where_nothing_is_counted(self) -> None:
        # Other kernels don't tell how many bytes a connection received.
        with mock.patch.object(AnswerBytes, "start"):
            results = self._call_all(1, joined=False)
        self.assertEqual({(CallOutcome.COMPLETE, True, False)}, set(results))
