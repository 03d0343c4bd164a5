"""HTTP stand-in for a plain service, such as a shop's order service."""

from __future__ import annotations

import time
import uuid

import tornado.web

from mulberrypaddle.standins.local_server import JsonHandler, LocalServer


class PlainServiceState:
    """State and injected faults of one plain service.

    Attributes:
        runner_id: Name of the runner.
        incarnation: Random id of this start.
        started_at_seconds: Monotonic time of the start.
        runs: How often each request id was executed.
        aborts_after_run: If true, a request is executed and then its
            connection aborted without a response.
        dead: While true, every connection is aborted without executing the
            request.
        status: HTTP status of the responses.
    """

    def __init__(self, runner_id: str) -> None:
        self.runner_id = runner_id
        self.incarnation = uuid.uuid4().hex
        self.started_at_seconds = time.monotonic()
        self.runs: dict[str, int] = {}
        self.aborts_after_run = False
        self.dead = False
        self.status = 200


class _CallHandler(JsonHandler):
    """Executes any request and counts the executions."""

    def initialize(self, state: PlainServiceState) -> None:
        """Sets the service to serve; called by tornado for each request."""
        self.state = state

    def prepare(self) -> None:
        """Executes the request, whatever its method, and echoes it."""
        request_id = self.request.headers.get("X-Request-Id", "")
        if self.state.dead:
            self._abort_connection()
            return
        self.state.runs[request_id] = self.state.runs.get(request_id, 0) + 1
        if self.state.aborts_after_run:
            self._abort_connection()
            return
        self.set_header("X-Inner", "not for callers")
        if self.state.status == 503:
            self.set_header("Retry-After", "7")
        self.send_json(
            self.state.status,
            {
                "runner_id": self.state.runner_id,
                "uri": self.request.uri,
                "headers": dict(self.request.headers),
                "method": self.request.method,
                "path": self.request.path,
                "body": self.request.body.decode(errors="replace"),
            },
        )

    def _abort_connection(self) -> None:
        """Closes the connection without a response."""
        connection = self.request.connection
        self._finished = True
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _ReportHandler(JsonHandler):
    """Serves the load report of the service, which is always ready."""

    def initialize(self, state: PlainServiceState) -> None:
        """Sets the service to serve; called by tornado for each request."""
        self.state = state

    def get(self) -> None:
        """Returns a report in the same form as an engine's."""
        self.send_json(
            200,
            {
                "runner_id": self.state.runner_id,
                "incarnation": self.state.incarnation,
                "age_seconds": 0.0,
                "uptime_seconds": time.monotonic()
                - self.state.started_at_seconds,
                "running_requests": 0,
                "held_tokens": 0,
                "ready": True,
            },
        )


def serve_plain_service(
    state: PlainServiceState, *, port: int = 0
) -> LocalServer:
    """Starts the service's HTTP server on the loopback address."""
    arguments = {"state": state}
    application = tornado.web.Application(
        [
            (r"/v1/report", _ReportHandler, arguments),
            (r"/.*", _CallHandler, arguments),
        ]
    )
    return LocalServer(application, port=port)
