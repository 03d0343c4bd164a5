"""HTTP client of runners: model engines and plain services."""

from __future__ import annotations

import functools
import json
import time
import zlib
from typing import TYPE_CHECKING, Any

import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.base import (
    AnswerSink,
    AttemptCompletion,
    AttemptFailure,
    RunnerClient,
)
from mulberrypaddle.backends.curl import make_client, proves_unsent
from mulberrypaddle.backends.parsing import convert, decode_json
from mulberrypaddle.backends.transfer import Transfer
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.fleet import Runner, RunnerReport, ServiceKind
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.core.value_checks import (
    require_bool,
    require_int,
    require_name,
    require_number,
)

if TYPE_CHECKING:
    from mulberrypaddle.backends.base import ResumePoint
    from mulberrypaddle.core.ticket import Ticket

REPORT_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0

# Longest time that a report may state: some decades.
MAX_REPORTED_SECONDS = 1e9

# Methods whose requests always have a body, even if it is empty.
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_BODILESS_METHODS = frozenset({"GET", "HEAD"})


class HttpRunnerClient(RunnerClient):
    """HTTP client that a router uses for all its runners."""

    def __init__(self) -> None:
        self._client = make_client()

    async def call(
        self, ticket: Ticket, sink: AnswerSink, *, timeout_seconds: float
    ) -> Result[AttemptCompletion, AttemptFailure]:
        """Sends one attempt and streams its answer into `sink`."""
        request = ticket.request
        transfer = Transfer(
            self._client,
            sink,
            attempt_id=ticket.attempt_id,
            method=request.method,
            may_refuse=ticket.runner.kind is ServiceKind.ENGINE,
            may_repeat=request.idempotent,
            timeout_seconds=timeout_seconds,
        )
        try:
            await self._client.fetch(
                _build_http_request(ticket, sink.resume_point, transfer),
                raise_error=False,
            )
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_transport_failure(error, transfer))
        finally:
            transfer.close()
        return _completed_result(ticket, sink, transfer)

    async def report(self, runner: Runner) -> Result[RunnerReport, Problem]:
        """Requests a runner's load report.

        The report's age is subtracted from the time of receipt.
        """
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
        subject = f"report of {runner.runner_id}"
        return convert(
            decode_json(
                response.body,
                kind=ErrorKind.RUNNER_UNREACHABLE,
                subject=subject,
            ),
            functools.partial(_parse_report, runner.runner_id),
            kind=ErrorKind.RUNNER_UNREACHABLE,
            subject=subject,
        )

    async def cancel(self, ticket: Ticket) -> Result[bool, Problem]:
        """Asks a runner to cancel an attempt.

        Returns:
            Whether the runner confirms that it cancelled the attempt.
        """
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
        subject = f"cancel at {ticket.runner.runner_id}"
        return convert(
            decode_json(
                response.body,
                kind=ErrorKind.RUNNER_UNREACHABLE,
                subject=subject,
            ),
            lambda value: bool(value["cancelled"]),
            kind=ErrorKind.RUNNER_UNREACHABLE,
            subject=subject,
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()

    async def _fetch(
        self, request: tornado.httpclient.HTTPRequest
    ) -> tornado.httpclient.HTTPResponse | None:
        """Returns the response, or None if the request failed."""
        try:
            return await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError):
            return None


def _build_http_request(
    ticket: Ticket, resume_point: ResumePoint | None, transfer: Transfer
) -> tornado.httpclient.HTTPRequest:
    """Builds the HTTP request of an attempt.

    Args:
        ticket: Ticket of the attempt.
        resume_point: Where to continue an interrupted stream, or None.
        transfer: Receives the response.
    """
    request = ticket.request
    headers = {
        "Content-Type": request.content_type,
        "X-Request-Id": request.request_id,
        "X-Attempt-Id": ticket.attempt_id,
    }
    headers.update(request.forwarded_headers)
    if ticket.runner.kind is ServiceKind.ENGINE:
        headers["X-Sampling-Seed"] = str(_sampling_seed(request.request_id))
    if resume_point is not None:
        headers["Last-Event-ID"] = str(resume_point.last_offset)
        headers["X-Adapter-Version"] = resume_point.adapter_version
    body: bytes | None = None
    if request.body or request.method in _BODY_METHODS:
        body = request.body
    return tornado.httpclient.HTTPRequest(
        f"http://{ticket.runner.address}{request.target}",
        method=request.method,
        body=body if request.method not in _BODILESS_METHODS else None,
        headers=headers,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        # The transfer has its own deadline, which does not count pauses.
        request_timeout=0,
        prepare_curl_callback=transfer.configure_curl,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
    )


