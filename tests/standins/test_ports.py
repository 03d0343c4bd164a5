"""Ports that stay reserved between their choice and their use."""

from __future__ import annotations

import socket

import testtools
import tornado.netutil

from mulberrypaddle.standins.ports import MAX_RESERVED_PORTS, free_port


def _bind(
    address: str, port: int, *, kind: socket.SocketKind = socket.SOCK_STREAM
) -> None:
    """Binds a socket that doesn't share its port, and closes it."""
    with socket.socket(type=kind) as bound:
        bound.bind((address, port))


class FreePortTest(testtools.TestCase):
    """A port that a server will use later."""

    def test_port_is_not_taken_between_its_choice_and_its_use(self) -> None:
        port = free_port()
        for address in ("", "127.0.0.1", "127.0.0.2"):
            self.assertRaises(OSError, _bind, address, port)

    def test_listeners_can_bind_it_again_and_again(self) -> None:
        port = free_port()
        for _ in range(3):
            listeners = [
                tornado.netutil.bind_sockets(port, address)[0]
                for address in ("127.0.0.1", "127.0.0.2")
            ]
            for listener in listeners:
                with socket.create_connection(listener.getsockname()):
                    listener.close()

    def test_connections_are_refused_before_its_use(self) -> None:
        address = ("127.0.0.1", free_port())
        self.assertRaises(
            ConnectionRefusedError, socket.create_connection, address
        )

    def test_port_is_free_for_datagrams(self) -> None:
        _bind("127.0.0.1", free_port(), kind=socket.SOCK_DGRAM)

    def test_no_port_is_given_out_twice(self) -> None:
        ports = {free_port() for _ in range(MAX_RESERVED_PORTS)}
        self.assertEqual(MAX_RESERVED_PORTS, len(ports))

    def test_earliest_reservations_end(self) -> None:
        first = free_port()
        for _ in range(MAX_RESERVED_PORTS):
            free_port()
        _bind("127.0.0.1", first)
