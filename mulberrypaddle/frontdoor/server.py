"""The tornado server, its routes, and the health and metrics handlers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import prometheus_client
import tornado.httpserver
import tornado.netutil
import tornado.web

from mulberrypaddle.blackboard import keys
from mulberrypaddle.frontdoor.call import CallHandler
from mulberrypaddle.frontdoor.problem_handler import UnknownPathHandler

if TYPE_CHECKING:
    from mulberrypaddle.frontdoor.shared_state import FrontDoorState

# Size of the kernel's send buffer of a connection to a caller.
SEND_SOCKET_BYTES = 32_768

# Headers above the limit are still read up to this multiple of it, so that the
# caller gets an answer; beyond that the connection is closed.
HEADER_FACTOR = 2


class _HealthHandler(tornado.web.RequestHandler):
    """Liveness check: the process is running."""

    def get(self) -> None:
        """Answers with 200."""
        self.finish("ok\n")


class _ReadyHandler(tornado.web.RequestHandler):
    """Readiness check: the load balancer may send new requests."""

    def initialize(self, door: FrontDoorState) -> None:
        """Stores the state that the handlers share."""
        self.door = door

    def get(self) -> None:
        """Answers with 200 if new requests are accepted, else with 503."""
        board = self.door.context.board
        if board.entry(keys.CONFIGURATION) is None:
            self.set_status(503)
            self.finish("no configuration\n")
            return
        closed = self.door.refusal_reason()
        if closed is not None:
            self.set_status(503)
            self.finish(f"{closed.kind.value}\n")
            return
        self.finish("ready\n")


class _MetricsHandler(tornado.web.RequestHandler):
    """Serves the process's metrics."""

    def get(self) -> None:
        """Answers in the Prometheus text format."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest())


def make_application(
    door: FrontDoorState, operator_rules: list[Any]
) -> tornado.web.Application:
    """Returns the web application with all routes.

    Args:
        door: State that the callers' handlers share.
        operator_rules: Routes of the operators' API.
    """
    arguments = {"door": door}
    return tornado.web.Application(
        [
            (r"/healthz", _HealthHandler),
            (r"/readyz", _ReadyHandler, arguments),
            (r"/metrics", _MetricsHandler),
            (r"/services/([a-z0-9-]+)(?:/(.*))?", CallHandler, arguments),
            *operator_rules,
        ],
        default_handler_class=UnknownPathHandler,
    )


def serve_front_door(
    door: FrontDoorState, operator_rules: list[Any]
) -> tornado.httpserver.HTTPServer:
    """Starts the server on the caller address of the settings.

    Args:
        door: State that the callers' handlers share.
        operator_rules: Routes of the operators' API.

    Raises:
        OSError: If the address can't be bound.
    """
    host, port = door.settings.caller_address.rsplit(":", 1)
    server = tornado.httpserver.HTTPServer(
        make_application(door, operator_rules),
        max_body_size=door.settings.body_bytes,
        max_header_size=HEADER_FACTOR * door.settings.header_bytes,
        idle_connection_timeout=120,
        body_timeout=60,
    )
    sockets = tornado.netutil.bind_sockets(int(port), host)
    for listener in sockets:
        # Accepted connections inherit the buffer size.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_SOCKET_BYTES
        )
    server.add_sockets(sockets)
    return server
