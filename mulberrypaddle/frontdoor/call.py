"""Answers callers' requests to services."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import tornado.web
from returns.result import Failure, Result, Success
from tornado.iostream import StreamClosedError

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.claims import KeptAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.frontdoor.headers import authenticate, build_request
from mulberrypaddle.frontdoor.problems import problem_to_json
from mulberrypaddle.frontdoor.relay import CallerConnection, Relay, RelayMode

if TYPE_CHECKING:
    import asyncio

    from mulberrypaddle.backends import AnswerHead, Completion
    from mulberrypaddle.core.contract import ServiceTerms
    from mulberrypaddle.core.fleet import Service
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.frontdoor.door import FrontDoor


class _CheckedCall:
    """A request with the service and the terms that it falls under."""

    __slots__ = ("request", "service", "terms")

    def __init__(
        self, request: Request, *, service: Service, terms: ServiceTerms
    ) -> None:
        self.request = request
        self.service = service
        self.terms = terms


class _HandlerCaller(CallerConnection):
    """Writes an answer to the caller's connection."""

    def __init__(self, handler: CallHandler) -> None:
        self._handler = handler

    def start(self, head: AnswerHead, *, whole: bool) -> None:
        """Sets status and headers."""
        self._handler.set_status(head.status)
        self._handler.set_header("Content-Type", head.content_type)
        for name, value in head.headers:
            self._handler.add_header(name, value)
        if whole and head.size_bytes is not None:
            self._handler.set_header("Content-Length", str(head.size_bytes))

    def send(self, data: bytes) -> asyncio.Future[None]:
        """Writes bytes to the socket."""
        self._handler.write(data)
        return self._handler.flush()


class CallHandler(tornado.web.RequestHandler):
    """Answers callers' requests to services."""

    def initialize(self, door: FrontDoor) -> None:
        """Takes what the handlers share."""
        self.door = door
        self._relay: Relay | None = None

    def compute_etag(self) -> str | None:
        """Leaves entity tags to the service."""
        return None

    def on_connection_close(self) -> None:
        """Cancels what runs for a caller that went away."""
        if self._relay is not None:
            self._relay.caller_gone()

    async def prepare(self) -> None:
        """Answers the request, whatever its method."""
        request_id = self.door.next_request_id()
        self.set_header("X-Request-Id", request_id)
        checked = self._check(request_id)
        if not isinstance(checked, Success):
            self._refuse(checked.failure(), request_id)
            return
        call = checked.unwrap()
        relay = self._make_relay(call)
        self._relay = relay
        try:
            result = await self.door.pipeline.run(call.request, relay)
            await relay.all_sent()
            await self._end(result, request_id, relay)
        finally:
            relay.close()

    def _make_relay(self, call: _CheckedCall) -> Relay:
        is_engine = call.service.kind is ServiceKind.ENGINE
        return Relay(
            _HandlerCaller(self),
            memory=self.door.memory,
            organisation=call.request.organisation,
            terms=call.terms,
            takes_events=is_engine,
            resumable=is_engine and call.request.idempotent,
        )

    async def _end(
        self,
        result: Result[Completion | KeptAnswer, Problem],
        request_id: str,
        relay: Relay,
    ) -> None:
        """Ends the answer cleanly only if all of it was sent."""
        if relay.ended is not None:
            self._note_cut(relay.ended, request_id)
            self._cut()
            return
        if not isinstance(result, Success):
            await self._end_with_problem(result.failure(), request_id, relay)
            return
        completed = result.unwrap()
        if isinstance(completed, KeptAnswer):
            self.set_status(completed.status)
            self.set_header("Content-Type", completed.content_type)
            self.set_header("Idempotency-Replayed", "true")
            self.write(completed.body)
        else:
            relay.check_whole()
        with contextlib.suppress(StreamClosedError):
            await self.finish()

    def _check(self, request_id: str) -> Result[_CheckedCall, Problem]:
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
        found = contract.unwrap()
        request = build_request(
            self.request,
            contract=found,
            service=service,
            path="/" + (self.path_args[1] or ""),
            request_id=request_id,
            now_seconds=context.now_seconds(),
        )
        return request.map(
            lambda built: _CheckedCall(
                built, service=service, terms=found.terms[service.name]
            )
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

    async def _end_with_problem(
        self, problem: Problem, request_id: str, relay: Relay
    ) -> None:
        if not relay.started:
            relay.history.check_refusal(problem)
            self._refuse(problem, request_id)
            return
        # The head is out: an error event, then a cut, never a clean end.
        self._note_cut(problem, request_id)
        if relay.mode is RelayMode.EVENTS:
            body = problem_to_json(problem, request_id=request_id)
            self.write(f"event: error\ndata: {body}\n\n")
            with contextlib.suppress(StreamClosedError):
                await self.flush()
        self._cut()

    def _note_cut(self, problem: Problem, request_id: str) -> None:
        self.door.context.decide(
            "cut",
            subject=request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            ran=problem.ran.value,
        )

    def _cut(self) -> None:
        """Closes the connection with the answer unfinished."""
        self._finished = True
        connection = self.request.connection
        if connection is not None:
            connection.close()  # type: ignore[attr-defined]
