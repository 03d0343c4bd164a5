"""The HTTP server that callers connect to."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.serving.caller import Caller
from mulberrypaddle.serving.exchange import Exchange
from mulberrypaddle.serving.request_line import RequestLine

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

    from mulberrypaddle.serving.board import ServingBoard

_LOGGER = logging.getLogger("mulberrypaddle.door")

# Bounds until a configuration is known; those of the platform's example.
HEADER_BYTES = 65_536
BODY_BYTES = 8_388_608
IDLE_SECONDS = 60.0

# New connections that the kernel holds until they are taken.
BACKLOG = 512


class _Incoming(httputil.HTTPMessageDelegate):
    """Collects one request and starts its exchange."""

    def __init__(self, door: Door, connection: HTTP1Connection) -> None:
        self._door = door
        self._connection = connection
        self._caller: Caller | None = None
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._reading = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Takes the head of a request."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._reading = True
        self._door.board.reading += 1

    def data_received(self, chunk: bytes) -> None:
        """Takes a part of the body."""
        self._size_bytes += len(chunk)
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Answers the request, which is now whole."""
        assert self._start_line is not None
        self._stop_reading()
        board = self._door.board
        caller = Caller(self._connection, close_after=board.stopping)
        self._caller = caller
        # Once a request is whole, only this tells that its caller has left.
        self._connection.set_close_callback(caller.left)
        line = RequestLine(
            self._start_line.method,
            target=self._start_line.path,
            host=self._headers.get("Host", ""),
            body=b"".join(self._chunks),
        )
        self._chunks.clear()
        if (
            board.config is not None
            and self._size_bytes > board.config.limits.body_bytes
        ):
            caller.refuse(
                413,
                detail=f"got {self._size_bytes} bytes, allowed are "
                f"{board.config.limits.body_bytes}",
            )
            return
        exchange = Exchange(
            board,
            caller,
            line=line,
            fields=board.dialect.read_caller(self._headers),
        )
        self._door.run(exchange, caller)

    def on_connection_close(self) -> None:
        """Learns that the caller has left."""
        self._chunks.clear()
        self._stop_reading()
        if self._caller is not None:
            self._caller.left()

    def _stop_reading(self) -> None:
        if self._reading:
            self._reading = False
            board = self._door.board
            board.reading -= 1
            board.last_request_at = board.now()


class Door(httputil.HTTPServerConnectionDelegate):
    """Takes callers' connections and runs an exchange for each request.

    Attributes:
        board: State of the router.
    """

    def __init__(self, board: ServingBoard) -> None:
        self.board = board
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(
            self,
            idle_connection_timeout=IDLE_SECONDS,
            max_header_size=HEADER_BYTES,
            max_body_size=BODY_BYTES,
        )

    def listen(self) -> None:
        """Starts to take connections."""
        host, port = self.board.settings.caller_address
        self._server.listen(port, address=host, backlog=BACKLOG)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns what takes the next request of a connection."""
        config = self.board.config
        if config is not None:
            # Callers reuse connections that were idle for most of the limit.
            params = request_conn.params  # type: ignore[attr-defined]
            params.header_timeout = config.limits.idle_seconds + (
                config.limits.header_seconds
            )
        return _Incoming(self, request_conn)  # type: ignore[arg-type]

    def run(self, exchange: Exchange, caller: Caller) -> None:
        """Runs an exchange to its end."""
        self.board.in_hand += 1
        task = asyncio.ensure_future(self._run(exchange, caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, exchange: Exchange, caller: Caller) -> None:
        try:
            await exchange.run()
        except Exception as error:  # noqa: BLE001 - must not end the process
            _LOGGER.exception("exchange_failed", extra={"reason": str(error)})
            if caller.started:
                caller.cut()
            else:
                caller.refuse(500, detail="internal error")
        finally:
            self.board.in_hand -= 1

    def stop_listening(self) -> None:
        """Takes no new connections."""
        self._server.stop()
