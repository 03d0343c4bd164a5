"""Compares the bytes of an answer with those that curl has passed on.

curl joins a line that begins with a blank to the line before it, and passes on
neither of the two as it came. It also drops what comes behind the length of a
body. The kernel's count of received bytes shows the first. What curl logs as
received data, and what it has left unread, shows the second.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

# The kernel's `struct tcp_info`, up to the count of received bytes.
_TCP_INFO_BYTES = 136
_RECEIVED_BYTES_OFFSET = 128

# States of a connection whose peer has closed it. The kernel counts the close
# as a received byte.
_CLOSED_BY_PEER = frozenset({6, 8, 9, 11})

# State in which the kernel has forgotten whether the peer closed first.
_CLOSED = 7

# What an answer begins with.
_ANSWER_START = b"HTTP/"

# Readings of the kernel's counts before bytes that keep coming in between make
# them useless.
_MAX_READINGS = 3


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
            connection = socket.socket(fileno=descriptor)
        except OSError:
            return None
        try:
            local = connection.getsockname()
        except OSError:
            return None
        finally:
            connection.detach()
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
        connection = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        for _ in range(_MAX_READINGS):
            unread_bytes = _count_unread_bytes(descriptor)
            info = connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
            if _count_unread_bytes(descriptor) == unread_bytes:
                return _read_bytes(info, unread_bytes)
    except OSError:
        return None
    finally:
        connection.detach()
    return None


def _peek(descriptor: int, size_bytes: int) -> bytes:
    """Returns the first received bytes that are unread; empty if none are."""
    try:
        connection = socket.socket(fileno=descriptor)
    except OSError:
        return b""
    try:
        return connection.recv(
            size_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT
        )
    except OSError:
        return b""
    finally:
        connection.detach()


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


class AnswerBytes:
    """Counts the bytes of one answer, as they came and as curl passes them on.

    Attributes:
        head_is_whole: Whether all lines of the head were passed on as they
            came; None while that isn't known. True if it can't be told.
    """

    __slots__ = (
        "_before_bytes",
        "_body_bytes",
        "_bytes_with_head",
        "_descriptor",
        "_length_bytes",
        "_surplus",
        "head_is_whole",
    )

    def __init__(self) -> None:
        self._descriptor: int | None = None
        # Bytes that were read from the connection before this answer.
        self._before_bytes: int | None = None
        # Bytes of the body that were read with the end of the head.
        self._bytes_with_head = 0
        # Length of the body; None if the head doesn't give it.
        self._length_bytes: int | None = None
        self._body_bytes = 0
        # First bytes behind the length of the body.
        self._surplus = b""
        self.head_is_whole: bool | None = None

    @property
    def body_is_longer(self) -> bool:
        """Returns whether more of the body has come than its length tells.

        Bytes that begin another answer aren't a part of the body. Any others
        that a faulty runner adds can't be told from the rest of the body, and
        count as such.
        """
        start = self._surplus[: len(_ANSWER_START)]
        return not _ANSWER_START.startswith(start)

    def start(self, descriptor: int | None) -> None:
        """Begins to count, just before the request is sent.

        Args:
            descriptor: The connection; None if it is not known.
        """
        self._descriptor = descriptor
        if descriptor is not None:
            self._before_bytes = count_read_bytes(descriptor)

    def end_head(self, passed_bytes: int, *, length_bytes: int | None) -> None:
        """Compares the counts behind the last line of the head.

        Bytes of the body may have been read with it. curl logs these next.

        Args:
            passed_bytes: Bytes of the lines that curl has passed on.
            length_bytes: Length of the body; None if the head doesn't give it.
        """
        self._length_bytes = length_bytes
        self.head_is_whole = True
        if self._descriptor is None or self._before_bytes is None:
            return
        read_bytes = count_read_bytes(self._descriptor)
        if read_bytes is None:
            return
        self._bytes_with_head = read_bytes - self._before_bytes - passed_bytes
        if self._bytes_with_head > 0:
            self.head_is_whole = None
        elif length_bytes == 0:
            self._surplus = self._peek()

    def add_body(self, data: bytes) -> None:
        """Counts bytes of the body, as they came."""
        if self.head_is_whole is None:
            self.head_is_whole = len(data) == self._bytes_with_head
        self._body_bytes += len(data)
        if self._length_bytes is None or self._surplus:
            return
        surplus_bytes = self._body_bytes - self._length_bytes
        if surplus_bytes > 0:
            self._surplus = data[-surplus_bytes:]
        if surplus_bytes >= 0:
            self._surplus += self._peek()

    def _peek(self) -> bytes:
        """Returns unread bytes, as many as tell whether an answer begins."""
        if self._descriptor is None:
            return b""
        return _peek(self._descriptor, len(_ANSWER_START))
