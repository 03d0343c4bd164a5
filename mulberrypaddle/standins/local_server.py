"""HTTP server and request handler shared by the stand-ins."""

from __future__ import annotations

import json
from typing import Any

import tornado.httpserver
import tornado.netutil
import tornado.web

LOOPBACK = "127.0.0.1"


class JsonHandler(tornado.web.RequestHandler):
    """Base of request handlers with JSON bodies."""

    def send_json(self, status: int, value: Any) -> None:
        """Sends a response with a JSON body and ends the request."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def parse_json_body(self) -> Any:
        """Returns the request's JSON body; an empty body is an empty dict."""
        return json.loads(self.request.body or b"{}")


class LocalServer:
    """A tornado HTTP server on the loopback address.

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
