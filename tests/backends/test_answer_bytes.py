"""Tests of the counts of received bytes."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from mulberrypaddle.backends import answer_bytes
from mulberrypaddle.backends.answer_bytes import (
    AnswerBytes,
    DescriptorTable,
    count_read_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def _connection() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Yields both ends of a connection over the loopback interface."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with near, far:
            yield near, far


def _wait_for_end(near: socket.socket) -> None:
    """Waits until the close of the other end is at the front of the buffer."""
    assert near.recv(1, socket.MSG_PEEK) == b""


class CountTest(testtools.TestCase):
    """Bytes that were read are counted, whatever else has come."""

    def test_only_bytes_that_were_read_count(self) -> None:
        with _connection() as (near, far):
            self.assertEqual(0, count_read_bytes(near.fileno()))
            far.sendall(b"abcdef")
            self.assertEqual(b"ab", near.recv(2))
            self.assertEqual(2, count_read_bytes(near.fileno()))
            self.assertEqual(b"cdef", near.recv(9))
            self.assertEqual(6, count_read_bytes(near.fileno()))

    def test_close_does_not_count(self) -> None:
        with _connection() as (near, far):
            far.sendall(b"abc")
            far.close()
            self.assertEqual(b"ab", near.recv(2))
            self.assertEqual(2, count_read_bytes(near.fileno()))
            self.assertEqual(b"c", near.recv(9))
            _wait_for_end(near)
            self.assertEqual(3, count_read_bytes(near.fileno()))

    def test_closed_descriptor_tells_nothing(self) -> None:
        with _connection() as (near, _):
            descriptor = near.fileno()
        self.assertIsNone(count_read_bytes(descriptor))

    def test_reset_tells_nothing(self) -> None:
        with _connection() as (near, far):
            far.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            far.close()
            self.assertRaises(ConnectionError, near.recv, 1)
            self.assertIsNone(count_read_bytes(near.fileno()))

    def test_other_kernels_tell_nothing(self) -> None:
        with (
            _connection() as (near, _),
            mock.patch.object(answer_bytes.socket, "TCP_INFO", create=True),
        ):
            del answer_bytes.socket.TCP_INFO
            self.assertIsNone(count_read_bytes(near.fileno()))


class DescriptorTableTest(testtools.TestCase):
    """Connections are found by their local address while they are open."""

    def test_open_connection_is_found(self) -> None:
        table = DescriptorTable()
        with _connection() as (near, _):
            address = near.getsockname()
            self.assertIsNone(table.find(address))
            table.add(near.fileno(), address)
            self.assertEqual(near.fileno(), table.find(address))
        self.assertIsNone(table.find(address))

    def test_descriptor_of_another_connection_is_not_found(self) -> None:
        table = DescriptorTable()
        with _connection() as (near, _):
            descriptor, address = near.fileno(), near.getsockname()
            table.add(descriptor, address)
        with _connection() as (later, _):
            if later.fileno() != descriptor:
                self.skipTest("the descriptor was not used again")
            self.assertIsNone(table.find(address))
            table.add(descriptor, later.getsockname())
            self.assertEqual(descriptor, table.find(later.getsockname()))
            self.assertIsNone(table.find(address))


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
        with _connection() as (near, far):
            far.sendall(b"earlier")
            near.recv(7, socket.MSG_WAITALL)
            counts.start(near.fileno())
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
        counts.start(None)
        counts.end_head(5, length_bytes=None)
        self.assertIs(True, counts.head_is_whole)
