"""What the HTTP stand-ins share."""

from __future__ import annotations

import json
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

LOOPBACK = "127.0.0.1"


class JsonHandler(tornado.web.RequestHandler):
    """A handler that answers with JSON."""

    def send_json(self, status: int, value: Any) -> None:
        """Ends the request with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def parse_json_body(self) -> Any:
        """Returns the request's body as a JSON value."""
        return json.loads(self.request.body or b"{}")


class LocalServer:
    """A tornado server on the loopback address.

    Attributes:
        address: `host:port` on which it listens.
    """

    def __init__(
        self, application: tornado.web.Application, *, port: int = 0
    ) -> None:
        sockets = tornado.netutil.bind_sockets(port, LOOPBACK)
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        host, bound_port = sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound_port}"

    async def close(self) -> None:
        """Stops listening and closes every connection."""
        self._server.stop()
        await self._server.close_all_connections()


def free_port() -> int:
    """Returns a TCP port of the loopback address that is free now."""
    sockets = tornado.netutil.bind_sockets(0, LOOPBACK)
    port = sockets[0].getsockname()[1]
    for bound in sockets:
        bound.close()
    return int(port)
