"""The response to one request, written to the caller's connection."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.iostream import StreamClosedError

from mulberrypaddle.serving.decision_log import log_state_change

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from mulberrypaddle.serving.buffer_budget import BufferBudget

_LOGGER = logging.getLogger("mulberrypaddle.caller")

_REASON_PHRASES = httputil.responses

# Unwritten bytes of one response at which its runner is paused because the
# caller reads too slowly; an event of a stream has a few hundred bytes.
MAX_PENDING_BYTES = 32_768


class CallerConnection:
    """Writes the response to one request to the caller's connection.

    Writes are buffered: the connection takes one write at a time. After the
    caller has closed the connection, all writes are dropped.

    Attributes:
        response_started: Whether writing of the response has started. From
            then on no other response, such as an error, can be sent.
        disconnected: Whether the connection to the caller is closed.
        aborted: Whether this router has closed it to end a response early.
    """

    __slots__ = (
        "_write_in_flight",
        "_closes_after",
        "_connection",
        "_finished",
        "_finishing",
        "_has_body",
        "_held_bytes",
        "_on_drained",
        "_on_disconnect",
        "_pending",
        "_pending_bytes",
        "aborted",
        "disconnected",
        "response_started",
    )

    def __init__(
        self,
        connection: HTTP1Connection,
        *,
        method: str,
        closes_after: Callable[[], bool],
        buffers: BufferBudget | None = None,
    ) -> None:
        """Prepares the response.

        Args:
            connection: Connection that the request came on.
            method: HTTP method of the request.
            closes_after: Returns, when the response starts, whether to announce
                that the connection closes after it.
            buffers: Budget for bytes that the caller has yet to read; None for
                no limit.
        """
        self._connection = connection
        self._has_body = method != "HEAD"
        self._closes_after = closes_after
        self._pending: list[bytes] = []
        # Bytes of the body that are not written yet, also those in flight.
        self._pending_bytes = 0
        self._write_in_flight = False
        self._held_bytes = (
            None if buffers is None else buffers.open(self._evict)
        )
        self._finishing = False
        self._finished = False
        self._on_drained: Callable[[], None] | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self.response_started = False
        self.disconnected = False
        self.aborted = False

    @property
    def is_settled(self) -> bool:
        """Returns whether no more is to be added to the response."""
        return self._finishing or self.aborted or self.disconnected

    @property
    def response_ended(self) -> bool:
        """Returns whether the end of a complete response was written."""
        return self._finished

    def set_disconnect_callback(self, callback: Callable[[], None]) -> None:
        """Sets the callback for when the caller closes the connection."""
        self._on_disconnect = callback

    def set_drained_callback(self, callback: Callable[[], None]) -> None:
        """Sets the callback for when a slow caller has caught up."""
        self._on_drained = callback

    def handle_close(self) -> None:
        """Records that the connection was closed and calls the callback."""
        if self.disconnected:
            return
        self.disconnected = True
        if self._held_bytes is not None:
            self._held_bytes.release()
        if self._on_disconnect is not None:
            self._on_disconnect()

    def send_response(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Writes a complete response.

        Head and body are one write, so that a close does not come in between.
        """
        if self.disconnected or self.response_started:
            return
        self._write_head(
            status,
            headers,
            body=body if self._has_body else b"",
            size_bytes=len(body),
        )
        self.finish()

    def send_error(
        self,
        status: int,
        *,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Writes an error response of the router itself, as JSON.

        Args:
            status: HTTP status.
            detail: What went wrong.
            retry_after_seconds: Value of the Retry-After header; None for no
                header.
        """
        self.send_response(
            status,
            _error_headers(retry_after_seconds),
            json.dumps({"error": detail}).encode(),
        )

    def refuse_unread(
        self,
        status: int,
        *,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Writes an error response to a request that is not read further.

        The connection is closed behind it.

        Args:
            status: HTTP status.
            detail: What went wrong.
            retry_after_seconds: Value of the Retry-After header; None for no
                header.
        """
        if self.disconnected or self.response_started:
            return
        body = json.dumps({"error": detail}).encode()
        self._closes_after = lambda: True
        self._finishing = True
        self._write_head(
            status,
            _error_headers(retry_after_seconds),
            body=body if self._has_body else b"",
            size_bytes=len(body),
        )
        # The end must not wait for the write, as the connection would ask for
        # the body, or read more of it, in between.
        self._finished = True
        self._connection.finish()

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Writes status and headers of a response of unknown length."""
        if self.disconnected or self.response_started:
            return
        self._write_head(status, headers, size_bytes=None)

    def write(self, data: bytes) -> bool:
        """Writes bytes of the body; the response to HEAD has none.

        Returns:
            Whether the caller keeps up; if not, the callback set by
            `set_drained_callback` is called once it has caught up.
        """
        if self.disconnected or self.aborted:
            return True
        if not data or not self._has_body:
            return True
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._write_next()
        self._record_held_bytes()
        return self._pending_bytes < MAX_PENDING_BYTES

    def finish(self) -> None:
        """Ends the response as complete once all bytes are written."""
        self._finishing = True
        self._write_next()

    def abort(self) -> None:
        """Closes the connection, so that the response is incomplete."""
        if self.disconnected:
            return
        self.aborted = True
        self._connection.close()

    def _write_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        size_bytes: int | None,
        body: bytes = b"",
    ) -> None:
        """Writes status and headers, and what is known of the body.

        Args:
            status: HTTP status.
            headers: Headers of the response.
            size_bytes: Length of the body; None leaves it out.
            body: First bytes of the body.
        """
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if size_bytes is not None:
            fields["Content-Length"] = str(size_bytes)
        if self._closes_after():
            fields["Connection"] = "close"
        self.response_started = True
        line = httputil.ResponseStartLine(
            "HTTP/1.1", status, _REASON_PHRASES.get(status, "Unknown")
        )
        self._pending_bytes += len(body)
        self._start_write(
            lambda: self._connection.write_headers(line, fields, body)
        )
        self._record_held_bytes()

    def _write_next(self) -> None:
        """Writes all buffered bytes unless a write is still in flight."""
        if self.disconnected or self._write_in_flight or self._finished:
            return
        if self.aborted:
            # The response must not end as complete.
            return
        if self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            self._start_write(lambda: self._connection.write(data))
            return
        if self._finishing:
            self._finished = True
            try:
                self._connection.finish()
            except StreamClosedError:
                self.handle_close()

    def _evict(self) -> None:
        """Ends the response, as its caller has yet to read most bytes."""
        log_state_change("slow_caller_ended", unread_bytes=self._pending_bytes)
        self._pending.clear()
        self.aborted = True
        # This may be called while another connection is being written.
        asyncio.get_running_loop().call_soon(self.abort)

    def _record_held_bytes(self) -> None:
        """Records how many bytes the caller has yet to read."""
        if self._held_bytes is not None:
            self._held_bytes.resize(self._pending_bytes)

    def _start_write(self, write: Callable[[], asyncio.Future[None]]) -> None:
        """Starts one write on the connection; `_on_written` follows it."""
        self._write_in_flight = True
        try:
            future = write()
        except StreamClosedError:
            self.handle_close()
            return
        future.add_done_callback(self._on_written)

    def _on_written(self, done: asyncio.Future[None]) -> None:
        """Starts the next write after one has ended.

        Calls the drained callback if the caller has caught up.
        """
        self._write_in_flight = False
        if done.cancelled():
            return
        error = done.exception()
        if isinstance(error, StreamClosedError):
            self.handle_close()
            return
        if error is not None:
            _LOGGER.error("write_failed", extra={"reason": str(error)})
            self.abort()
            return
        was_full = self._pending_bytes >= MAX_PENDING_BYTES
        self._pending_bytes = sum(len(part) for part in self._pending)
        self._write_next()
        self._record_held_bytes()
        caught_up = was_full and self._pending_bytes < MAX_PENDING_BYTES
        if caught_up and self._on_drained is not None:
            self._on_drained()


def _error_headers(
    retry_after_seconds: float | None,
) -> list[tuple[str, str]]:
    """Returns the headers of an error response of the router itself."""
    headers = [("Content-Type", "application/json")]
    if retry_after_seconds is not None:
        headers.append(("Retry-After", f"{retry_after_seconds:.2f}"))
    return headers
