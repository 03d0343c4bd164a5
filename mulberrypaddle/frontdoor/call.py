"""Answers callers' requests to services."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import TYPE_CHECKING

import tornado.web
from returns.result import Failure, Result, Success
from tornado.iostream import StreamClosedError

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.claims import KeptAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.frontdoor.headers import authenticate, build_request
from mulberrypaddle.frontdoor.input import check_body_size, check_headers
from mulberrypaddle.frontdoor.problem_handler import ProblemHandler
from mulberrypaddle.frontdoor.problems import problem_to_json
from mulberrypaddle.frontdoor.relay import CallerConnection, Relay, RelayMode
from mulberrypaddle.observe import metrics

if TYPE_CHECKING:
    from tornado.httputil import HTTPConnection

    from mulberrypaddle.backends import AnswerHead, Completion
    from mulberrypaddle.core.contract import Contract, ServiceTerms
    from mulberrypaddle.core.fleet import Service
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.frontdoor.door import FrontDoor


# Longest time for the whole body of a request.
UPLOAD_SECONDS = 30.0


class _FoundService:
    """A service and the contract of the caller that may use it."""

    __slots__ = ("contract", "service")

    def __init__(self, service: Service, *, contract: Contract) -> None:
        self.service = service
        self.contract = contract


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
        self._connection: HTTPConnection | None = None

    def start(self, head: AnswerHead, *, whole: bool) -> None:
        """Sets status and headers."""
        self._handler.set_status(head.status)
        self._handler.set_header("Content-Type", head.content_type)
        for name, value in head.headers:
            self._handler.add_header(name, value)
        if self._handler.door.stopping:
            self._handler.set_header("Connection", "close")
        if whole and head.size_bytes is not None:
            self._handler.set_header("Content-Length", str(head.size_bytes))

    def send(self, data: bytes) -> asyncio.Future[None]:
        """Writes bytes to the socket."""
        if self._connection is not None:
            # The head is out and nothing transforms the body.
            return self._connection.write(data)
        self._connection = self._handler.request.connection
        self._handler.write(data)
        return self._handler.flush()


@tornado.web.stream_request_body
class CallHandler(ProblemHandler):
    """Answers callers' requests to services."""

    def initialize(self, door: FrontDoor) -> None:
        """Takes what the handlers share."""
        self.door = door
        self._relay: Relay | None = None
        self._found: _FoundService
        self._parts: list[bytes] = []
        self._upload_bytes = 0
        self._upload_timer: asyncio.TimerHandle | None = None
        self.request_id = door.next_request_id()
        self.set_header("X-Request-Id", self.request_id)

    def compute_etag(self) -> str | None:
        """Leaves entity tags to the service."""
        return None

    def on_connection_close(self) -> None:
        """Cancels what runs for a caller that went away."""
        super().on_connection_close()
        self._end_upload()
        if self._relay is not None:
            self._relay.caller_gone()

    def on_finish(self) -> None:
        """Gives back what the upload held."""
        self._end_upload()

    def prepare(self) -> None:
        """Refuses what can be refused before the body is read."""
        connection = self.request.connection
        assert connection is not None
        # The bound is kept here, so that the caller gets an answer.
        connection.set_max_body_size(sys.maxsize)  # type: ignore[attr-defined]
        connection.set_body_timeout(None)  # type: ignore[attr-defined]
        problem = self.door.why_closed() or check_headers(
            self.request.headers,
            header_bytes=self.door.settings.header_bytes,
            body_bytes=self.door.settings.body_bytes,
        )
        if problem is None:
            found = self._find_service()
            if isinstance(found, Success):
                self._found = found.unwrap()
                self._upload_timer = asyncio.get_running_loop().call_later(
                    UPLOAD_SECONDS, self._upload_expired
                )
                return
            problem = found.failure()
        self._refuse_early(problem)

    def data_received(self, chunk: bytes) -> None:
        """Takes the next bytes of the body."""
        if self._finished:
            return
        problem = check_body_size(
            self._upload_bytes + len(chunk),
            body_bytes=self.door.settings.body_bytes,
        ) or self.door.hold_upload(len(chunk))
        if problem is not None:
            self._refuse_early(problem)
            return
        self._parts.append(chunk)
        self._upload_bytes += len(chunk)

    async def _answer(self, *_: str) -> None:
        """Answers the request, whatever its method."""
        self._stop_upload_timer()
        self.request.body = b"".join(self._parts)
        self._parts.clear()
        checked = self._check()
        if not isinstance(checked, Success):
            self._refuse_early(checked.failure())
            return
        call = checked.unwrap()
        relay = self._make_relay(call)
        self._relay = relay
        outcome = ErrorKind.INTERNAL.value
        self.door.begin_request()
        try:
            result = await self.door.pipeline.run(call.request, relay)
            await relay.all_sent()
            outcome = _outcome_of(result, relay)
            await self._end(result, relay)
        finally:
            relay.close()
            self._end_upload()
            self.door.end_request()
            metrics.DISCARDED_BYTES.inc(relay.late_bytes)
            metrics.REQUESTS.labels(call.service.name, outcome).inc()

    get = post = put = patch = delete = head = options = _answer

    def _refuse_early(self, problem: Problem) -> None:
        """Refuses a request for which nothing was attempted."""
        metrics.count_early_refusal(problem.kind.value)
        self._refuse(problem)

    def _upload_expired(self) -> None:
        self._refuse_early(
            Problem(
                ErrorKind.UPLOAD_TOO_SLOW,
                f"got {self._upload_bytes} bytes of the body in "
                f"{UPLOAD_SECONDS} s, allowed is the whole of it",
            )
        )

    def _stop_upload_timer(self) -> None:
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None

    def _end_upload(self) -> None:
        self._stop_upload_timer()
        self.door.drop_upload(self._upload_bytes)
        self._upload_bytes = 0
        self._parts.clear()

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
        relay: Relay,
    ) -> None:
        """Ends the answer cleanly only if all of it was sent."""
        if relay.ended is not None:
            self._note_cut(relay.ended)
            self._cut()
            return
        if not isinstance(result, Success):
            await self._end_with_problem(result.failure(), relay)
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

    def _find_service(self) -> Result[_FoundService, Problem]:
        entry = self.door.context.board.entry(keys.CONFIGURATION)
        if entry is None:
            return Failure(
                Problem(
                    ErrorKind.NOT_IN_FORCE,
                    "this router has not read its configuration yet",
                )
            )
        contract = authenticate(
            entry.value, self.request.headers.get("Authorization", "")
        )
        if not isinstance(contract, Success):
            return Failure(contract.failure())
        service = entry.value.services.get(self.path_args[0])
        if service is None:
            return Failure(
                Problem(
                    ErrorKind.UNKNOWN_SERVICE,
                    f"got service {self.path_args[0]!r}, which is not known",
                )
            )
        return Success(_FoundService(service, contract=contract.unwrap()))

    def _check(self) -> Result[_CheckedCall, Problem]:
        service = self._found.service
        contract = self._found.contract
        request = build_request(
            self.request,
            contract=contract,
            service=service,
            path="/" + (self.path_args[1] or ""),
            request_id=self.request_id,
            now_seconds=self.door.context.now_seconds(),
        )
        return request.map(
            lambda built: _CheckedCall(
                built, service=service, terms=contract.terms[service.name]
            )
        )

    def _refuse(self, problem: Problem) -> None:
        self.door.context.decide(
            "refuse",
            subject=self.request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            ran=problem.ran.value,
        )
        self.send_problem(problem)

    async def _end_with_problem(self, problem: Problem, relay: Relay) -> None:
        if not relay.started:
            relay.history.check_refusal(problem)
            self._refuse(problem)
            return
        # The head is out: an error event, then a cut, never a clean end.
        self._note_cut(problem)
        if relay.mode is RelayMode.EVENTS:
            body = problem_to_json(problem, request_id=self.request_id)
            self.write(f"event: error\ndata: {body}\n\n")
            with contextlib.suppress(StreamClosedError):
                await self.flush()
        self._cut()

    def _note_cut(self, problem: Problem) -> None:
        self.door.context.decide(
            "cut",
            subject=self.request_id,
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


def _outcome_of(
    result: Result[Completion | KeptAnswer, Problem], relay: Relay
) -> str:
    """Returns the outcome label of a request."""
    if relay.ended is not None:
        return relay.ended.kind.value
    if isinstance(result, Success):
        return metrics.ANSWERED
    return result.failure().kind.value
