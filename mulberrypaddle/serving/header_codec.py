"""Interface for the HTTP headers of callers and runners.

The serving path depends only on this interface. The package `platform`
implements it for the header names that callers and runners use.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from mulberrypaddle.fleet.announcement import RunnerAnnouncement

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders


# HTTP statuses from which callers conclude that a request has not run and never
# will. They are never forwarded: a runner may send them after it has run the
# request, and a request that has not run is sent to another runner or refused.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class CallerHeaders:
    """Parsed headers of a caller's request.

    Attributes:
        request_id: Id of the request; empty if the caller sent none.
        wait_seconds: How long the caller waits; None if it sent no limit.
        key: API key of its organisation; empty if it sent none.
        model: Name of the requested model; empty for plain services.
        prompt_tokens: Length of the prompt in tokens; 0 if unknown.
        answer_tokens: Longest allowed answer in tokens; 0 if unknown.
        expected_tokens: Estimated length of the answer in tokens; 0 if
            unknown.
        last_event_id: Id of the last event that the caller has received; None
            if it starts a new stream.
        prompt_parts: Ids of the parts of the prompt that other requests may
            share, in order, up to a maximum; the last part of the prompt is
            the request's own and left out.
        forwarded_headers: Headers that are forwarded to the runner unchanged.
    """

    __slots__ = (
        "answer_tokens",
        "expected_tokens",
        "key",
        "last_event_id",
        "model",
        "forwarded_headers",
        "prompt_parts",
        "prompt_tokens",
        "request_id",
        "wait_seconds",
    )

    def __init__(
        self,
        *,
        request_id: str,
        wait_seconds: float | None,
        key: str,
        model: str,
        prompt_tokens: int,
        answer_tokens: int,
        expected_tokens: int,
        last_event_id: int | None,
        forwarded_headers: list[tuple[str, str]],
        prompt_parts: tuple[str, ...] = (),
    ) -> None:
        self.request_id = request_id
        self.wait_seconds = wait_seconds
        self.key = key
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.expected_tokens = expected_tokens
        self.last_event_id = last_event_id
        self.prompt_parts = prompt_parts
        self.forwarded_headers = forwarded_headers


class RunnerResponseHead:
    """Status and parsed headers of a runner's answer.

    Attributes:
        status: HTTP status.
        forwarded_headers: Headers that are forwarded to the caller unchanged.
        request_id: Id of the request that it answers; empty if not given.
        sealed: Whether the answer has the seal: the header with which the
            runner signs its answer. Only its presence is checked.
        not_run: Whether the answer states that the request did not run.
        fault_runner: Id of the runner that the answer names as the cause of a
            failure; empty if none.
        size_bytes: Content-Length of the body; None if not given.
        encoded: Whether the body has a content encoding, so that it is not as
            the runner produced it.
        media_type: Media type of the body, in lower case and without
            parameters; empty if not given.
        announcement: What the answer says about the runner.
    """

    __slots__ = (
        "announcement",
        "encoded",
        "fault_runner",
        "media_type",
        "not_run",
        "forwarded_headers",
        "request_id",
        "sealed",
        "size_bytes",
        "status",
    )

    def __init__(
        self,
        status: int,
        *,
        forwarded_headers: list[tuple[str, str]],
        request_id: str,
        sealed: bool,
        not_run: bool,
        fault_runner: str,
        size_bytes: int | None,
        encoded: bool,
        media_type: str,
        announcement: RunnerAnnouncement | None = None,
    ) -> None:
        self.status = status
        self.forwarded_headers = forwarded_headers
        self.request_id = request_id
        self.sealed = sealed
        self.not_run = not_run
        self.fault_runner = fault_runner
        self.size_bytes = size_bytes
        self.encoded = encoded
        self.media_type = media_type
        self.announcement = announcement or RunnerAnnouncement()

    @property
    def promises_not_run(self) -> bool:
        """Returns whether callers take the status for "has not run"."""
        return self.status in NOT_RUN_STATUSES


class HeaderCodec(abc.ABC):
    """Parses request and response headers, and builds those for runners."""

    @abc.abstractmethod
    def parse_caller_headers(self, headers: HTTPHeaders) -> CallerHeaders:
        """Parses the headers of a caller's request."""

    @abc.abstractmethod
    def runner_headers(
        self,
        fields: CallerHeaders,
        *,
        organisation: str,
        runner_id: str,
        urgency: int,
        remaining_seconds: float,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """Builds the headers of a request to a runner.

        Args:
            fields: Parsed headers of the caller's request.
            organisation: Name of the caller's organisation; empty if none.
            runner_id: Id of the runner that it is meant for; any other must
                refuse it.
            urgency: Priority at the runner, from 0 (highest) to 9 (lowest).
            remaining_seconds: Time left until the request's deadline.
            last_event_id: Id of the last event that the caller has received;
                None for a new stream.
        """

    @abc.abstractmethod
    def parse_runner_head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> RunnerResponseHead:
        """Parses the status and the headers of a runner's answer."""


def is_misdirected(status: int) -> bool:
    """Returns whether a status means that another runner uses the address.

    Status 421 (Misdirected Request) is the answer of a runner that is not the
    one which the request was meant for.
    """
    return status == 421


def without_content_length(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the headers except Content-Length."""
    return [pair for pair in headers if pair[0].lower() != "content-length"]
