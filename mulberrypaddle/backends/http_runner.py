"""Runners over HTTP: engines and plain services."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import pycurl
import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.base import (
    AnswerSink,
    AttemptFailure,
    Completion,
    RunnerClient,
)
from mulberrypaddle.backends.curl import make_client, was_unsent
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import Runner, RunnerReport
from mulberrypaddle.core.request import AttemptState

if TYPE_CHECKING:
    from mulberrypaddle.core.ticket import Ticket

REPORT_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class HttpRunnerClient(RunnerClient):
    """Speaks HTTP to every runner of a router."""

    def __init__(self) -> None:
        self._client = make_client()

    async def call(
        self, ticket: Ticket, sink: AnswerSink, *, timeout_seconds: float
    ) -> Result[Completion, AttemptFailure]:
        """Sends one attempt and streams its answer into `sink`."""
        answer = _StreamedAnswer(sink)
        request = ticket.request
        body = request.body if request.method in _BODY_METHODS else None
        http_request = tornado.httpclient.HTTPRequest(
            f"http://{ticket.runner.address}{request.path}",
            method=request.method,
            body=body,
            headers={
                "Content-Type": request.content_type,
                "X-Request-Id": request.request_id,
                "X-Attempt-Id": ticket.attempt_id,
            },
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=timeout_seconds,
            prepare_curl_callback=answer.attach,
            streaming_callback=answer.take_body,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        try:
            response = await self._client.fetch(http_request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_failure(error, answer))
        if response.code == 503 and ticket.runner.kind.value == "engine":
            return Failure(
                AttemptFailure(
                    Problem(ErrorKind.RUNNER_REFUSED, "the runner is busy"),
                    AttemptState.REFUSED,
                )
            )
        answer.start_once(response.code)
        return Success(
            Completion(response.code, answer.content_type, answer.size_bytes)
        )

    async def report(self, runner: Runner) -> Result[RunnerReport, Problem]:
        """Asks a runner for its load."""
        request = tornado.httpclient.HTTPRequest(
            f"http://{runner.address}/v1/report",
            request_timeout=REPORT_TIMEOUT_SECONDS,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
        )
        response = await self._fetch(request)
        if response is None or response.code != 200:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_UNREACHABLE,
                    f"{runner.runner_id} gave no report",
                )
            )
        value = json.loads(response.body)
        return Success(
            RunnerReport(
                runner.runner_id,
                incarnation=value["incarnation"],
                generation=value.get("generation", 0),
                member_vm_ids=tuple(value.get("member_vm_ids", ())),
                reported_at_seconds=time.monotonic()
                - value.get("age_seconds", 0.0),
                uptime_seconds=value["uptime_seconds"],
                running_requests=value["running_requests"],
                held_tokens=value["held_tokens"],
                ready=value.get("ready", True),
            )
        )

    async def cancel(self, ticket: Ticket) -> Result[bool, Problem]:
        """Tells a runner to give up an attempt."""
        request = tornado.httpclient.HTTPRequest(
            f"http://{ticket.runner.address}/v1/cancel/{ticket.attempt_id}",
            method="POST",
            body=b"",
            request_timeout=REPORT_TIMEOUT_SECONDS,
        )
        response = await self._fetch(request)
        if response is None or response.code != 200:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_UNREACHABLE,
                    f"{ticket.runner.runner_id} did not take the cancel",
                )
            )
        return Success(bool(json.loads(response.body)["cancelled"]))

    def close(self) -> None:
        """Closes the client."""
        self._client.close()

    async def _fetch(
        self, request: tornado.httpclient.HTTPRequest
    ) -> tornado.httpclient.HTTPResponse | None:
        """Returns the response, or None if the connection broke."""
        try:
            return await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError):
            return None


class _StreamedAnswer:
    """Passes head and body of one answer to the sink."""

    __slots__ = ("_sink", "_started", "_status", "content_type", "size_bytes")

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._started = False
        self._status = 0
        self.content_type = "application/octet-stream"
        self.size_bytes = 0

    def attach(self, curl: pycurl.Curl) -> None:
        """Takes header lines straight from curl.

        The client's own header callback is scheduled on the loop and can
        come after the body of a short answer.
        """
        curl.setopt(pycurl.HEADERFUNCTION, self._take_header)

    def _take_header(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self._status = int(text.split(" ")[1])
            return
        name, _, value = text.partition(":")
        if name.lower() == "content-type":
            self.content_type = value.strip()

    def take_body(self, data: bytes) -> None:
        """Takes the next bytes of the body."""
        if self._status == 503:
            return
        self.start_once(self._status)
        self.size_bytes += len(data)
        self._sink.write(data)

    def start_once(self, status: int) -> None:
        """Passes on the head if that has not been done."""
        if self._started:
            return
        self._started = True
        self._sink.start(status, self.content_type)

    @property
    def started(self) -> bool:
        """Returns whether the head was passed on."""
        return self._started


def _failure(error: BaseException, answer: _StreamedAnswer) -> AttemptFailure:
    if was_unsent(error):
        return AttemptFailure(
            Problem(ErrorKind.RUNNER_UNREACHABLE, f"runner: {error}"),
            AttemptState.UNSENT,
        )
    if answer.started:
        return AttemptFailure(
            Problem(ErrorKind.STREAM_BROKEN, f"runner: {error}"),
            AttemptState.MAYBE_RUN,
        )
    return AttemptFailure(
        Problem(ErrorKind.OUTCOME_UNKNOWN, f"runner: {error}"),
        AttemptState.MAYBE_RUN,
    )