def _parse_report(runner_id: str, value: dict[str, Any]) -> RunnerReport:
    """Parses a report; raises one of `parsing.PARSE_ERRORS`."""
    age_seconds = require_number(
        value.get("age_seconds", 0.0), maximum=MAX_REPORTED_SECONDS
    )
    return RunnerReport(
        runner_id,
        incarnation=require_name(value["incarnation"]),
        generation=require_int(value.get("generation", 0)),
        member_vm_ids=tuple(
            require_name(vm_id) for vm_id in value.get("member_vm_ids", ())
        ),
        reported_at_seconds=time.monotonic() - age_seconds,
        uptime_seconds=require_number(
            value["uptime_seconds"], maximum=MAX_REPORTED_SECONDS
        ),
        running_requests=require_int(value["running_requests"]),
        held_tokens=require_int(value["held_tokens"]),
        ready=require_bool(value.get("ready", True)),
    )


def _sampling_seed(request_id: str) -> int:
    """Returns the sampling seed that all attempts of a request share."""
    return zlib.crc32(request_id.encode())


def _completed_result(
    ticket: Ticket, sink: AnswerSink, transfer: Transfer
) -> Result[AttemptCompletion, AttemptFailure]:
    """Returns the result of an attempt whose HTTP exchange completed."""
    if transfer.refused:
        return Failure(_refusal_failure(transfer.refusal))
    if not transfer.head_passed and not transfer.check_head():
        problem = transfer.problem or Problem(ErrorKind.INTERNAL, "no head")
        return Failure(AttemptFailure(problem, AttemptState.MAYBE_RUN))
    head = transfer.pass_head()
    incomplete_problem = sink.end()
    if incomplete_problem is not None:
        return Failure(
            AttemptFailure(incomplete_problem, AttemptState.MAYBE_RUN)
        )
    return Success(
        AttemptCompletion(head.status, head.content_type, transfer.size_bytes)
    )


def _refusal_failure(body: bytes) -> AttemptFailure:
    """Returns the failure of an attempt that an engine answered with 503.

    The attempt counts as not run only if the body states so.

    Args:
        body: Body of the response.
    """
    try:
        ran = json.loads(body).get("ran")
    except (ValueError, RecursionError, AttributeError):
        ran = None
    if ran == Ran.NOT_RUN.value:
        return AttemptFailure(
            Problem(ErrorKind.RUNNER_REFUSED, "the runner is busy"),
            AttemptState.REFUSED,
        )
    return AttemptFailure(
        Problem(
            ErrorKind.OUTCOME_UNKNOWN,
            "the runner refused and does not say that it was not run",
        ),
        AttemptState.MAYBE_RUN,
    )


def _unknown_failure(transfer: Transfer, detail: str) -> AttemptFailure:
    """Returns the failure of an attempt that may have been executed."""
    kind = ErrorKind.OUTCOME_UNKNOWN
    if transfer.head_passed:
        kind = ErrorKind.STREAM_BROKEN
    return AttemptFailure(
        Problem(kind, f"runner: {detail}"), AttemptState.MAYBE_RUN
    )


def _transport_failure(
    error: BaseException, transfer: Transfer
) -> AttemptFailure:
    """Returns the failure of an attempt whose HTTP exchange failed.

    Raises:
        Exception: If the sink raised it, so that the failure is not
            attributed to the runner.
    """
    if transfer.error is not None:
        raise transfer.error
    if transfer.problem is not None:
        return AttemptFailure(transfer.problem, AttemptState.MAYBE_RUN)
    if proves_unsent(error):
        return AttemptFailure(
            Problem(ErrorKind.RUNNER_UNREACHABLE, f"runner: {error}"),
            AttemptState.UNSENT,
        )
    return _unknown_failure(transfer, str(error))
