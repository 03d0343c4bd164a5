"""What the kernel knows of a connection that curl has opened."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# The kernel's `struct tcp_info`, up to the count of received bytes.
_TCP_INFO_BYTES = 136
_RECEIVED_BYTES_OFFSET = 128

# States of a connection whose peer has closed it: TIME_WAIT, CLOSE_WAIT,
# LAST_ACK and CLOSING. The kernel counts the close as a received byte.
_CLOSED_BY_PEER = frozenset({6, 8, 9, 11})

# State CLOSE, in which the kernel has forgotten whether the peer closed first.
_CLOSED = 7

# Readings of the kernel's counts before bytes that keep coming in between make
# them useless.
_MAX_READINGS = 3


@contextlib.contextmanager
def _borrow(descriptor: int) -> Iterator[socket.socket]:
    """Yields a connection, and leaves its descriptor open.

    Raises:
        OSError: If the descriptor is not that of a socket.
    """
    # If the kind of socket weren't given, Python would ask the kernel for it.
    connection = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, descriptor
    )
    try:
        yield connection
    finally:
        connection.detach()


class DescriptorTable:
    """Descriptors of a client's connections by their local addresses.

    curl tells the descriptor of a new connection only, and the local address
    of any that it is about to use.
    """

    __slots__ = ("_addresses", "_descriptors")

    def __init__(self) -> None:
        self._descriptors: dict[tuple[str, int], int] = {}
        self._addresses: dict[int, tuple[str, int]] = {}

    def add(self, descriptor: int, address: tuple[str, int]) -> None:
        """Records a connection, in place of an earlier one that is closed."""
        before = self._addresses.get(descriptor)
        if before is not None and self._descriptors.get(before) == descriptor:
            del self._descriptors[before]
        self._addresses[descriptor] = address
        self._descriptors[address] = descriptor

    def find(self, address: tuple[str, int]) -> int | None:
        """Returns the descriptor of an open connection; None if unknown."""
        descriptor = self._descriptors.get(address)
        if descriptor is None:
            return None
        try:
            with _borrow(descriptor) as connection:
                local = connection.getsockname()
        except OSError:
            return None
        # The descriptor may have been closed and be another connection's.
        return descriptor if local[:2] == address else None


def count_read_bytes(descriptor: int) -> int | None:
    """Returns how many bytes were read from a connection since it was made.

    Returns:
        The number of bytes; None if the kernel doesn't tell.
    """
    if not hasattr(socket, "TCP_INFO"):
        return None
    try:
        with _borrow(descriptor) as connection:
            for _ in range(_MAX_READINGS):
                unread_bytes = _count_unread_bytes(descriptor)
                info = connection.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
                )
                if _count_unread_bytes(descriptor) == unread_bytes:
                    return _read_bytes(info, unread_bytes)
    except OSError:
        return None
    return None


def peek_unread_bytes(descriptor: int, size_bytes: int) -> bytes:
    """Returns the first received bytes that are unread; empty if none are."""
    try:
        with _borrow(descriptor) as connection:
            return connection.recv(
                size_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
    except OSError:
        return b""


def _count_unread_bytes(descriptor: int) -> int:
    """Returns how many received bytes are still in the kernel's buffer."""
    (unread_bytes,) = struct.unpack(
        "i", fcntl.ioctl(descriptor, termios.FIONREAD, b"\0" * 4)
    )
    return int(unread_bytes)


def _read_bytes(info: bytes, unread_bytes: int) -> int | None:
    """Returns how many bytes were read, from the kernel's counts."""
    if len(info) < _TCP_INFO_BYTES or info[0] == _CLOSED:
        return None
    (received_bytes,) = struct.unpack_from("=Q", info, _RECEIVED_BYTES_OFFSET)
    if info[0] in _CLOSED_BY_PEER:
        received_bytes -= 1
    return int(received_bytes - unread_bytes)
