"""The HTTP server that callers connect to."""

from __future__ import annotations

import asyncio
import errno
import logging
import re
import sys
from typing import TYPE_CHECKING, Any

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler, bind_sockets

from mulberrypaddle.serving.caller_connection import CallerConnection
from mulberrypaddle.serving.caller_request import CallerRequest
from mulberrypaddle.serving.caller_stream import CallerStream
from mulberrypaddle.serving.connection_limits import (
    CHECK_INTERVAL_SECONDS,
    ConnectionLimits,
)
from mulberrypaddle.serving.decision_log import log_request
from mulberrypaddle.serving.exchange import Exchange

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from mulberrypaddle.dispatch.stop_schedule import StopSchedule
    from mulberrypaddle.fleet.config import CallerLimits
    from mulberrypaddle.serving.blackboard import Blackboard

_LOGGER = logging.getLogger("mulberrypaddle.door")

# Limits that apply until a configuration is known; the values are those of the
# platform's example configuration. Heads up to the first one are always read.
DEFAULT_MAX_HEADER_BYTES = 65_536
DEFAULT_MAX_BODY_BYTES = 8_388_608
DEFAULT_IDLE_SECONDS = 60.0
DEFAULT_HEADER_SECONDS = 60.0

# Allowance for the request line, which limits on headers don't count.
REQUEST_LINE_BYTES = 8_192

# Delay before callers should retry that were refused for the bytes which other
# requests hold.
BUFFERS_FULL_RETRY_SECONDS = 1.0

_LENGTH = re.compile("[0-9]+")

# Connections that the kernel queues until this process accepts them.
LISTEN_BACKLOG = 512

# Pause between two checks for requests in flight while stopping.
STOP_POLL_SECONDS = 0.05

# Checks in a row without a request after which connections are closed: after a
# response, the next request of its connection may have been received already.
STOP_IDLE_POLLS = 2

# Errors of accept(2) that concern one queued connection, which it removes.
_FAILED_WHILE_QUEUED = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EPROTO,
    }
)


class CompleteRequest:
    """A request that was read completely and whose response may be due.

    Attributes:
        caller: Connection that the response is written to.
        target: Path and query of the request line.
        arrived_at_seconds: Loop time at which the request was complete.
        request_id: Id of the request; empty until its headers are parsed.
        exchange: Handles the request; None until its headers are parsed.
    """

    __slots__ = (
        "arrived_at_seconds",
        "caller",
        "exchange",
        "request_id",
        "target",
    )

    def __init__(
        self,
        caller: CallerConnection,
        *,
        target: str,
        arrived_at_seconds: float,
    ) -> None:
        self.caller = caller
        self.target = target
        self.arrived_at_seconds = arrived_at_seconds
        self.request_id = ""
        self.exchange: Exchange | None = None

    def log_unanswered(
        self,
        cause: str,
        *,
        now_seconds: float,
        stop: StopSchedule | None,
    ) -> None:
        """Logs that the request has got no complete response.

        Args:
            cause: What ended it.
            now_seconds: Loop time.
            stop: Schedule of the planned stop of this router; None before one.
        """
        fields: dict[str, object] = {}
        if stop is not None:
            # Negative for a request from before the signal.
            fields["after_signal"] = round(
                self.arrived_at_seconds - stop.signalled_at_seconds, 3
            )
        if self.exchange is not None:
            fields |= self.exchange.progress_fields()
        log_request(
            "unanswered",
            request_id=self.request_id,
            cause=cause,
            begun=self.caller.response_started,
            target=self.target,
            age=round(now_seconds - self.arrived_at_seconds, 3),
            **fields,
        )


def _announced_body_bytes(headers: httputil.HTTPHeaders) -> int:
    """Returns the length of a body by its header; 0 if that is not a number."""
    announced = headers.get("Content-Length", "")
    if _LENGTH.fullmatch(announced) is None:
        return 0
    try:
        return int(announced)
    except ValueError:
        # Python limits the digits of a number that it reads.
        return sys.maxsize


