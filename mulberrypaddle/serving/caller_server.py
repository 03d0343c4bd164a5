"""The HTTP server that callers connect to."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.serving.caller_connection import CallerConnection
from mulberrypaddle.serving.caller_request import CallerRequest
from mulberrypaddle.serving.exchange import Exchange

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

    from mulberrypaddle.serving.blackboard import Blackboard

_LOGGER = logging.getLogger("mulberrypaddle.door")

# Limits that apply until a configuration is known; the values are those of the
# platform's example configuration.
DEFAULT_MAX_HEADER_BYTES = 65_536
DEFAULT_MAX_BODY_BYTES = 8_388_608
DEFAULT_IDLE_SECONDS = 60.0

# Connections that the kernel queues until this process accepts them.
LISTEN_BACKLOG = 512


class _RequestReader(httputil.HTTPMessageDelegate):
    """Buffers one request and starts an `Exchange` once it is complete."""

    def __init__(
        self, caller_server: CallerServer, connection: HTTP1Connection
    ) -> None:
        self._caller_server = caller_server
        self._connection = connection
        self._caller: CallerConnection | None = None
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        # Whether this request is in the router's count of those being read.
        self._reading = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the request line and the headers of a request."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._reading = True
        self._caller_server.board.reading += 1

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body."""
        self._size_bytes += len(chunk)
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Starts handling the request, which is now complete."""
        assert self._start_line is not None
        self._finish_reading()
        board = self._caller_server.board
        caller = CallerConnection(self._connection, close_after=board.stopping)
        self._caller = caller
        # Once a request is complete, only this callback reports that its
        # caller has closed the connection.
        self._connection.set_close_callback(caller.handle_close)
        request = CallerRequest(
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
            caller.send_error(
                413,
                detail=f"got {self._size_bytes} bytes, allowed are "
                f"{board.config.limits.body_bytes}",
            )
            return
        exchange = Exchange(
            board,
            caller,
            request=request,
            fields=board.header_codec.parse_caller_headers(self._headers),
        )
        self._caller_server.start_exchange(exchange, caller)

    def on_connection_close(self) -> None:
        """Drops the request, as the caller has closed the connection."""
        self._chunks.clear()
        self._finish_reading()
        if self._caller is not None:
            self._caller.handle_close()

    def _finish_reading(self) -> None:
        """Removes this request from the count of those being read."""
        if self._reading:
            self._reading = False
            board = self._caller_server.board
            board.reading -= 1
            board.last_request_at = board.now()


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' connections and runs an `Exchange` for each request.

    Attributes:
        board: Shared state of the router.
    """

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(
            self,
            idle_connection_timeout=DEFAULT_IDLE_SECONDS,
            max_header_size=DEFAULT_MAX_HEADER_BYTES,
            max_body_size=DEFAULT_MAX_BODY_BYTES,
        )

    def listen(self) -> None:
        """Starts to accept connections on the address of the settings."""
        host, port = self.board.settings.caller_address
        self._server.listen(port, address=host, backlog=LISTEN_BACKLOG)

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that reads the next request of a connection."""
        config = self.board.config
        if config is not None:
            # tornado's timeout runs while the connection is idle and while the
            # headers are read. Callers reuse connections that were idle for
            # nearly the whole limit, so both limits are added.
            params = request_conn.params  # type: ignore[attr-defined]
            params.header_timeout = config.limits.idle_seconds + (
                config.limits.header_seconds
            )
        return _RequestReader(self, request_conn)  # type: ignore[arg-type]

    def start_exchange(
        self, exchange: Exchange, caller: CallerConnection
    ) -> None:
        """Starts an exchange as a task and counts it as in flight."""
        self.board.in_flight_count += 1
        task = asyncio.ensure_future(self._run_exchange(exchange, caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_exchange(
        self, exchange: Exchange, caller: CallerConnection
    ) -> None:
        """Runs an exchange; an unexpected error is logged and answered 500."""
        try:
            await exchange.run()
        except Exception as error:  # noqa: BLE001 - must not stop the process
            _LOGGER.exception("exchange_failed", extra={"reason": str(error)})
            if caller.response_started:
                caller.abort()
            else:
                caller.send_error(500, detail="internal error")
        finally:
            self.board.in_flight_count -= 1

    def stop_listening(self) -> None:
        """Stops accepting new connections; open ones stay."""
        self._server.stop()
