"""A connection of a caller that tells whether bytes have arrived on it."""

from __future__ import annotations

import socket
from typing import Any

from tornado.iostream import IOStream


class CallerStream(IOStream):
    """Stream of a caller's connection.

    Attributes:
        received_bytes: Number of bytes that were read from the socket.
        dropped_unread: Whether bytes lay unread in the socket when this end
            closed the connection.
    """

    def __init__(self, connection: socket.socket, **options: Any) -> None:
        self.received_bytes = 0
        self.dropped_unread = False
        super().__init__(connection, **options)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket and counts the bytes."""
        count = super().read_from_fd(buf)
        self.received_bytes += count or 0
        return count

    def close(self, exc_info: Any = False) -> None:
        """Closes the connection and records whether bytes are dropped."""
        if not self.closed():
            self.dropped_unread = self.has_unread_bytes()
        super().close(exc_info)

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of bytes that were read but not handled yet."""
        return int(self._read_buffer_size)

    @property
    def buffers_only_line_ends(self) -> bool:
        """Returns whether bytes are buffered, all of which are line ends."""
        if not self._read_buffer_size:
            return False
        return not bytes(self._read_buffer).strip(b"\r\n")

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes lie in the socket that were not read yet."""
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the caller has reset the connection.
            return False