class _RequestReader(httputil.HTTPMessageDelegate):
    """Buffers one request and starts an `Exchange` once it is complete."""

    def __init__(
        self,
        caller_server: CallerServer,
        connection: HTTP1Connection,
        *,
        server_connection: object,
    ) -> None:
        self._caller_server = caller_server
        self._connection = connection
        self._stream: CallerStream = connection.stream  # type: ignore[assignment]
        self._server_connection = server_connection
        self._caller: CallerConnection | None = None
        self._start_line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        # Longest body that is read; the limit in force when the head arrived.
        self._limit_bytes = DEFAULT_MAX_BODY_BYTES
        self._held_bytes = caller_server.board.request_buffers.open(
            self._handle_eviction
        )
        # Whether the request was refused before all of it was read.
        self._refused = False
        # Whether this request is in the router's count of those being read.
        self._reading = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the request line and the headers of a request.

        A body that is announced to be too long is refused without being read.
        """
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._reading = True
        board = self._caller_server.board
        board.reading += 1
        self._caller_server.record_head(self._server_connection)
        if board.config is not None:
            self._limit_bytes = board.config.limits.body_bytes
        # tornado would refuse a longer body without a complete answer.
        self._connection.set_max_body_size(sys.maxsize)
        announced_bytes = _announced_body_bytes(headers)
        if announced_bytes > self._limit_bytes:
            self._refuse_body(announced_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body; refuses one that is too long."""
        self._size_bytes += len(chunk)
        if self._refused:
            return
        self._chunks.append(chunk)
        config = self._caller_server.board.config
        if self._size_bytes > self._limit_bytes and config is not None:
            self._limit_bytes = max(self._limit_bytes, config.limits.body_bytes)
        if self._size_bytes > self._limit_bytes:
            self._refuse_body(self._size_bytes)
            return
        self._held_bytes.resize(self._size_bytes)

    def _refuse_body(self, size_bytes: int) -> None:
        """Refuses a request whose body is too long; reads no more of it.

        Args:
            size_bytes: Number of bytes that were announced or have come.
        """
        self._refuse_unread(
            413,
            kind="too_large",
            detail=f"got {size_bytes} bytes, allowed are {self._limit_bytes}",
        )

    def _handle_eviction(self) -> None:
        """Refuses this request, as its body has most of too many bytes."""
        self._refused = True
        self._chunks.clear()
        # This may be called while another connection is being read.
        asyncio.get_running_loop().call_soon(self._refuse_evicted)

    def _refuse_evicted(self) -> None:
        """Refuses this request, unless its caller has gone."""
        if self._stream.closed():
            return
        self._refuse_unread(
            503,
            kind="overloaded",
            detail="too many bytes of requests are held",
            retry_after_seconds=BUFFERS_FULL_RETRY_SECONDS,
        )

    def _refuse_unread(
        self,
        status: int,
        *,
        kind: str,
        detail: str,
        retry_after_seconds: float | None = None,
    ) -> None:
        """Refuses a request of which no more is read.

        Args:
            status: HTTP status.
            kind: Kind of the refusal, for the log.
            detail: Why it is refused.
            retry_after_seconds: Delay before the caller should retry; None if
                it should not.
        """
        self._refused = True
        self._chunks.clear()
        self._held_bytes.release()
        complete = self._begin_response()
        codec = self._caller_server.board.header_codec
        try:
            fields = codec.parse_caller_headers(self._headers)
            complete.request_id = fields.request_id
        except Exception as error:  # noqa: BLE001 - the refusal needs no id
            _LOGGER.warning("unreadable_headers", extra={"reason": str(error)})
        log_request(
            "refused",
            request_id=complete.request_id,
            kind=kind,
            detail=detail,
        )
        self._stream.drains_on_close = True
        complete.caller.refuse_unread(
            status, detail=detail, retry_after_seconds=retry_after_seconds
        )

    def _begin_response(self) -> CompleteRequest:
        """Prepares the response to this request, of which no more is read."""
        assert self._start_line is not None
        self._finish_reading()
        self._stream.awaits_request = False
        board = self._caller_server.board
        caller = CallerConnection(
            self._connection,
            method=self._start_line.method,
            closes_after=lambda: board.stopping,
            buffers=board.answer_buffers,
        )
        self._caller = caller
        complete = CompleteRequest(
            caller,
            target=self._start_line.path,
            arrived_at_seconds=board.now(),
        )
        self._caller_server.record_request(self._server_connection, complete)
        return complete

    def finish(self) -> None:
        """Starts handling the request, which is now complete."""
        assert self._start_line is not None
        if self._refused:
            return
        board = self._caller_server.board
        self._held_bytes.pin()
        complete = self._begin_response()
        caller = complete.caller
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
        try:
            fields = board.header_codec.parse_caller_headers(self._headers)
        except Exception as error:  # noqa: BLE001 - tornado would only close
            _LOGGER.exception("request_failed", extra={"reason": str(error)})
            caller.send_error(500, detail="internal error")
            self._held_bytes.release()
            return
        complete.request_id = fields.request_id
        exchange = Exchange(board, caller, request=request, fields=fields)
        complete.exchange = exchange
        self._caller_server.start_exchange(
            exchange, caller, on_ended=self._held_bytes.release
        )

    def on_connection_close(self) -> None:
        """Drops the request, as the caller has closed the connection."""
        self._chunks.clear()
        if self._caller is None:
            self._held_bytes.release()
        self._finish_reading()
        # The close behind a refusal is no loss.
        if self._caller is not None and not self._refused:
            self._caller.handle_close()

    def _finish_reading(self) -> None:
        """Removes this request from the count of those being read."""
        if self._reading:
            self._reading = False
            self._caller_server.board.reading -= 1


