"""Tests of what the kernel tells of a connection."""

from __future__ import annotations

import socket
from unittest import mock

import testtools

from mulberrypaddle.backends import connection_bytes
from mulberrypaddle.backends.connection_bytes import (
    DescriptorTable,
    count_read_bytes,
    peek_unread_bytes,
)
from tests.support.connections import connected_sockets


def _wait_for_end(near: socket.socket) -> None:
    """Waits until the close of the other end is at the front of the buffer."""
    assert near.recv(1, socket.MSG_PEEK) == b""


class CountTest(testtools.TestCase):
    """Bytes that were read are counted, whatever else has come."""

    def test_only_bytes_that_were_read_count(self) -> None:
        with connected_sockets() as (near, far):
            self.assertEqual(0, count_read_bytes(near.fileno()))
            far.sendall(b"abcdef")
            self.assertEqual(b"ab", near.recv(2))
            self.assertEqual(2, count_read_bytes(near.fileno()))
            self.assertEqual(b"cdef", near.recv(9))
            self.assertEqual(6, count_read_bytes(near.fileno()))

    def test_close_does_not_count(self) -> None:
        with connected_sockets() as (near, far):
            far.sendall(b"abc")
            far.close()
            self.assertEqual(b"ab", near.recv(2))
            self.assertEqual(2, count_read_bytes(near.fileno()))
            self.assertEqual(b"c", near.recv(9))
            _wait_for_end(near)
            self.assertEqual(3, count_read_bytes(near.fileno()))

    def test_closed_descriptor_tells_nothing(self) -> None:
        with connected_sockets() as (near, _):
            descriptor = near.fileno()
        self.assertIsNone(count_read_bytes(descriptor))

    def test_reset_tells_nothing(self) -> None:
        with connected_sockets() as (near, far):
            far.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            far.close()
            self.assertRaises(ConnectionError, near.recv, 1)
            self.assertIsNone(count_read_bytes(near.fileno()))

    def test_other_kernels_tell_nothing(self) -> None:
        with (
            connected_sockets() as (near, _),
            mock.patch.object(connection_bytes.socket, "TCP_INFO", create=True),
        ):
            del connection_bytes.socket.TCP_INFO
            self.assertIsNone(count_read_bytes(near.fileno()))


class DescriptorTableTest(testtools.TestCase):
    """Connections are found by their local address while they are open."""

    def test_open_connection_is_found(self) -> None:
        table = DescriptorTable()
        with connected_sockets() as (near, _):
            address = near.getsockname()
            self.assertIsNone(table.find(address))
            table.add(near.fileno(), address)
            self.assertEqual(near.fileno(), table.find(address))
        self.assertIsNone(table.find(address))

    def test_descriptor_of_another_connection_is_not_found(self) -> None:
        table = DescriptorTable()
        with connected_sockets() as (near, _):
            descriptor, address = near.fileno(), near.getsockname()
            table.add(descriptor, address)
        with connected_sockets() as (later, _):
            if later.fileno() != descriptor:
                self.skipTest("the descriptor was not used again")
            self.assertIsNone(table.find(address))
            table.add(descriptor, later.getsockname())
            self.assertEqual(descriptor, table.find(later.getsockname()))
            self.assertIsNone(table.find(address))


class PeekTest(testtools.TestCase):
    """Unread bytes are shown and stay unread."""

    def test_bytes_are_shown_twice(self) -> None:
        with connected_sockets() as (near, far):
            self.assertEqual(b"", peek_unread_bytes(near.fileno(), 3))
            far.sendall(b"abcdef")
            near.recv(1)
            for _ in range(2):
                self.assertEqual(b"bcd", peek_unread_bytes(near.fileno(), 3))

    def test_nothing_is_shown_of_a_closed_connection(self) -> None:
        with connected_sockets() as (near, far):
            far.close()
            _wait_for_end(near)
            self.assertEqual(b"", peek_unread_bytes(near.fileno(), 3))
            descriptor = near.fileno()
        self.assertEqual(b"", peek_unread_bytes(descriptor, 3))
