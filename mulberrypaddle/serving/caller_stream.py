"""A connection of a caller that tells whether bytes have arrived on it."""

from __future__ import annotations

import json
import socket
from typing import TYPE_CHECKING, Any

from tornado.httputil import responses
from tornado.iostream import IOStream, UnsatisfiableReadError

from mulberrypaddle.serving.unread_remainder import UnreadRemainder

if TYPE_CHECKING:
    import asyncio

# What tornado writes on a malformed request, before it closes the connection.
_BARE_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class CallerStream(IOStream):
    """Stream of a caller's connection.

    Attributes:
        received_bytes: Number of bytes that were read from the socket.
        dropped_unread: Whether bytes lay unread in the socket when this end
            closed the connection.
        drains_on_close: Whether the caller may still send when this end closes
            the connection, and is to read the last answer nevertheless.
        refused_status: Status of the refusal of a request that could not be
            read; 0 if there is none.
        awaits_request: Whether a request is awaited or being read, so that no
            response has begun.
    """

    def __init__(self, connection: socket.socket, **options: Any) -> None:
        self.received_bytes = 0
        self.dropped_unread = False
        self.drains_on_close = False
        self.refused_status = 0
        self.awaits_request = False
        super().__init__(connection, **options)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket and counts the bytes."""
        count = super().read_from_fd(buf)
        self.received_bytes += count or 0
        return count

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Writes bytes; completes tornado's refusal of a malformed request."""
        if data == _BARE_REFUSAL:
            if self.awaits_request:
                self.refused_status = 400
                self.drains_on_close = True
                return super().write(refusal_bytes(400))
            if self.drains_on_close:
                # The request has been refused already.
                return super().write(b"")
        return super().write(data)

    def raise_head_limit(self, max_bytes: int) -> None:
        """Raises the limit on the size of a head that is awaited."""
        if self._read_regex is not None and self._read_max_bytes is not None:
            self._read_max_bytes = max(self._read_max_bytes, max_bytes)

    def close(self, exc_info: Any = False) -> None:
        """Closes the connection and records whether bytes are dropped.

        tornado gives no answer when it closes a connection because a line or a
        head is too long.
        """
        if not self.closed():
            self.dropped_unread = self.has_unread_bytes()
            if (
                isinstance(exc_info, UnsatisfiableReadError)
                and not self.writing()
            ):
                is_head = self._read_regex is not None
                self._send_refusal(431 if is_head else 400)
            if self.drains_on_close:
                UnreadRemainder(self.socket).start()
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

    def _send_refusal(self, status: int) -> None:
        """Refuses a request that can't be read, just before the close."""
        self.refused_status = status
        self.drains_on_close = True
        try:
            # The previous answer has been written, so that this one fits.
            self.socket.send(refusal_bytes(status))
        except OSError:
            # The caller has gone.
            return


def refusal_bytes(status: int) -> bytes:
    """Returns the refusal of a request that could not be read."""
    reason = responses[status]
    body = json.dumps({"error": reason.lower()}).encode()
    head = (
        f"HTTP/1.1 {status} {reason}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
