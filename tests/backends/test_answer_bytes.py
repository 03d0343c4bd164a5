"""Tests of the comparison of an answer's bytes with what curl passes on."""

from __future__ import annotations

import socket

import testtools

from mulberrypaddle.backends.answer_bytes import AnswerBytes
from tests.support.connections import connected_sockets


class AnswerBytesTest(testtools.TestCase):
    """Heads that curl has changed are told from those that it has not."""

    def _count(
        self, received: bytes, *, passed_bytes: int, body: bytes
    ) -> bool | None:
        """Returns whether the head is whole.

        Args:
            received: Bytes that were read with the last line of the head.
            passed_bytes: Bytes of the lines that were passed on.
            body: Bytes that come next as the body.
        """
        counts = AnswerBytes()
        with connected_sockets() as (near, far):
            far.sendall(b"earlier")
            near.recv(7, socket.MSG_WAITALL)
            counts.start(near.fileno(), is_new=False)
            far.sendall(received)
            near.recv(len(received), socket.MSG_WAITALL)
            counts.end_head(passed_bytes, length_bytes=None)
        if body:
            counts.add_body(body)
        return counts.head_is_whole

    def test_unchanged_head(self) -> None:
        for body in (b"", b"body"):
            self.assertIs(
                True,
                self._count(b"head" + body, passed_bytes=4, body=body),
            )

    def test_body_that_comes_later_says_nothing(self) -> None:
        self.assertIs(True, self._count(b"head", passed_bytes=4, body=b"body"))

    def test_shortened_head(self) -> None:
        self.assertIs(
            False, self._count(b"head" + b"body", passed_bytes=3, body=b"body")
        )
        self.assertIsNone(self._count(b"head", passed_bytes=3, body=b""))

    def test_unknown_connection_says_nothing(self) -> None:
        counts = AnswerBytes()
        counts.start(None, is_new=True)
        counts.end_head(5, length_bytes=None)
        self.assertIs(True, counts.head_is_whole)

    def _is_longer(self, length: int, *parts: bytes, unread: bytes) -> bool:
        """Returns whether a body counts as longer than its length.

        Args:
            length: Length of the body, as the head gives it.
            *parts: Bytes that curl reads as the body.
            unread: Bytes that are unread behind them.
        """
        counts = AnswerBytes()
        with connected_sockets() as (near, far):
            counts.start(near.fileno(), is_new=False)
            far.sendall(unread or b"-")
            near.recv(1, socket.MSG_PEEK)
            if not unread:
                near.recv(1)
            counts.end_head(0, length_bytes=length)
            for part in parts:
                counts.add_body(part)
        return counts.body_is_longer

    def test_body_of_the_length(self) -> None:
        for parts in ((b"body",), (b"bo", b"dy")):
            self.assertFalse(self._is_longer(4, *parts, unread=b""))

    def test_body_that_is_longer(self) -> None:
        for parts, unread in (
            ((b"body",), b"x"),
            ((b"body", b"x"), b""),
            ((b"bod", b"yx"), b""),
            ((b"bodyHTTX",), b""),
            ((b"bodyHT",), b"TX"),
        ):
            self.assertTrue(self._is_longer(4, *parts, unread=unread))

    def test_another_answer_behind_the_body(self) -> None:
        for parts, unread in (
            ((b"body",), b"HTTP/1.1 200"),
            ((b"body", b"HTTP/1.1 200"), b""),
            ((b"bodyHT",), b"TP/1.1 200"),
            ((b"bodyH",), b""),
        ):
            self.assertFalse(self._is_longer(4, *parts, unread=unread))
