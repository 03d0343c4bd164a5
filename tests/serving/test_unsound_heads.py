"""Answers of runners whose heads violate HTTP.

A runner in trouble may spoil any byte of a head. Callers must get neither such
an answer nor what it says of the runner or of the execution.
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
from tests.support.response_heads import (
    BODY,
    CHUNKED,
    JOINED_LINES,
    LENGTH,
    SOUND_CODINGS,
    SOUND_HEADS,
    UNSOUND_CODINGS,
    UNSOUND_LENGTHS,
    UNSOUND_LINES,
    UNSOUND_NAMES,
    is_chunked,
    make_answer,
)
from tests.support.scripted_runners import send_to_runners

_DONE = _complete_response(200, b"done")
_KEEP_ALIVE = b"Keep-Alive: timeout=5\r\n"
_GOOD_STREAM = _STREAM_HEAD + _event(1) + _event(2) + _STREAM_END


def _plain_answers(lines: bytes) -> tuple[bytes, ...]:
    """Returns answers with the given lines at both ends of the head."""
    return make_answer(lines), make_answer(lines, comes_first=True)


def _stream_answer(lines: bytes, *events: int) -> bytes:
    """Returns a stream with the given lines, and with events of its own.

    It is chunked if the lines say so, and else ends with its connection.
    """
    lines = lines.replace(LENGTH, CHUNKED)
    body = b"".join(_event(number) for number in events) + _STREAM_END
    if not is_chunked(lines):
        body = b"".join(b"id: %d\ndata: x\n\n" % number for number in events)
    return _HEAD % 200 + lines + b"\r\n" + body.replace(b"data: x", b"data: z")


class _UnsoundHeads:
    """Sends each kind of request to runners with one class of unsound heads.

    Attributes:
        heads: Lines of the heads by what is wrong with them.
    """

    heads: dict[str, bytes]

    def test_request_that_may_not_be_repeated_gets_502(
        self: testtools.TestCase,
    ) -> None:
        # It may have run, so that 503 or 429 would promise too much.
        for reason, lines in self.heads.items():
            for answer in _plain_answers(lines):
                for method in ("POST", "GET"):
                    for closes in (True, False):
                        answered = send_to_runners(
                            "/pay/1", answer, method=method, closes=closes
                        )
                        self.expectThat(
                            answered.got[:12], Equals(b"HTTP/1.1 502"), reason
                        )
                        self.expectThat(
                            answered.got, Not(Contains(BODY)), reason
                        )
                        self.expectThat(
                            len(answered.requests), Equals(1), reason
                        )

    def test_request_that_may_be_repeated_goes_to_another_runner(
        self: testtools.TestCase,
    ) -> None:
        for reason, lines in self.heads.items():
            for answer in _plain_answers(lines):
                for closes in (True, False):
                    answered = send_to_runners(
                        "/safe/1", answer, _DONE, closes=closes
                    )
                    self.expectThat(
                        answered.got[:12], Equals(b"HTTP/1.1 200"), reason
                    )
                    self.expectThat(answered.got[-4:], Equals(b"done"), reason)
                    self.expectThat(len(answered.requests), Equals(2), reason)

    def test_two_unsound_answers_give_502(self: testtools.TestCase) -> None:
        for reason, lines in self.heads.items():
            answered = send_to_runners("/safe/1", *_plain_answers(lines))
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)
            self.expectThat(answered.got, Not(Contains(BODY)), reason)
            self.expectThat(len(answered.requests), Equals(2), reason)

    def test_unsound_answer_is_not_passed_on_as_an_error_answer(
        self: testtools.TestCase,
    ) -> None:
        for reason, lines in self.heads.items():
            answered = send_to_runners(
                "/safe/1",
                _complete_response(500, b"first"),
                make_answer(lines, status_line=b"HTTP/1.1 500 X"),
            )
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)
            self.expectThat(answered.got, Not(Contains(BODY)), reason)

    def test_statement_not_run_of_an_unsound_answer_is_not_believed(
        self: testtools.TestCase,
    ) -> None:
        for reason, lines in self.heads.items():
            answered = send_to_runners(
                "/pay/1",
                make_answer(
                    b"X-Not-Executed: 1\r\n" + lines,
                    status_line=b"HTTP/1.1 503 X",
                ),
                _DONE,
            )
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)
            self.expectThat(len(answered.requests), Equals(1), reason)

    def test_unsound_answer_over_a_kept_connection(
        self: testtools.TestCase,
    ) -> None:
        kept = _complete_response(200, b"kept", _KEEP_ALIVE)
        for reason, lines in self.heads.items():
            for closes in (True, False):
                answered = send_to_runners(
                    "/safe/1",
                    make_answer(_KEEP_ALIVE + lines),
                    _DONE,
                    before=kept,
                    closes=closes,
                )
                self.expectThat(answered.got[-4:], Equals(b"done"), reason)
                self.expectThat(len(answered.requests), Equals(2), reason)

    def test_stream_is_begun_by_another_runner(
        self: testtools.TestCase,
    ) -> None:
        for reason, lines in self.heads.items():
            for answer in (
                _stream_answer(lines, 1, 2),
                make_answer(lines),
            ):
                for closes in (True, False):
                    answered = send_to_runners(
                        "/write/1",
                        answer,
                        _GOOD_STREAM,
                        headers=_MODEL,
                        closes=closes,
                    )
                    got = answered.got
                    self.expectThat(got[:12], Equals(b"HTTP/1.1 200"), reason)
                    self.expectThat(got.count(b"data: x"), Equals(2), reason)
                    self.expectThat(got, Not(Contains(b"data: z")), reason)
                    self.expectThat(len(answered.requests), Equals(2), reason)

    def test_two_unsound_streams_give_502(self: testtools.TestCase) -> None:
        for reason, lines in self.heads.items():
            answer = _stream_answer(lines, 1, 2)
            answered = send_to_runners(
                "/write/1", answer, answer, headers=_MODEL
            )
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)
            self.expectThat(answered.got, Not(Contains(b"data: z")), reason)

    def test_unsound_rest_of_a_stream(self: testtools.TestCase) -> None:
        # The answer has begun: it may only be cut, with nothing added.
        for reason, lines in self.heads.items():
            for rest in (_stream_answer(lines, 2), make_answer(lines)):
                answered = send_to_runners(
                    "/write/1",
                    _STREAM_HEAD + _event(1),
                    rest,
                    headers=_MODEL,
                )
                got = answered.got
                self.expectThat(got.count(b"id: "), Equals(1), reason)
                self.expectThat(got, Not(Contains(BODY)), reason)
                self.expectThat(
                    got.endswith(_STREAM_END), Equals(False), reason
                )

    def test_stream_that_a_caller_resumes(self: testtools.TestCase) -> None:
        for reason, lines in self.heads.items():
            answered = send_to_runners(
                "/write/1",
                _stream_answer(lines, 6),
                _STREAM_HEAD + _event(6) + _STREAM_END,
                headers=(*_MODEL, "Last-Event-Id: 5"),
            )
            self.expectThat(answered.got.count(b"id: 6"), Equals(1), reason)
            self.expectThat(answered.got, Not(Contains(b"data: z")), reason)

    def test_it_counts_as_a_broken_answer(self: testtools.TestCase) -> None:
        for reason, lines in self.heads.items():
            answered = send_to_runners("/pay/1", make_answer(lines))
            self.expectThat(len(answered.reports), Equals(1), reason)


class LengthTest(_UnsoundHeads, testtools.TestCase):
    """Guards against bodies whose end the runner did not tell."""

    heads = UNSOUND_LENGTHS


class CodingTest(_UnsoundHeads, testtools.TestCase):
    """Guards against bodies of which two readers would see different ends."""

    heads = UNSOUND_CODINGS

    def test_chunks_in_http_1_0_give_502(self) -> None:
        answered = send_to_runners(
            "/pay/1", make_answer(CHUNKED, status_line=b"HTTP/1.0 200 OK")
        )
        self.assertEqual(b"HTTP/1.1 502", answered.got[:12])


class NameTest(_UnsoundHeads, testtools.TestCase):
    """Guards against names with blanks or control bytes."""

    heads = UNSOUND_NAMES


class LineTest(_UnsoundHeads, testtools.TestCase):
    """Guards against lines that are no fields.

    curl joins a line that begins with a blank to the line before it.
    """

    heads = {**UNSOUND_LINES, **JOINED_LINES}


class StatusLineTest(testtools.TestCase):
    """Status lines that are none, beside the statuses themselves."""

    def test_unsound_status_line_gives_502(self) -> None:
        for line in (
            b"HTTP/1.1 200\x00OK",
            b"HTTP/1.1 200 O\x01K",
            b"HTTP/1.1\t200 OK",
            b"HTTP/1.1  200 OK",
            b" HTTP/1.1 200 OK",
            b"HTTP/1.1 200OK",
            b"HTTP/1.1x 200 OK",
            b"HTTP/1,1 200 OK",
            b"HTTP/11 200 OK",
            b"HTTP/9.1 200 OK",
            b"HTTP/1.1 \xb2\xb0\xb0 OK",
            b"http/1.1 200 OK",
        ):
            answered = send_to_runners(
                "/pay/1", make_answer(LENGTH, status_line=line)
            )
            self.expectThat(
                answered.got[:12], Equals(b"HTTP/1.1 502"), repr(line)
            )

    def test_sound_status_line_is_served(self) -> None:
        for line in (
            b"HTTP/1.1 200",
            b"HTTP/1.1 200 ",
            b"HTTP/1.1 200 caf\xe9\tau lait",
            b"HTTP/1.0 200 OK",
        ):
            answered = send_to_runners(
                "/pay/1", make_answer(LENGTH, status_line=line)
            )
            self.expectThat(
                answered.got[:12], Equals(b"HTTP/1.1 200"), repr(line)
            )
            self.expectThat(answered.got.endswith(BODY), Equals(True))


class OtherHeadsOfOneAnswerTest(testtools.TestCase):
    """Interim heads and trailers are checked as the head is."""

    def test_unsound_interim_head_gives_502(self) -> None:
        for reason, lines in UNSOUND_NAMES.items():
            interim = b"HTTP/1.1 103 X\r\n" + lines + b"\r\n"
            answered = send_to_runners("/pay/1", interim + make_answer(LENGTH))
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)

    def test_sound_interim_heads_are_skipped(self) -> None:
        interim = b"HTTP/1.1 103 X\r\nLink: </a>\r\nLink: </b>\r\n\r\n"
        answered = send_to_runners(
            "/pay/1", interim + interim + make_answer(LENGTH)
        )
        self.assertEqual(b"HTTP/1.1 200", answered.got[:12])
        self.assertNotIn(b"Link", answered.got)

    def test_unsound_trailer_gives_502(self) -> None:
        for reason, lines in UNSOUND_NAMES.items():
            if b"ontent-" in lines or b"ransfer-" in lines:
                continue
            trailer = lines.replace(LENGTH, b"")
            chunked = make_answer(CHUNKED)
            answered = send_to_runners(
                "/pay/1", chunked[: -len(b"\r\n")] + trailer + b"\r\n"
            )
            self.expectThat(answered.got[:12], Equals(b"HTTP/1.1 502"), reason)

    def test_sound_trailers_are_not_passed_on(self) -> None:
        chunked = make_answer(CHUNKED)
        answered = send_to_runners(
            "/pay/1", chunked[: -len(b"\r\n")] + b"X-Trailer: 1\r\n\r\n"
        )
        self.assertEqual(b"HTTP/1.1 200", answered.got[:12])
        self.assertNotIn(b"X-Trailer", answered.got)

    def test_stream_with_an_unsound_trailer_has_no_end(self) -> None:
        stream = _STREAM_HEAD + _event(1) + b"0\r\nX A: 1\r\n\r\n"
        answered = send_to_runners("/write/1", stream, headers=_MODEL)
        self.assertEqual(1, answered.got.count(b"id: "))
        self.assertFalse(answered.got.endswith(_STREAM_END))


class SoundHeadTest(testtools.TestCase):
    """Rare heads that are sound are served."""

    def _check(self, got: bytes, reason: str) -> None:
        self.expectThat(got[:12], Equals(b"HTTP/1.1 200"), reason)
        self.expectThat(got.endswith(BODY), Equals(True), reason)
        self.expectThat(got, Contains(b"X-Response-Seal: s\r\n"), reason)

    def test_plain_requests(self) -> None:
        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            for answer in _plain_answers(lines):
                for path in ("/pay/1", "/safe/1"):
                    self._check(send_to_runners(path, answer).got, reason)

    def test_kept_connections(self) -> None:
        kept = _complete_response(200, b"kept", _KEEP_ALIVE)
        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            answered = send_to_runners(
                "/safe/1", make_answer(_KEEP_ALIVE + lines), before=kept
            )
            self._check(answered.got, reason)
            self.expectThat(len(answered.requests), Equals(1), reason)

    def test_streams(self) -> None:
        for reason, lines in {**SOUND_HEADS, **SOUND_CODINGS}.items():
            if b"\r\nC" in lines or lines[:1] in b"Cc":
                # Its length would not be that of the stream.
                continue
            answered = send_to_runners(
                "/write/1", _stream_answer(lines, 1, 2), headers=_MODEL
            )
            self.expectThat(answered.got.count(b"data: z"), Equals(2), reason)
            self.expectThat(
                answered.got.endswith(_STREAM_END), Equals(True), reason
            )

    def test_values_are_passed_on_unchanged(self) -> None:
        for value in (
            b"caf\xe9",
            b"a\tb",
            b"\xa0a\x85",
            b"",
            b"a:b::c",
            b"\xff",
        ):
            answered = send_to_runners(
                "/pay/1", make_answer(b"X-A: " + value + b" \t\r\n" + LENGTH)
            )
            self.expectThat(
                answered.got, Contains(b"\r\nX-A: " + value + b"\r\n")
            )
