"""Interfaces that clients of runners and object stores implement."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import Runner, RunnerReport
    from mulberrypaddle.core.request import AttemptState
    from mulberrypaddle.core.ticket import Ticket


class AttemptCompletion:
    """Result of an attempt whose answer was received completely.

    Attributes:
        status: HTTP status of the runner.
        content_type: Media type of the answer.
        size_bytes: Length of the answer's body.
    """

    __slots__ = ("content_type", "size_bytes", "status")

    def __init__(self, status: int, content_type: str, size_bytes: int) -> None:
        self.status = status
        self.content_type = content_type
        self.size_bytes = size_bytes


class AttemptFailure:
    """Result of an attempt that failed.

    Attributes:
        problem: Cause of the failure.
        state: What is known about the execution of the attempt.
    """

    __slots__ = ("problem", "state")

    def __init__(self, problem: Problem, state: AttemptState) -> None:
        self.problem = problem
        self.state = state


class AnswerHead:
    """Status and selected headers of a runner's answer.

    Attributes:
        status: HTTP status of the runner.
        content_type: Media type of the answer.
        headers: Further headers that are forwarded to the caller, as pairs
            of name and value.
        size_bytes: Declared length of the body; None for a chunked answer.
        adapter_version: Version of the model adapter that generates the
            answer; empty if the runner does not report one.
    """

    __slots__ = (
        "adapter_version",
        "content_type",
        "headers",
        "size_bytes",
        "status",
    )

    def __init__(
        self,
        status: int,
        *,
        content_type: str,
        headers: tuple[tuple[str, str], ...] = (),
        size_bytes: int | None = None,
        adapter_version: str = "",
    ) -> None:
        self.status = status
        self.content_type = content_type
        self.headers = headers
        self.size_bytes = size_bytes
        self.adapter_version = adapter_version


class ResumePoint:
    """Position at which another attempt continues an interrupted stream.

    Attributes:
        last_offset: Offset of the last token that was sent to the caller.
        adapter_version: Version of the model adapter that generated the
            tokens so far.
    """

    __slots__ = ("adapter_version", "last_offset")

    def __init__(self, last_offset: int, *, adapter_version: str) -> None:
        self.last_offset = last_offset
        self.adapter_version = adapter_version


class AttemptControl(abc.ABC):
    """Flow control and cancellation of an attempt, used by its sink."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Resumes the transfer that paused when `AnswerSink.take` refused."""

    @abc.abstractmethod
    def cancel(self, problem: Problem) -> None:
        """Aborts the attempt, which then fails with `problem`."""


class AnswerSink(abc.ABC):
    """Receives the answer of one attempt as it arrives.

    The sender calls `attach`, `start`, any number of `accept` and, if the
    answer ends as HTTP requires, `end`, in this order.
    """

    @property
    @abc.abstractmethod
    def resume_point(self) -> ResumePoint | None:
        """Returns where the answer has to continue, or None at the start."""

    @abc.abstractmethod
    def attach(self, upstream: AttemptControl) -> None:
        """Receives the control of the sender, before any other call.

        Args:
            upstream: Control by which the sink resumes or aborts the attempt.
        """

    @abc.abstractmethod
    def start(self, head: AnswerHead) -> None:
        """Receives the head of the answer, once, before any body.

        Args:
            head: Status and headers.
        """

    @abc.abstractmethod
    def accept(self, data: bytes) -> bool:
        """Receives the next bytes of the body, or refuses them.

        Args:
            data: The bytes.

        Returns:
            Whether the bytes were accepted. If not, the sender pauses and
            offers the same bytes again after `AttemptControl.resume`.
        """

    @abc.abstractmethod
    def end(self) -> Problem | None:
        """Handles the end of a body that is complete as far as HTTP goes.

        Returns:
            A problem if the content is incomplete, such as an event stream
            without its last event; None if it is complete.
        """


class RunnerClient(abc.ABC):
    """Client for the protocol of one kind of runner."""

    @abc.abstractmethod
    async def call(
        self, ticket: Ticket, sink: AnswerSink, *, timeout_seconds: float
    ) -> Result[AttemptCompletion, AttemptFailure]:
        """Sends one attempt and streams its answer into `sink`.

        Args:
            ticket: Permission to send the attempt.
            sink: Receiver of the answer.
            timeout_seconds: Maximum time for the whole attempt, not counting
                the time for which the sink pauses it.
        """

    @abc.abstractmethod
    async def report(self, runner: Runner) -> Result[RunnerReport, Problem]:
        """Requests a runner's load report.

        Args:
            runner: The runner to ask.
        """

    @abc.abstractmethod
    async def cancel(self, ticket: Ticket) -> Result[bool, Problem]:
        """Asks a runner to cancel an attempt.

        Returns:
            Whether the runner confirms that it cancelled the attempt.
        """


class ObjectStore(abc.ABC):
    """Client of the platform's object API, a store of versioned objects."""

    @abc.abstractmethod
    async def read(self, key: str) -> Result[StoredObject, Problem]:
        """Returns one object; an absent object has version zero."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after_version: int = 0
    ) -> Result[list[StoredObject], Problem]:
        """Returns the objects whose keys start with a prefix.

        Args:
            prefix: Prefix of the keys.
            after_version: Objects whose last write has this store version or
                an earlier one are left out.
        """

    @abc.abstractmethod
    async def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Replaces an object if its version is `expected_version`.

        Returns:
            The written object; CONFLICT if its version differs;
            STORE_UNAVAILABLE if the write certainly did not happen;
            OUTCOME_UNKNOWN if it may have happened.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is `expected_version`."""
