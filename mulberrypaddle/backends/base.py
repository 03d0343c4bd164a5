"""The narrow bases that a new dialect implements."""

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


class Completion:
    """An attempt that ended as the protocol says it should.

    Attributes:
        status: HTTP status of the runner.
        content_type: Media type of the answer.
        size_bytes: Length of the answer.
    """

    __slots__ = ("content_type", "size_bytes", "status")

    def __init__(self, status: int, content_type: str, size_bytes: int) -> None:
        self.status = status
        self.content_type = content_type
        self.size_bytes = size_bytes


class AttemptFailure:
    """An attempt that broke.

    Attributes:
        problem: What happened.
        state: What is known about execution.
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
        headers: Further headers that are passed on to the caller.
        size_bytes: Declared length; None for a chunked answer.
        adapter_version: Version of the adapter that answers; may be empty.
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
    """Where a broken stream is to go on.

    Attributes:
        last_offset: Offset of the last token that the caller was sent.
        adapter_version: Version that generated the tokens so far.
    """

    __slots__ = ("adapter_version", "last_offset")

    def __init__(self, last_offset: int, *, adapter_version: str) -> None:
        self.last_offset = last_offset
        self.adapter_version = adapter_version


class Upstream(abc.ABC):
    """The runner's side of an attempt, as its sink controls it."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Goes on after `AnswerSink.take` refused."""

    @abc.abstractmethod
    def cancel(self, problem: Problem) -> None:
        """Gives the attempt up; it fails with `problem`."""


class AnswerSink(abc.ABC):
    """Takes the answer of one attempt as it comes."""

    @property
    @abc.abstractmethod
    def resume_point(self) -> ResumePoint | None:
        """Returns where the answer has to go on, or None at the start."""

    @abc.abstractmethod
    def attach(self, upstream: Upstream) -> None:
        """Takes the control of the sender, before anything else."""

    @abc.abstractmethod
    def start(self, head: AnswerHead) -> None:
        """Takes the head of the answer, once, before any body."""

    @abc.abstractmethod
    def take(self, data: bytes) -> bool:
        """Takes the next bytes of the body.

        Returns:
            Whether they were taken. If not, the sender pauses and offers
            the same bytes again after `Upstream.resume`.
        """

    @abc.abstractmethod
    def end(self) -> Problem | None:
        """Learns that the sender ended as HTTP says it should.

        Returns:
            What is missing of the answer, or None if it is whole.
        """


class RunnerClient(abc.ABC):
    """Speaks the dialect of one kind of runner."""

    @abc.abstractmethod
    async def call(
        self, ticket: Ticket, sink: AnswerSink, *, timeout_seconds: float
    ) -> Result[Completion, AttemptFailure]:
        """Sends one attempt and streams its answer into `sink`.

        Args:
            ticket: Permission to send.
            sink: Where the answer goes.
            timeout_seconds: Longest time for the whole attempt, the time
                in which it is paused for its reader not counted.
        """

    @abc.abstractmethod
    async def report(self, runner: Runner) -> Result[RunnerReport, Problem]:
        """Asks a runner for its load; times are as seen by the runner."""

    @abc.abstractmethod
    async def cancel(self, ticket: Ticket) -> Result[bool, Problem]:
        """Tells a runner to give up an attempt."""


class ObjectStore(abc.ABC):
    """The platform's object API."""

    @abc.abstractmethod
    async def read(self, key: str) -> Result[StoredObject, Problem]:
        """Returns one object; an absent one has version zero."""

    @abc.abstractmethod
    async def list(
        self, prefix: str, *, after_version: int = 0
    ) -> Result[list[StoredObject], Problem]:
        """Returns the objects below a prefix.

        Args:
            prefix: Start of their keys.
            after_version: Leaves out those that were last written at this
                version of the store or earlier.
        """

    @abc.abstractmethod
    async def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Replaces an object if its version is as expected.

        Returns:
            The object, CONFLICT if it was not written, STORE_UNAVAILABLE if
            it was surely not written, or OUTCOME_UNKNOWN.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is as expected."""
