"""The tornado server and its handlers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import prometheus_client
import tornado.httpserver
import tornado.netutil
import tornado.web
from returns.result import Failure, Result, Success

from mulberrypaddle.backends import AnswerSink
from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.claims import KeptAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.frontdoor.headers import authenticate, build_request
from mulberrypaddle.frontdoor.problems import problem_to_json

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.frontdoor.pipeline import Pipeline
    from mulberrypaddle.settings import RouterSettings


class FrontDoor:
    """What the handlers share.

    Attributes:
        context: The router's context, with its blackboard.
        pipeline: Answers checked requests.
        settings: Bounds of this process.
    """

    __slots__ = ("_numbers", "context", "pipeline", "settings")

    def __init__(
        self, *, context: Context, pipeline: Pipeline, settings: RouterSettings
    ) -> None:
        self.context = context
        self.pipeline = pipeline
        self.settings = settings
        self._numbers = itertools.count(1)

    def next_request_id(self) -> str:
        """Returns an id that no other request of the fleet has."""
        context = self.context
        number = next(self._numbers)
        return f"r-{context.member_id}-{context.incarnation}-{number}"


class _HandlerSink(AnswerSink):
    """Writes an answer to the caller's connection."""

    def __init__(self, handler: _CallHandler) -> None:
        self._handler = handler
        self.started = False

    def start(self, status: int, content_type: str) -> None:
        """Sends the head."""
        self.started = True
        self._handler.set_status(status)
        self._handler.set_header("Content-Type", content_type)

    def write(self, data: bytes) -> None:
        """Sends the next bytes."""
        self._handler.write(data)
        self._handler.flush()


class _CallHandler(tornado.web.RequestHandler):
    """Answers callers' requests to services."""

    def initialize(self, door: FrontDoor) -> None:
        """Takes what the handlers share."""
        self.door = door

    async def prepare(self) -> None:
        """Answers the request, whatever its method."""
        request_id = self.door.next_request_id()
        self.set_header("X-Request-Id", request_id)
        checked = self._check(request_id)
        if not isinstance(checked, Success):
            self._refuse(checked.failure(), request_id)
            return
        sink = _HandlerSink(self)
        result = await self.door.pipeline.run(checked.unwrap(), sink)
        if not isinstance(result, Success):
            self._end_with_problem(result.failure(), request_id, sink)
            return
        completed = result.unwrap()
        if isinstance(completed, KeptAnswer):
            self.set_status(completed.status)
            self.set_header("Content-Type", completed.content_type)
            self.set_header("Idempotency-Replayed", "true")
            self.write(completed.body)
        await self.finish()

    def _check(self, request_id: str) -> Result[Request, Problem]:
        context = self.door.context
        entry = context.board.entry(keys.CONFIGURATION)
        if entry is None:
            return Failure(
                Problem(
                    ErrorKind.NOT_IN_FORCE,
                    "this router has not read its configuration yet",
                )
            )
        configuration = entry.value
        contract = authenticate(
            configuration, self.request.headers.get("Authorization", "")
        )
        if not isinstance(contract, Success):
            return Failure(contract.failure())
        service = configuration.services.get(self.path_args[0])
        if service is None:
            return Failure(
                Problem(
                    ErrorKind.UNKNOWN_SERVICE,
                    f"got service {self.path_args[0]!r}, which is not known",
                )
            )
        return build_request(
            self.request,
            contract=contract.unwrap(),
            service=service,
            path="/" + (self.path_args[1] or ""),
            request_id=request_id,
            now_seconds=context.now_seconds(),
        )

    def _refuse(self, problem: Problem, request_id: str) -> None:
        answer = problem.answer
        self.set_status(answer.status)
        self.set_header("Content-Type", "application/problem+json")
        if answer.retry_after_seconds is not None:
            self.set_header("Retry-After", str(answer.retry_after_seconds))
        self.door.context.decide(
            "refuse",
            subject=request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            ran=problem.ran.value,
        )
        self.finish(problem_to_json(problem, request_id=request_id))

    def _end_with_problem(
        self, problem: Problem, request_id: str, sink: _HandlerSink
    ) -> None:
        if not sink.started:
            self._refuse(problem, request_id)
            return
        # The head is out: an error event, then a cut, never a clean end.
        body = problem_to_json(problem, request_id=request_id)
        self.write(f"event: error\ndata: {body}\n\n")
        self.flush()
        connection = self.request.connection
        self._finished = True
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


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
        health = board.entry(keys.HEALTH)
        if board.entry(keys.CONFIGURATION) is None:
            self.set_status(503)
            self.finish("no configuration\n")
            return
        if health is not None and (
            health.value.stopping or health.value.isolated
        ):
            self.set_status(503)
            self.finish("stopping or isolated\n")
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
            (r"/services/([a-z0-9-]+)(?:/(.*))?", _CallHandler, arguments),
            *operator_rules,
        ]
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
        max_header_size=door.settings.header_bytes,
        idle_connection_timeout=120,
        body_timeout=60,
    )
    server.add_sockets(tornado.netutil.bind_sockets(int(port), host))
    return server
