"""The tornado server and its handlers."""

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
    from mulberrypaddle.frontdoor.door import FrontDoor

# Kernel buffer of a connection to a caller.
SEND_SOCKET_BYTES = 32_768

# Headers above the bound are still read up to this multiple of it, so that
# their sender gets an answer; beyond that the connection is closed.
HEADER_FACTOR = 2


class _HealthHandler(tornado.web.RequestHandler):
    """Says that the process lives."""

    def get(self) -> None:
        """Answers with 200."""
        self.finish("ok\n")


class _ReadyHandler(tornado.web.RequestHandler):
    """Says whether the balancer may send new work."""

    def initialize(self, door: FrontDoor) -> None:
        """Takes what the handlers share."""
        self.door = door

    def get(self) -> None:
        """Answers with 200 or 503."""
        board = self.door.context.board
        if board.entry(keys.CONFIGURATION) is None:
            self.set_status(503)
            self.finish("no configuration\n")
            return
        closed = self.door.why_closed()
        if closed is not None:
            self.set_status(503)
            self.finish(f"{closed.kind.value}\n")
            return
        self.finish("ready\n")


class _MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics."""

    def get(self) -> None:
        """Answers in the Prometheus text format."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(prometheus_client.generate_latest())


def make_application(
    door: FrontDoor, operator_rules: list[Any]
) -> tornado.web.Application:
    """Returns the routes of the front door.

    Args:
        door: What the callers' handlers share.
        operator_rules: Routes of the operators' part.
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
    door: FrontDoor, operator_rules: list[Any]
) -> tornado.httpserver.HTTPServer:
    """Starts listening on the settings' caller address.

    Args:
        door: What the callers' handlers share.
        operator_rules: Routes of the operators' part.

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
        # Accepted connections inherit it.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_SOCKET_BYTES
        )
    server.add_sockets(sockets)
    return server
