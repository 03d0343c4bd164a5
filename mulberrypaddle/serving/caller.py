"""The caller's side of one request."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

_LOGGER = logging.getLogger("mulberrypaddle.caller")

_REASONS = httputil.responses

# Bytes of one answer that wait for a slow reader before its runner is held
# back; an event of a stream has some hundred.
MOST_WAITING_BYTES = 32_768


class Caller:
    """Writes the answer to one request on the caller's connection.

    Attributes:
        started: Whether the head of the answer was written.
        gone: Whether the caller has closed the connection.
    """

    __slots__ = (
        "_busy",
        "_close_after",
        "_connection",
        "_finished",
        "_finishing",
        "_on_drained",
        "_on_gone",
        "_waiting",
        "_waiting_bytes",
        "gone",
        "started",
    )

    def __init__(
        self, connection: HTTP1Connection, *, close_after: bool
    ) -> None:
        self._connection = connection
        self._close_after = close_after
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._busy = False
        self._finishing = False
        self._finished = False
        self._on_drained: Callable[[], None] | None = None
        self._on_gone: Callable[[], None] | None = None
        self.started = False
        self.gone = False

    def on_gone(self, callback: Callable[[], None]) -> None:
        """Sets what is called once the caller has left."""
        self._on_gone = callback

    def on_drained(self, callback: Callable[[], None]) -> None:
        """Sets what is called when a slow reader has caught up."""
        self._on_drained = callback

    def left(self) -> None:
        """Learns that the connection was closed."""
        if self.gone:
            return
        self.gone = True
        if self._on_gone is not None:
            self._on_gone()

    def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Writes a whole answer."""
        if self.gone or self.started:
            return
        self._write_head(status, headers, size_bytes=len(body))
        self.write(body)
        self.finish()

    def refuse(
        self,
        status: int,
        *,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Writes an answer of the system itself."""
        headers = [("Content-Type", "application/json")]
        if retry_after_seconds is not None:
            headers.append(("Retry-After", f"{retry_after_seconds:.2f}"))
        self.answer(status, headers, json.dumps({"error": detail}).encode())

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Writes the head of an answer whose length is not known."""
        if self.gone or self.started:
            return
        self._write_head(status, headers, size_bytes=None)

    def write(self, data: bytes) -> bool:
        """Writes bytes of the body.

        Returns:
            Whether the reader keeps up; otherwise `on_drained` is called
            once it has.
        """
        if self.gone or not data:
            return True
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._write_next()
        return self._waiting_bytes < MOST_WAITING_BYTES

    def finish(self) -> None:
        """Ends the answer as whole."""
        self._finishing = True
        self._write_next()

    def cut(self) -> None:
        """Closes the connection, so that the answer can't look whole."""
        if self.gone:
            return
        self._connection.close()

    def _write_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        size_bytes: int | None,
    ) -> None:
        self.started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if size_bytes is not None:
            fields["Content-Length"] = str(size_bytes)
        if self._close_after:
            fields["Connection"] = "close"
        line = httputil.ResponseStartLine(
            "HTTP/1.1", status, _REASONS.get(status, "Unknown")
        )
        self._issue(lambda: self._connection.write_headers(line, fields))

    def _write_next(self) -> None:
        """Writes what waits; the connection takes one write at a time."""
        if self.gone or self._busy or self._finished:
            return
        if self._waiting:
            data = b"".join(self._waiting)
            self._waiting.clear()
            self._issue(lambda: self._connection.write(data))
            return
        if self._finishing:
            self._finished = True
            try:
                self._connection.finish()
            except StreamClosedError:
                self.left()

    def _issue(self, write: Callable[[], asyncio.Future[None]]) -> None:
        self._busy = True
        try:
            future = write()
        except StreamClosedError:
            self.left()
            return
        future.add_done_callback(self._written)

    def _written(self, done: asyncio.Future[None]) -> None:
        self._busy = False
        if done.cancelled():
            return
        error = done.exception()
        if isinstance(error, StreamClosedError):
            self.left()
            return
        if error is not None:
            _LOGGER.error("write_failed", extra={"reason": str(error)})
            self.cut()
            return
        held_back = self._waiting_bytes >= MOST_WAITING_BYTES
        self._waiting_bytes = sum(len(part) for part in self._waiting)
        self._write_next()
        caught_up = held_back and self._waiting_bytes < MOST_WAITING_BYTES
        if caught_up and self._on_drained is not None:
            self._on_drained()
