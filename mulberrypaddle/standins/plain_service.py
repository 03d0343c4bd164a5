"""The stand-in for a plain service, such as a shop's order desk."""

from __future__ import annotations

import time
import uuid

import tornado.web

from mulberrypaddle.standins.web import JsonHandler, LocalServer


class PlainServiceState:
    """State of one plain runner.

    Attributes:
        runner_id: Name of the runner.
        incarnation: Changes with every start.
        runs: How often each request id was executed.
        aborts_after_run: If true, executes and then cuts the connection.
        dead: While true it cuts every connection.
        status: HTTP status of its answers.
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
    """Executes any call and tells how often it did."""

    def initialize(self, state: PlainServiceState) -> None:
        """Takes the service to serve."""
        self.state = state

    def prepare(self) -> None:
        """Executes the call, whatever its method."""
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
        connection = self.request.connection
        self._finished = True
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _ReportHandler(JsonHandler):
    """Reports that the service is up."""

    def initialize(self, state: PlainServiceState) -> None:
        """Takes the service to serve."""
        self.state = state

    def get(self) -> None:
        """Answers in the form that engines use."""
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


def serve_plain_service(state: PlainServiceState, *, port: int = 0) -> LocalServer:
    """Starts the stand-in on the loopback address."""
    arguments = {"state": state}
    application = tornado.web.Application(
        [
            (r"/v1/report", _ReportHandler, arguments),
            (r"/.*", _CallHandler, arguments),
        ]
    )
    return LocalServer(application, port=port)
