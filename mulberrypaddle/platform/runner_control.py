"""HTTP client that sends group commands (orders) to runners.

It also fetches the runners' status reports.
"""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING, Any

import pycurl
import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.curl import (
    limit_answer_size,
    make_client,
    proves_unsent,
)
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.platform.decoder import DECODE_ERRORS, read_membership
from mulberrypaddle.platform.headers import encode_name, parse_announcement
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    GroupOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.serving.runner_control import OrderOutcome, RunnerControl
from mulberrypaddle.serving.socket_options import enable_keepalive_probes

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.fleet import GroupMembership, RunnerEntry

# Timeout of an order; runners usually answer within a few milliseconds.
ORDER_TIMEOUT_SECONDS = 0.6

# Maximum size of an answer; a report has a few hundred bytes, and those of all
# runners are fetched at the same time.
MAX_ANSWER_BYTES = 65_536

_OUTCOME_BY_STATUS = {
    200: OrderOutcome.ALREADY_IN_EFFECT,
    202: OrderOutcome.STARTED,
    409: OrderOutcome.UNFIT,
    412: OrderOutcome.OUTDATED,
    421: OrderOutcome.OTHER_RUNNER,
}


class PlatformRunnerControl(RunnerControl):
    """Sends orders to runners and fetches their status reports over HTTP."""

    def __init__(self) -> None:
        super().__init__()
        self._client = make_client()

    async def send_order(
        self,
        entry: RunnerEntry,
        order: GroupOrder,
        *,
        fence: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[OrderOutcome, Problem]:
        """Sends a group command to a runner and returns how it responded.

        Args:
            entry: The runner.
            order: The command: to load weights, or to join, open, close or
                leave a group.
            fence: Fencing token of the sender's lease.
            may_send: Called once the connection is open, just before the
                order is sent; the order is not sent if it returns False.
        """
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
                    f"{entry.runner_id}: order got status {status}",
                    ran=Ran.UNKNOWN,
                )
            )
        return Success(outcome)

    async def fetch_report(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[Any, Problem]:
        """Fetches a runner's status report and returns the parsed JSON."""
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
                    f"{entry.runner_id}: report got status {response.code}",
                )
            )
        try:
            return Success(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"{entry.runner_id}: report is not valid JSON: {error}",
                )
            )

    async def fetch_membership(
        self, entry: RunnerEntry, *, limit_seconds: float
    ) -> Result[GroupMembership | None, Problem]:
        """Fetches a runner's status report and returns its group membership."""
        result = await self.fetch_report(entry, limit_seconds=limit_seconds)
        if not isinstance(result, Success):
            return Failure(result.failure())
        try:
            return Success(read_membership(result.unwrap().get("group")))
        except DECODE_ERRORS as error:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"{entry.runner_id}: report has an unreadable group: "
                    f"{type(error).__name__}: {error}",
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
        """Sends one request: POST for an order, GET if there is no body."""
        headers = {"X-Expect-Instance": encode_name(entry.runner_id)}
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
        self.on_announcement(
            entry,
            parse_announcement(response.code, response.headers.get_all()),
        )
        return Success(response)


def _configure_report_transfer(curl: pycurl.Curl) -> None:
    """Sets the curl options of a request for a status report."""
    # Report requests are safe to repeat, so that the connection may be reused.
    curl.setopt(pycurl.SOCKOPTFUNCTION, enable_keepalive_probes)
    limit_answer_size(MAX_ANSWER_BYTES)(curl)


def _configure_order_transfer(
    may_send: Callable[[], bool], curl: pycurl.Curl
) -> None:
    """Sets the curl options of an order, so that it is sent at most once."""

    def before_sending(*_: object) -> int:
        """Lets curl send the order only if `may_send` returns True."""
        if may_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)

    curl.setopt(pycurl.PREREQFUNCTION, before_sending)
    # curl would resend an order if a reused connection turned out closed.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    _configure_report_transfer(curl)


def _unreachable_problem(
    entry: RunnerEntry, error: BaseException | None
) -> Problem:
    """Returns the problem of a request that got no answer from a runner."""
    unsent = error is not None and proves_unsent(error)
    return Problem(
        ErrorKind.RUNNER_UNREACHABLE,
        f"{entry.runner_id} at {entry.address}: {error}",
        ran=Ran.NOT_RUN if unsent else Ran.UNKNOWN,
    )


@functools.singledispatch
def _order_body(order: GroupOrder) -> dict[str, Any]:
    """Returns the JSON body of an order, without the fencing token."""
    raise TypeError(f"unknown order type {type(order).__name__}")


@_order_body.register
def _stage_model_body(order: StageModel) -> dict[str, Any]:
    """Encodes the order to load a model's weights onto the host."""
    return {"operation": "stage", "model": order.model}


@_order_body.register
def _join_group_body(order: JoinGroup) -> dict[str, Any]:
    """Encodes the order to join a group that is being formed."""
    return {
        "operation": "join",
        "group": order.group,
        "epoch": order.epoch,
        "model": order.model,
        "members": list(order.member_ids),
    }


@_order_body.register
def _open_group_body(order: OpenGroup) -> dict[str, Any]:
    """Encodes the order to a head to start serving requests."""
    return {"operation": "open", "group": order.group, "epoch": order.epoch}


@_order_body.register
def _close_group_body(order: CloseGroup) -> dict[str, Any]:
    """Encodes the order to a head to accept no new requests."""
    # Mode "queue": the head still finishes the requests that it runs and
    # those that wait in its queue.
    return {
        "operation": "close",
        "group": order.group,
        "epoch": order.epoch,
        "mode": "queue",
    }


@_order_body.register
def _leave_group_body(order: LeaveGroup) -> dict[str, Any]:
    """Encodes the order to leave a group."""
    return {"operation": "leave", "group": order.group, "epoch": order.epoch}
