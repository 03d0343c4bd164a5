"""HTTP server for the readiness check and the metrics of a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import generate_latest
from tornado import httputil
from tornado.httpserver import HTTPServer

from mulberrypaddle.serving.metrics import REGISTRY

if TYPE_CHECKING:
    from collections.abc import Callable

READY_PATH = "/ready"
METRICS_PATH = "/metrics"

# Port of the metrics on the VM's address, as set in deploy/system.toml.
METRICS_PORT = 9464


class ReadinessServer:
    """Serves the readiness check and the Prometheus metrics.

    The readiness check returns 200 while the router accepts new connections
    and 503 otherwise.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Creates a server that accepts no connections until `listen`.

        Args:
            is_ready: Returns whether the router accepts new connections.
        """
        self._is_ready = is_ready
        self._server = HTTPServer(self._handle_request)

    def listen(self, address: tuple[str, int]) -> None:
        """Starts to serve requests on an address of host and port."""
        self._server.listen(address[1], address=address[0])

    def _handle_request(self, request: httputil.HTTPServerRequest) -> None:
        """Writes the response to one request; unknown paths get 404."""
        status, body = 404, b""
        if request.path == READY_PATH:
            status = 200 if self._is_ready() else 503
        elif request.path == METRICS_PATH:
            status, body = 200, generate_latest(REGISTRY)
        connection = request.connection
        assert connection is not None
        connection.write_headers(
            httputil.ResponseStartLine(
                "HTTP/1.1", status, httputil.responses[status]
            ),
            httputil.HTTPHeaders({"Content-Length": str(len(body))}),
            body,
        )
        connection.finish()
