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


class AnswerSink(abc.ABC):
    """Takes the answer of one attempt as it comes."""

    @abc.abstractmethod
    def start(self, status: int, content_type: str) -> None:
        """Takes the head of the answer, once, before any body."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Takes the next bytes of the body."""


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
            timeout_seconds: Longest time for the whole attempt.
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
