"""The narrow base of what callers and runners say in headers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders


class CallerFields:
    """What a caller says beside method, path and body.

    Attributes:
        request_id: Id of this request.
        wait_seconds: How long the caller waits; None if it does not say.
        key: Key of its organisation; empty if none came.
        model: Model that it asks for; empty for plain services.
        prompt_tokens: Length of the prompt; 0 if unknown.
        answer_tokens: Most tokens of the answer; 0 if unknown.
        expected_tokens: Estimate of the answer's tokens; 0 if unknown.
        last_event_id: Last event that the caller has; None if it starts.
        passed: Headers that go to the runner as they came.
    """

    __slots__ = (
        "answer_tokens",
        "expected_tokens",
        "key",
        "last_event_id",
        "model",
        "passed",
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
        passed: list[tuple[str, str]],
    ) -> None:
        self.request_id = request_id
        self.wait_seconds = wait_seconds
        self.key = key
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.expected_tokens = expected_tokens
        self.last_event_id = last_event_id
        self.passed = passed


class RunnerHead:
    """Head of a runner's answer.

    Attributes:
        status: HTTP status.
        passed: Headers that go to the caller as they came.
        request_id: Request that it answers; empty if it does not say.
        sealed: Whether it bears the runner's signature.
        not_run: Whether it states that the request did not run.
        fault_runner: Runner that the answer blames; empty if none.
        size_bytes: Declared length of the body; None if it has none.
        encoded: Whether the body is not as the runner made it.
    """

    __slots__ = (
        "encoded",
        "fault_runner",
        "not_run",
        "passed",
        "request_id",
        "sealed",
        "size_bytes",
        "status",
    )

    def __init__(
        self,
        status: int,
        *,
        passed: list[tuple[str, str]],
        request_id: str,
        sealed: bool,
        not_run: bool,
        fault_runner: str,
        size_bytes: int | None,
        encoded: bool,
    ) -> None:
        self.status = status
        self.passed = passed
        self.request_id = request_id
        self.sealed = sealed
        self.not_run = not_run
        self.fault_runner = fault_runner
        self.size_bytes = size_bytes
        self.encoded = encoded


class Dialect(abc.ABC):
    """Reads and writes headers."""

    @abc.abstractmethod
    def read_caller(self, headers: HTTPHeaders) -> CallerFields:
        """Reads the headers of a caller's request."""

    @abc.abstractmethod
    def runner_headers(
        self,
        fields: CallerFields,
        *,
        organisation: str,
        runner_id: str,
        urgency: int,
        remaining_seconds: float,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers of a request to a runner.

        Args:
            fields: What the caller said.
            organisation: Organisation of the caller; empty if none.
            runner_id: The only runner that may run it.
            urgency: Rank at the runner, 0 first, 9 last.
            remaining_seconds: Time that is left for it.
            last_event_id: Last event that the caller has.
        """

    @abc.abstractmethod
    def read_runner(
        self, status: int, headers: list[tuple[str, str]]
    ) -> RunnerHead:
        """Reads the head of a runner's answer."""
