"""Answers whose length is a number, but smaller than their body.

The head doesn't show it; the bytes behind the length do.
"""

from __future__ import annotations

import testtools
from testtools.matchers import Contains, Equals, Not

from tests.serving.test_exchange import (
    _HEAD,
    _MODEL,
    _STREAM_END,
    _STREAM_HEAD,
    _complete_response,
    _event,
)
from tests.support.response_heads import BODY, LENGTH, make_answer
from tests.support.scripted_runners import send_to_runners

_DONE = _complete_response(200, b"done")
_KEEP_ALIVE = b"Keep-Alive: timeout=5\r\n"

# Lengths that a runner may give for `BODY`.
_SHORT_LENGTHS = (0, 1, 3, len(BODY) - 1)


def _short_answer(
    length: int, *, status_line: bytes = b"HTTP/1.1 200 X", more: bytes = b""
) -> bytes:
    """Returns an answer that is sound but for its length.

    Args:
        length: Length of the body, as the head gives it.
        status_line: First line of the head.
        more: Further lines of the head.
    """
    lines = more + b"Content-Length: %d\r\n" % length
    return make_answer(lines, status_line=status_line)


class PlainTest(testtools.TestCase):
    """Guards against a part of a body that is passed on as the whole."""

    def test_request_that_may_not_be_repeated_gets_502(self) -> None:
        for length in _SHORT_LENGTHS:
            for method in ("POST", "GET"):
                for closes in (True, False):
                    answered = send_to_runners(
                        "/pay/1",
                        _short_answer(length),
                        method=method,
                        closes=closes,
                    )
                    self.expectThat(
                        answered.got[:12], Equals(b"HTTP/1.1 502"), str(length)
                    )
                    self.expectThat(len(answered.requests), Equals(1))

    def test_request_that_may_be_repeated_goes_to_another_runner(self) -> None:
        for length in _SHORT_LENGTHS:
            for closes in (True, False):
                answered = send_to_runners(
                    "/safe/1", _short_answer(length), _DONE, closes=closes
                )
                self.expectThat(answered.got[-4:], Equals(b"done"), str(length))
                self.expectThat(len(answered.requests), Equals(2))

    def test_over_a_kept_connection(self) -> None:
        kept = _complete_response(200, b"kept", _KEEP_ALIVE)
        for length in _SHORT_LENGTHS:
            for closes in (True, False):
                answered = send_to_runners(
                    "/safe/1",
                    _short_answer(length, more=_KEEP_ALIVE),
                    _DONE,
                    before=kept,
                    closes=closes,
                )
                self.expectThat(answered.got[-4:], Equals(b"done"), str(length))

    def test_body_behind_a_status_without_one(self) -> None:
        answered = send_to_runners(
            "/pay/1", make_answer(LENGTH, status_line=b"HTTP/1.1 204 X")
        )
        self.assertEqual(b"HTTP/1.1 502", answered.got[:12])

    def test_it_is_not_passed_on_behind_an_error_answer(self) -> None:
        answered = send_to_runners(
            "/safe/1", _complete_response(500, b"first"), _short_answer(3)
        )
        self.assertEqual(b"HTTP/1.1 502", answered.got[:12])

    def test_error_answers_are_passed_on_as_they_end(self) -> None:
        # Their status is what counts, and it is known.
        answered = send_to_runners(
            "/pay/1", _short_answer(3, status_line=b"HTTP/1.1 500 X")
        )
        self.assertEqual(b"HTTP/1.1 500", answered.got[:12])

    def test_answer_before_another_one_is_whole(self) -> None:
        # A faulty runner may answer twice.
        for second in (_DONE, _DONE[:20], _DONE[:1]):
            for closes in (True, False):
                for body in (b"once", b""):
                    answered = send_to_runners(
                        "/pay/1",
                        _complete_response(200, body) + second,
                        closes=closes,
                    )
                    self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 200"))
                    self.expectThat(
                        answered.got.endswith(b"\r\n\r\n" + body), Equals(True)
                    )

    def test_exact_length_is_served(self) -> None:
        for body in (b"", b"x", b"x" * 20_000, b"x" * 200_000):
            for closes in (True, False):
                answered = send_to_runners(
                    "/pay/1", _complete_response(200, body), closes=closes
                )
                self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 200"))
                self.expectThat(
                    answered.got.endswith(b"\r\n\r\n" + body), Equals(True)
                )


class StreamTest(testtools.TestCase):
    """Guards against a stream that looks complete before its last event."""

    def test_stream_whose_length_ends_behind_an_event(self) -> None:
        events = [b"id: %d\ndata: x\n\n" % number for number in range(1, 4)]
        length = b"Content-Length: %d\r\n\r\n" % len(events[0])
        short = _HEAD % 200 + length + b"".join(events)
        rest = _STREAM_HEAD + _event(2) + _event(3) + _STREAM_END
        for closes in (True, False):
            answered = send_to_runners(
                "/write/1", short, rest, headers=_MODEL, closes=closes
            )
            self.expectThat(answered.got.count(b"id: "), Equals(3))
            self.expectThat(answered.got.endswith(_STREAM_END), Equals(True))
            answered = send_to_runners(
                "/write/1", short, headers=_MODEL, closes=closes
            )
            self.expectThat(answered.got.count(b"id: "), Equals(1))
            self.expectThat(answered.got, Not(Contains(b"\r\n" + _STREAM_END)))
