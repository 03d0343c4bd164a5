"""The HTTP handler for callers' requests to services."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import TYPE_CHECKING

import tornado.web
from returns.result import Failure, Result, Success
from tornado.iostream import StreamClosedError

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.claims import StoredAnswer
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.frontdoor.input_checks import check_body_size, check_headers
from mulberrypaddle.frontdoor.problem_handler import ProblemHandler
from mulberrypaddle.frontdoor.problems import problem_to_json
from mulberrypaddle.frontdoor.relay import CallerConnection, Relay, RelayMode
from mulberrypaddle.frontdoor.request_builder import authenticate, build_request
from mulberrypaddle.observe import metrics

if TYPE_CHECKING:
    from tornado.httputil import HTTPConnection

    from mulberrypaddle.backends import AnswerHead, AttemptCompletion
    from mulberrypaddle.core.contract import Contract, ServiceTerms
    from mulberrypaddle.core.fleet import Service
    from mulberrypaddle.core.request import Request
    from mulberrypaddle.frontdoor.shared_state import FrontDoorState


# Time limit for receiving the complete body of a request.
UPLOAD_TIMEOUT_SECONDS = 30.0


class _FoundService:
    """The requested service and the contract of the caller.

    Found from the path and the bearer key, before the body is read.
    """

    __slots__ = ("contract", "service")

    def __init__(self, service: Service, *, contract: Contract) -> None:
        self.service = service
        self.contract = contract


class _CheckedCall:
    """A validated request, its service and the contract terms for it."""

    __slots__ = ("request", "service", "terms")

    def __init__(
        self, request: Request, *, service: Service, terms: ServiceTerms
    ) -> None:
        self.request = request
        self.service = service
        self.terms = terms


class _HandlerConnection(CallerConnection):
    """Writes an answer to the caller through its tornado handler."""

    def __init__(self, handler: CallHandler) -> None:
        self._handler = handler
        self._connection: HTTPConnection | None = None

    def start(self, head: AnswerHead, *, keep_length: bool) -> None:
        """Sets the status and headers; they go out with the first bytes."""
        self._handler.set_status(head.status)
        self._handler.set_header("Content-Type", head.content_type)
        for name, value in head.headers:
            self._handler.add_header(name, value)
        if self._handler.door.stopping:
            self._handler.set_header("Connection", "close")
        if keep_length and head.size_bytes is not None:
            self._handler.set_header("Content-Length", str(head.size_bytes))

    def send(self, data: bytes) -> asyncio.Future[None]:
        """Writes bytes to the socket; the first write sends the head too."""
        if self._connection is not None:
            # The head was sent, and no output transform is in use: skip
            # the handler's buffering.
            return self._connection.write(data)
        self._connection = self._handler.request.connection
        self._handler.write(data)
        return self._handler.flush()


@tornado.web.stream_request_body
class CallHandler(ProblemHandler):
    """Validates a request, runs it through the pipeline and ends the answer.

    The body is received in chunks, so that size, memory and time limits
    apply while it arrives.
    """

    def initialize(self, door: FrontDoorState) -> None:
        """Stores the shared state and assigns a request id."""
        self.door = door
        self._relay: Relay | None = None
        self._found: _FoundService
        self._body_chunks: list[bytes] = []
        self._upload_bytes = 0
        self._upload_timer: asyncio.TimerHandle | None = None
        self.request_id = door.next_request_id()
        self.set_header("X-Request-Id", self.request_id)

    def compute_etag(self) -> str | None:
        """Adds no entity tag: that is up to the service."""
        return None

    def on_connection_close(self) -> None:
        """Cancels the attempt of a caller that closed its connection."""
        super().on_connection_close()
        self._discard_upload()
        if self._relay is not None:
            self._relay.on_caller_disconnect()

    def end(self) -> None:
        """Ends the request because the process ends.

        It is answered, unless its answer has begun: that is aborted.
        """
        relay = self._relay
        if relay is None or relay.end_reason is not None:
            return
        kind = ErrorKind.DEADLINE_PASSED
        if relay.history.known_not_run:
            kind = ErrorKind.SHUTTING_DOWN
        problem = Problem(kind, "this router ended before the answer")
        answer_begun = relay.started
        relay.terminate(problem)
        if not answer_begun:
            self._refuse(problem)

    def on_finish(self) -> None:
        """Releases the memory of the request body."""
        self._discard_upload()

    def prepare(self) -> None:
        """Checks limits, headers, key and service before reading the body."""
        connection = self.request.connection
        assert connection is not None
        # `data_received` and the upload timer enforce the limits instead of
        # tornado, so that the caller gets a problem document.
        connection.set_max_body_size(sys.maxsize)  # type: ignore[attr-defined]
        connection.set_body_timeout(None)  # type: ignore[attr-defined]
        problem = self.door.refusal_reason() or check_headers(
            self.request.headers,
            header_bytes=self.door.settings.header_bytes,
            body_bytes=self.door.settings.body_bytes,
        )
        if problem is None:
            found = self._find_service()
            if isinstance(found, Success):
                self._found = found.unwrap()
                self._upload_timer = asyncio.get_running_loop().call_later(
                    UPLOAD_TIMEOUT_SECONDS, self._on_upload_timeout
                )
                return
            problem = found.failure()
        self._refuse_early(problem)

    def data_received(self, chunk: bytes) -> None:
        """Buffers the next bytes of the body, within size and memory limits."""
        if self._finished:
            return
        problem = check_body_size(
            self._upload_bytes + len(chunk),
            body_bytes=self.door.settings.body_bytes,
        ) or self.door.reserve_upload(len(chunk))
        if problem is not None:
            self._refuse_early(problem)
            return
        self._body_chunks.append(chunk)
        self._upload_bytes += len(chunk)

    async def _answer(self, *_: str) -> None:
        """Answers the request once its body is complete, for any method."""
        self._stop_upload_timer()
        self.request.body = b"".join(self._body_chunks)
        self._body_chunks.clear()
        checked = self._check_request()
        if not isinstance(checked, Success):
            self._refuse_early(checked.failure())
            return
        call = checked.unwrap()
        relay = self._make_relay(call)
        self._relay = relay
        outcome = ErrorKind.INTERNAL.value
        self.door.begin_request(self.end)
        try:
            result = await self.door.pipeline.run(call.request, relay)
            await relay.wait_until_sent()
            outcome = _outcome_label(result, relay)
            await self._finish_answer(result, relay)
        finally:
            relay.close()
            self._discard_upload()
            self.door.end_request(self.end)
            metrics.DISCARDED_BYTES.inc(relay.late_bytes)
            metrics.REQUESTS.labels(call.service.name, outcome).inc()

    get = post = put = patch = delete = head = options = _answer

    def _refuse_early(self, problem: Problem) -> None:
        """Refuses a request before any attempt and counts the refusal."""
        metrics.count_early_refusal(problem.kind.value)
        self._refuse(problem)

    def _on_upload_timeout(self) -> None:
        self._refuse_early(
            Problem(
                ErrorKind.UPLOAD_TOO_SLOW,
                f"got {self._upload_bytes} bytes of the body in "
                f"{UPLOAD_TIMEOUT_SECONDS} s, allowed is the whole of it",
            )
        )

    def _stop_upload_timer(self) -> None:
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None

    def _discard_upload(self) -> None:
        """Stops the upload timer and releases the memory of the body."""
        self._stop_upload_timer()
        self.door.release_upload(self._upload_bytes)
        self._upload_bytes = 0
        self._body_chunks.clear()

    def _make_relay(self, call: _CheckedCall) -> Relay:
        """Returns a relay; only an engine's event streams are resumable."""
        is_engine = call.service.kind is ServiceKind.ENGINE
        return Relay(
            _HandlerConnection(self),
            memory=self.door.memory,
            organisation=call.request.organisation,
            terms=call.terms,
            parse_events=is_engine,
            resumable=is_engine and call.request.idempotent,
        )

    async def _finish_answer(
        self,
        result: Result[AttemptCompletion | StoredAnswer, Problem],
        relay: Relay,
    ) -> None:
        """Finishes the response, or aborts it if the answer is incomplete."""
        if self._finished:
            return
        if relay.end_reason is not None:
            self._log_abort(relay.end_reason)
            self._abort_connection()
            return
        if not isinstance(result, Success):
            await self._finish_with_problem(result.failure(), relay)
            return
        completed = result.unwrap()
        if isinstance(completed, StoredAnswer):
            self.set_status(completed.status)
            self.set_header("Content-Type", completed.content_type)
            self.set_header("Idempotency-Replayed", "true")
            self.write(completed.body)
        else:
            relay.check_complete()
        with contextlib.suppress(StreamClosedError):
            await self.finish()

    def _find_service(self) -> Result[_FoundService, Problem]:
        """Authenticates the caller and looks up the service of the path."""
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

    def _check_request(self) -> Result[_CheckedCall, Problem]:
        """Builds the typed request from headers and body."""
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
        """Logs the refusal as a decision and sends it to the caller."""
        self.door.context.decide(
            "refuse",
            subject=self.request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            ran=problem.ran.value,
        )
        self.send_problem(problem)

    async def _finish_with_problem(
        self, problem: Problem, relay: Relay
    ) -> None:
        """Refuses the request, or aborts an answer that was started."""
        if not relay.started:
            relay.history.check_refusal(problem)
            self._refuse(problem)
            return
        # The head was sent: an event stream gets an error event, then the
        # connection is aborted, so that it never ends like a complete answer.
        self._log_abort(problem)
        if relay.mode is RelayMode.EVENTS:
            body = problem_to_json(problem, request_id=self.request_id)
            self.write(f"event: error\ndata: {body}\n\n")
            with contextlib.suppress(StreamClosedError):
                await self.flush()
        self._abort_connection()

    def _log_abort(self, problem: Problem) -> None:
        """Logs as a decision that a started answer is aborted."""
        self.door.context.decide(
            "cut",
            subject=self.request_id,
            outcome=problem.kind.value,
            reason=problem.detail,
            ran=problem.ran.value,
        )

    def _abort_connection(self) -> None:
        """Closes the connection before the answer is complete."""
        self._finished = True
        connection = self.request.connection
        if connection is not None:
            connection.close()  # type: ignore[attr-defined]


def _outcome_label(
    result: Result[AttemptCompletion | StoredAnswer, Problem], relay: Relay
) -> str:
    """Returns the value of the `outcome` label of the request metric."""
    if relay.end_reason is not None:
        return relay.end_reason.kind.value
    if isinstance(result, Success):
        return metrics.ANSWERED
    return result.failure().kind.value
