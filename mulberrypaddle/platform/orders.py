"""Orders to runners and the reports that they give."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING, Any

import pycurl
import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.curl import bound_answer, make_client, was_unsent
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    GroupOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.serving.runner_control import OrderOutcome, RunnerControl
from mulberrypaddle.serving.sockets import probe_dead_peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import RunnerEntry

# Time for a runner to answer; it takes a few milliseconds.
ORDER_TIMEOUT_SECONDS = 0.6

# Longest answer that is taken; a report has some hundred bytes.
MAX_ANSWER_BYTES = 1_048_576

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.BEGUN,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.OUTDATED,
    421: OrderOutcome.OTHER_RUNNER,
}


class PlatformRunnerControl(RunnerControl):
    """Sends orders and asks for reports."""

    def __init__(self) -> None:
        self._client = make_client()

    async def order(
        self,
        entry: RunnerEntry,
        order: GroupOrder,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[OrderOutcome, Problem]:
        """Sends one order."""
        body = _order_body(order)
        body["fencingToken"] = fence
        result = await self._fetch(
            entry, "/order", body=body, may_send=may_send
        )
        if not isinstance(result, Success):
            return Failure(result.failure())
        status = result.unwrap().code
        outcome = _OUTCOME_BY_STATUS.get(status)
        if outcome is None:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"{entry.runner_id}: got status {status} for an order",
                    ran=Ran.UNKNOWN,
                )
            )
        return Success(outcome)

    async def report(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[Any, Problem]:
        """Asks a runner for its report, undecoded."""
        result = await self._fetch(
            entry, "/report", limit_seconds=limit_seconds
        )
        if not isinstance(result, Success):
            return Failure(result.failure())
        response = result.unwrap()
        if response.code != 200:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"{entry.runner_id}: report has status {response.code}",
                )
            )
        try:
            return Success(json.loads(response.body))
        except ValueError as error:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"{entry.runner_id}: unreadable report: {error}",
                )
            )

    async def _fetch(
        self,
        entry: RunnerEntry,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        limit_seconds: float = ORDER_TIMEOUT_SECONDS,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[tornado.httpclient.HTTPResponse, Problem]:
        headers = {"X-Expect-Instance": entry.runner_id}
        if body is not None:
            headers["Content-Type"] = "application/json"
        request = tornado.httpclient.HTTPRequest(
            f"http://{entry.address}{path}",
            method="GET" if body is None else "POST",
            body=None if body is None else json.dumps(body),
            headers=headers,
            connect_timeout=limit_seconds,
            request_timeout=limit_seconds,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=(
                _configure_report_transfer
                if body is None
                else functools.partial(_configure_order_transfer, may_send)
            ),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_unreachable_problem(entry, error))
        if response.code == 599:
            return Failure(_unreachable_problem(entry, response.error))
        return Success(response)


def _configure_report_transfer(curl: pycurl.Curl) -> None:
    # A report may be asked for twice, so that its connection may be kept.
    curl.setopt(pycurl.SOCKOPTFUNCTION, probe_dead_peers)
    bound_answer(MAX_ANSWER_BYTES)(curl)


def _configure_order_transfer(
    may_send: Callable[[], bool], curl: pycurl.Curl
) -> None:
    def before_sending(*_: object) -> int:
        if may_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)

    curl.setopt(pycurl.PREREQFUNCTION, before_sending)
    # A kept connection that dies would make curl send an order twice.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    _configure_report_transfer(curl)


def _unreachable_problem(
    entry: RunnerEntry, error: BaseException | None
) -> Problem:
    unsent = error is not None and was_unsent(error)
    return Problem(
        ErrorKind.RUNNER_UNREACHABLE,
        f"{entry.runner_id} at {entry.address}: {error}",
        ran=Ran.NOT_RUN if unsent else Ran.UNKNOWN,
    )


@functools.singledispatch
def _order_body(order: GroupOrder) -> dict[str, Any]:
    raise TypeError(f"got {type(order).__name__}, which is no known order")


@_order_body.register
def _(order: StageModel) -> dict[str, Any]:
    return {"operation": "stage", "model": order.model}


@_order_body.register
def _(order: JoinGroup) -> dict[str, Any]:
    return {
        "operation": "join",
        "group": order.group,
        "epoch": order.epoch,
        "model": order.model,
        "members": list(order.member_ids),
    }


@_order_body.register
def _(order: OpenGroup) -> dict[str, Any]:
    return {"operation": "open", "group": order.group, "epoch": order.epoch}


@_order_body.register
def _(order: CloseGroup) -> dict[str, Any]:
    # What the head holds is served; what waits in its queue too.
    return {
        "operation": "close",
        "group": order.group,
        "epoch": order.epoch,
        "mode": "queue",
    }


@_order_body.register
def _(order: LeaveGroup) -> dict[str, Any]:
    return {"operation": "leave", "group": order.group, "epoch": order.epoch}
