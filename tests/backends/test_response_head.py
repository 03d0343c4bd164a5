"""Tests of the parser of heads."""

from __future__ import annotations

import hypothesis
import testtools
from hypothesis import strategies as st
from testtools.matchers import Equals

from mulberrypaddle.backends.response_head import (
    HeadParser,
    InvalidHeadError,
    ResponseHead,
)
from tests.support.response_heads import (
    CHUNKED,
    JOINED_LINES,
    LENGTH,
    SOUND_CODINGS,
    SOUND_HEADS,
    UNSOUND_HEADS,
)

_TOKEN = frozenset(
    "!#$%&'*+-.^_`|~0123456789"
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)


def _parse(text: bytes) -> ResponseHead | None:
    """Returns the head that a parser makes of some lines."""
    parser = HeadParser()
    for line in text.splitlines(keepends=True):
        parser.feed(line)
    return parser.head


def _is_refused(text: bytes) -> bool:
    try:
        _parse(text)
    except InvalidHeadError:
        return True
    return False


class HeadParserTest(testtools.TestCase):
    """Which heads are sound, and what is read from them."""

    def test_sound_heads(self) -> None:
        for reason, lines in SOUND_HEADS.items():
            head = _parse(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
            assert head is not None
            self.expectThat(head.status, Equals(200), reason)

    def test_unsound_heads(self) -> None:
        for reason, lines in (
            *UNSOUND_HEADS.items(),
            *JOINED_LINES.items(),
        ):
            head = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"
            # `splitlines` would end lines at a carriage return too.
            parser = HeadParser()
            with testtools.ExpectedException(InvalidHeadError):
                for line in head.split(b"\n"):
                    parser.feed(line + b"\n")
            self.expectThat(parser.head, Equals(None), reason)

    def test_length_of_the_body(self) -> None:
        for value, length_bytes in (
            (b"0", 0),
            (b"000", 0),
            (b"9223372036854775807", 2**63 - 1),
            (b"0" * 100 + b"11", 11),
            (b"11, 011\t,11", 11),
        ):
            head = _parse(
                b"HTTP/1.1 200 OK\r\nContent-Length: " + value + b"\r\n\r\n"
            )
            assert head is not None
            self.assertEqual(length_bytes, head.length_bytes)
            self.assertTrue(head.has_marked_end)
            self.assertFalse(head.is_chunked)

    def test_body_in_chunks(self) -> None:
        for reason, lines in SOUND_CODINGS.items():
            head = _parse(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
            assert head is not None
            self.expectThat(head.is_chunked, Equals(True), reason)
            self.expectThat(head.length_bytes, Equals(None), reason)

    def test_body_in_chunks_needs_http_1_1(self) -> None:
        self.assertTrue(_is_refused(b"HTTP/1.0 200 OK\r\n" + CHUNKED + b"\r\n"))

    def test_body_that_ends_with_its_connection(self) -> None:
        head = _parse(b"HTTP/1.1 200 OK\r\n\r\n")
        assert head is not None
        self.assertFalse(head.has_marked_end)

    def test_fields_keep_their_order_and_bytes(self) -> None:
        head = _parse(b"HTTP/1.1 200 OK\r\nB: \xa0 \r\na:\t1\r\nB:\r\n\r\n")
        assert head is not None
        self.assertEqual([("B", "\xa0"), ("a", "1"), ("B", "")], head.fields)

    def test_message_names_the_line_shortened(self) -> None:
        line = b"X-A : " + b"9" * 5_000 + b"\r\n"
        parser = HeadParser()
        parser.feed(b"HTTP/1.1 200 OK\r\n")
        error = self.assertRaises(InvalidHeadError, parser.feed, line)
        self.assertIn("X-A :", str(error))
        self.assertLess(len(str(error)), 100)

    def test_head_begins_with_a_status_line(self) -> None:
        for text in (b"\r\n", b"X-A: 1\r\n", LENGTH, b"body\n"):
            self.assertTrue(_is_refused(text), text)

    def test_interim_heads_come_before_the_head(self) -> None:
        interim = b"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"
        self.assertIsNone(_parse(interim))
        head = _parse(interim + interim + b"HTTP/1.1 404 X\r\nA: 1\r\n\r\n")
        assert head is not None
        self.assertEqual((404, [("A", "1")]), (head.status, head.fields))

    def test_line_without_its_end_is_refused(self) -> None:
        for text in (b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r\nA: 1\r\n\r"):
            self.assertTrue(_is_refused(text), text)

    def test_held_bytes_are_those_of_the_present_head(self) -> None:
        parser = HeadParser()
        for line in (b"HTTP/1.1 103 X\r\n", b"Link: " + b"x" * 9_000 + b"\r\n"):
            parser.feed(line)
        self.assertGreater(parser.held_bytes, 9_000)
        for line in (b"\r\n", b"HTTP/1.1 200 X\r\n"):
            parser.feed(line)
        self.assertEqual(0, parser.held_bytes)

    @hypothesis.settings(deadline=None, max_examples=300)
    @hypothesis.given(
        line=st.binary(min_size=1, max_size=40).filter(
            lambda line: b"\n" not in line
        )
    )
    def test_any_line_is_refused_or_one_field(self, line: bytes) -> None:
        parser = HeadParser()
        parser.feed(b"HTTP/1.1 200 OK\r\n")
        try:
            parser.feed(line + b"\r\n")
            head = parser.feed(b"\r\n")
        except InvalidHeadError:
            return
        assert head is not None
        for name, value in head.fields:
            assert name
            assert set(name) <= _TOKEN
            assert line.startswith(name.encode("ascii") + b":")
            assert value.encode("latin-1") in line
            assert not any(c < " " and c != "\t" or c == "\x7f" for c in value)
