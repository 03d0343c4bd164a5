"""The rest of a request that was refused before all of it was read.

If a connection is closed while bytes lie in its socket or are under way, the
kernel resets it, and the caller may lose an answer that it has not read yet.
"""

from __future__ import annotations

import asyncio
import logging
import socket

_LOGGER = logging.getLogger("mulberrypaddle.caller")

# Time after which a connection is closed even if its caller goes on sending.
DRAIN_SECONDS = 30.0

# Bytes that are read at once.
_READ_BYTES = 65_536


class UnreadRemainder:
    """Reads and drops what comes on a connection until its caller closes it.

    No more is written to the connection, so that the caller sees the end of the
    answer at once.
    """

    __slots__ = ("_deadline", "_loop", "_socket")

    def __init__(self, connection: socket.socket) -> None:
        """Prepares the read.

        Args:
            connection: Socket of the connection. Its owner may close it after
                `start`.
        """
        self._loop = asyncio.get_running_loop()
        self._socket = connection
        self._deadline: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Ends the answer and starts to read, for `DRAIN_SECONDS` at most."""
        try:
            self._socket = self._socket.dup()
        except OSError as error:
            # Without a free descriptor the connection is closed at once.
            _LOGGER.warning("not_drained", extra={"reason": str(error)})
            return
        self._socket.setblocking(False)
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has gone.
            self._socket.close()
            return
        self._deadline = self._loop.call_later(DRAIN_SECONDS, self._close)
        self._loop.add_reader(self._socket, self._read)

    def _read(self) -> None:
        """Drops what has come, and closes the connection at its end."""
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close()

    def _close(self) -> None:
        """Closes the connection."""
        if self._deadline is not None:
            self._deadline.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