class _ConnectionServer(HTTPServer):
    """HTTP server that also reports the close of connections.

    tornado reports only the start of each request to its delegate.
    """

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has been closed."""
        super().on_close(server_conn)
        delegate = self.request_callback
        assert isinstance(delegate, httputil.HTTPServerConnectionDelegate)
        delegate.on_close(server_conn)


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' connections and runs an `Exchange` for each request.

    Attributes:
        board: Shared state of the router.
    """

    def __init__(self, board: Blackboard) -> None:
        self.board = board
        self._tasks: set[asyncio.Task[None]] = set()
        self._exchanges: set[Exchange] = set()
        # Whether the process ends, so that no request is sent any more.
        self._ended = False
        self._sockets: list[socket.socket] = []
        # Each stops accepting connections on one of the sockets.
        self._stop_accepting: list[Callable[[], None]] = []
        self._limits = ConnectionLimits(
            idle_seconds=DEFAULT_IDLE_SECONDS,
            head_seconds=DEFAULT_HEADER_SECONDS,
        )
        # Open connections, by whether a request has arrived on them.
        self._unused_connections: set[object] = set()
        self._used_connections: set[object] = set()
        # The last complete request of a connection, until its response is
        # written and the next request is awaited.
        self._requests: dict[object, CompleteRequest] = {}
        self._server = _ConnectionServer(
            self,
            max_header_size=DEFAULT_MAX_HEADER_BYTES,
        )
        # tornado would close connections on the clock alone.
        self._server.conn_params.header_timeout = None

    def listen(self) -> None:
        """Starts to accept connections on the address of the settings."""
        host, port = self.board.settings.caller_address
        self._sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        for listener in self._sockets:
            self._stop_accepting.append(
                add_accept_handler(listener, self._handle_connection)
            )

    def _handle_connection(
        self, connection: socket.socket, address: tuple[Any, ...]
    ) -> None:
        """Serves an accepted connection."""
        self._server.handle_stream(CallerStream(connection), address)

    async def check_limits(self) -> None:
        """Closes connections on which no request arrives in time, forever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._limits.close_expired(self.board.now())

    def update_limits(self, limits: CallerLimits) -> None:
        """Applies the limits of a new configuration to all connections."""
        self._limits.update(
            idle_seconds=limits.idle_seconds,
            head_seconds=limits.header_seconds,
        )
        # A head that is awaited keeps its limit if the new one is lower.
        max_header_bytes = max(
            DEFAULT_MAX_HEADER_BYTES, limits.header_bytes + REQUEST_LINE_BYTES
        )
        self._server.conn_params.max_header_size = max_header_bytes
        for connection in [*self._unused_connections, *self._used_connections]:
            connection.stream.raise_head_limit(  # type: ignore[attr-defined]
                max_header_bytes
            )

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Returns the delegate that reads the next request of a connection."""
        self._end_request(server_conn)
        stream: CallerStream = request_conn.stream  # type: ignore[attr-defined]
        stream.awaits_request = True
        self._limits.start_waiting(server_conn, stream, self.board.now())
        if server_conn not in self._used_connections:
            self._unused_connections.add(server_conn)
        return _RequestReader(
            self,
            request_conn,  # type: ignore[arg-type]
            server_connection=server_conn,
        )

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection that has been closed."""
        self._unused_connections.discard(server_conn)
        self._used_connections.discard(server_conn)
        stream: CallerStream = server_conn.stream  # type: ignore[attr-defined]
        if stream.refused_status:
            self._limits.stop_waiting(server_conn)
            kind = (
                "too_large" if stream.refused_status == 431 else "bad_request"
            )
            log_request(
                "refused",
                request_id="",
                kind=kind,
                status=stream.refused_status,
                received_bytes=stream.received_bytes,
            )
        self._limits.record_closed(server_conn, self.board.now())
        self._end_request(server_conn)

    def _end_request(self, server_conn: object) -> None:
        """Forgets the last request of a connection; logs an unanswered one.

        tornado also awaits a further request of a connection that was closed.
        """
        request = self._requests.pop(server_conn, None)
        if request is None:
            return
        self.board.in_flight_count -= 1
        caller = request.caller
        if caller.response_ended and not caller.disconnected:
            return
        cause = "closed"
        stop = self.board.stop
        if stop is not None and self.board.now() >= stop.ends_at_seconds:
            cause = "stopped"
        elif caller.aborted:
            cause = "aborted"
        elif caller.disconnected:
            cause = "caller_closed"
        self._log_unanswered(request, cause)

    def record_head(self, server_conn: object) -> None:
        """Records that the head of a request has arrived on a connection."""
        self._limits.stop_waiting(server_conn)
        self._unused_connections.discard(server_conn)
        self._used_connections.add(server_conn)

    def record_request(
        self, server_conn: object, request: CompleteRequest
    ) -> None:
        """Counts a complete request as in flight until it is responded to."""
        self._requests[server_conn] = request
        self.board.in_flight_count += 1

    def log_interrupted(self) -> None:
        """Logs the requests that the end of this process interrupts."""
        for request in self._requests.values():
            self._log_unanswered(request, "stopped")

    def _log_unanswered(self, request: CompleteRequest, cause: str) -> None:
        """Logs that a request has got no complete response."""
        board = self.board
        request.log_unanswered(cause, now_seconds=board.now(), stop=board.stop)

    @property
    def connection_count(self) -> int:
        """Returns the number of open connections of callers."""
        return len(self._unused_connections) + len(self._used_connections)

    def start_exchange(
        self,
        exchange: Exchange,
        caller: CallerConnection,
        *,
        on_ended: Callable[[], None],
    ) -> None:
        """Starts an exchange as a task.

        Args:
            exchange: Handles the request.
            caller: Connection that the response is written to.
            on_ended: Called when the request has been handled.
        """
        self._exchanges.add(exchange)
        if self._ended:
            exchange.end()
        task = asyncio.ensure_future(self._run_exchange(exchange, caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: on_ended())

    async def _run_exchange(
        self, exchange: Exchange, caller: CallerConnection
    ) -> None:
        """Runs an exchange, and fails its request if that gives no response.

        Unexpected errors are logged.
        """
        try:
            await exchange.run()
        except Exception as error:  # noqa: BLE001 - must not stop the process
            _LOGGER.exception("exchange_failed", extra={"reason": str(error)})
        finally:
            self._exchanges.discard(exchange)
        if caller.is_settled:
            return
        if caller.response_started:
            caller.abort()
        else:
            caller.send_error(500, detail="internal error")

    async def stop(
        self,
        *,
        quiet_seconds: float,
        until_seconds: float,
        exit_seconds: float,
    ) -> None:
        """Serves or ends what was accepted, then closes all connections.

        New connections aren't accepted. Between the last check for requests,
        read or not, and the close there is no turn of the event loop, so that
        no request is read which nobody would answer.

        Args:
            quiet_seconds: Time in which the first request of a connection is
                awaited.
            until_seconds: Loop time at which requests in flight are ended, and
                from which new ones are refused.
            exit_seconds: Loop time until which responses are written to slow
                callers, and requests are awaited that have begun to arrive;
                one more check follows.
        """
        self.stop_listening()
        board = self.board
        quiet_until_seconds = board.now() + quiet_seconds
        idle_polls = 0
        is_last_poll = False
        while True:
            now = board.now()
            if now >= until_seconds and not self._ended:
                self._end_exchanges()
            awaits_request = (
                self._unused_connections and now < quiet_until_seconds
            )
            idle_polls += 1
            if (
                awaits_request
                or board.in_flight_count
                or board.reading
                or self._limits.has_arriving_request()
            ):
                idle_polls = 0
            if idle_polls >= STOP_IDLE_POLLS or is_last_poll:
                break
            if now >= exit_seconds:
                # A process that is late has yet to refuse what has come.
                is_last_poll = True
            await asyncio.sleep(STOP_POLL_SECONDS)
        self._end_exchanges()
        for connection in [*self._unused_connections, *self._used_connections]:
            connection.stream.close()  # type: ignore[attr-defined]

    def _end_exchanges(self) -> None:
        """Ends all requests in flight, as the process ends."""
        self._ended = True
        for exchange in self._exchanges:
            exchange.end()

    def stop_listening(self) -> None:
        """Stops accepting new connections; open ones stay.

        Connections in the accept queue of the kernel are accepted first, since
        closing the listener would reset them.
        """
        for listener in self._sockets:
            self._accept_queued(listener)
        for stop_accepting in self._stop_accepting:
            stop_accepting()
        self._stop_accepting.clear()
        for listener in self._sockets:
            listener.close()
        self._sockets.clear()

    def _accept_queued(self, listener: socket.socket) -> None:
        """Accepts all connections that are in the accept queue now."""
        while True:
            try:
                connection, address = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _LOGGER.warning("accept_failed", extra={"reason": str(error)})
                if error.errno in _FAILED_WHILE_QUEUED:
                    continue
                return
            self._handle_connection(connection, address)
