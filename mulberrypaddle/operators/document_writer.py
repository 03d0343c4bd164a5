"""Writes operators' documents to the store by conditional writes."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import (
    Priority,
    ReadObject,
    StoredObject,
    WriteObject,
    keys,
)
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.operators.documents import kind_of_key, validate_document

# Most writes of one change, if answers to earlier ones were lost.
MAX_WRITE_ATTEMPTS = 4

ChangeReply = Callable[[Result[int, Problem]], None]


class DocumentChange:
    """One operator's change that is being written.

    Attributes:
        key: Object key.
        value: The document, encoded.
        expected_version: Version that the change is based on; zero for a new
            document.
        reply: Called once, with the accepted version or the problem.
        attempts: Number of writes started so far.
        may_be_written: Whether the answer to a write was lost, so that the
            change may already be stored.
    """

    __slots__ = (
        "expected_version",
        "key",
        "may_be_written",
        "reply",
        "attempts",
        "value",
    )

    def __init__(
        self, key: str, value: bytes, expected_version: int, reply: ChangeReply
    ) -> None:
        self.key = key
        self.value = value
        self.expected_version = expected_version
        self.reply = reply
        self.attempts = 0
        self.may_be_written = False


class DocumentWriter(Controller):
    """Validates a document and writes it if its version is as expected.

    A write whose answer was lost is repeated with the same expected version:
    it then either succeeds or conflicts. After a conflict the object is read
    back, to see whether it holds this change or another operator's.
    """

    name = "apply"

    def __init__(
        self,
        context: Context,
        *,
        on_accepted: Callable[[StoredObject], None] | None = None,
    ) -> None:
        """Sets the callback for accepted changes.

        Args:
            context: The router's context, for decisions and intents.
            on_accepted: Called with each object that this router has written,
                so that it takes effect here before the next read.
        """
        super().__init__(context)
        self._accepted = on_accepted

    def step(self, now_seconds: float) -> None:
        """Does nothing: changes are driven by the replies of the store."""

    def submit(
        self,
        key: str,
        document: str,
        *,
        expected_version: int,
        reply: ChangeReply,
    ) -> None:
        """Validates one change and writes it to the store.

        Args:
            key: Object key below `config/`.
            document: The YAML document.
            expected_version: Version that the change is based on; zero for
                a new document.
            reply: Called once with the accepted version, or with
                INVALID_CONFIG, CONFLICT, STORE_UNAVAILABLE or
                OUTCOME_UNKNOWN.
        """
        kind = kind_of_key(key)
        if kind is None:
            reply(
                Failure(
                    Problem(
                        ErrorKind.BAD_REQUEST,
                        f"got key {key!r}, allowed are keys below 'config/'",
                    )
                )
            )
            return
        entry = self.context.board.entry(keys.CONFIGURATION)
        name = key.removeprefix(kind.prefix)
        checked = validate_document(
            kind,
            document,
            source=key,
            name=name,
            configuration=None if entry is None else entry.value,
        )
        if not isinstance(checked, Success):
            self._refuse(key, checked.failure(), reply)
            return
        self._write(
            DocumentChange(key, document.encode(), expected_version, reply)
        )

    def _refuse(self, key: str, problem: Problem, reply: ChangeReply) -> None:
        self.context.decide(
            "refuse_change",
            subject=key,
            outcome=problem.kind.value,
            reason=problem.detail,
        )
        reply(Failure(problem))

    def _accept(self, change: DocumentChange, version: int) -> None:
        self.context.decide(
            "accept_change",
            subject=change.key,
            outcome=str(version),
            reason="written under the expected version",
            expected_version=str(change.expected_version),
        )
        if self._accepted is not None:
            self._accepted(StoredObject(change.key, change.value, version))
        change.reply(Success(version))

    def _write(self, change: DocumentChange) -> None:
        change.attempts += 1

        def written(result: Result[StoredObject, Problem]) -> None:
            self._on_write_result(change, result)

        self.context.board.intents.append(
            WriteObject(
                change.key,
                change.value,
                expected_version=change.expected_version,
                priority=Priority.CONFIG,
                reply=written,
            )
        )

    def _on_write_result(
        self, change: DocumentChange, result: Result[StoredObject, Problem]
    ) -> None:
        if isinstance(result, Success):
            self._accept(change, result.unwrap().version)
            return
        problem = result.failure()
        if problem.kind is ErrorKind.CONFLICT:
            self._read_back(change, problem)
            return
        if problem.kind is ErrorKind.OUTCOME_UNKNOWN:
            change.may_be_written = True
        if change.may_be_written and change.attempts < MAX_WRITE_ATTEMPTS:
            self._write(change)
            return
        self._refuse(
            change.key, _with_known_outcome(change, problem), change.reply
        )

    def _read_back(self, change: DocumentChange, conflict: Problem) -> None:
        """Reads the object after a conflict and replies to the operator.

        The conflict may stem from this change itself, if the answer to an
        earlier write was lost.
        """

        def read(result: Result[StoredObject, Problem]) -> None:
            if not isinstance(result, Success):
                problem = _with_known_outcome(change, result.failure())
                self._refuse(change.key, problem, change.reply)
                return
            stored = result.unwrap()
            if change.may_be_written and stored.value == change.value:
                self._accept(change, stored.version)
                return
            if change.may_be_written:
                conflict.ran = Ran.UNKNOWN
            conflict.detail = (
                f"{change.key}: got expected version "
                f"{change.expected_version}, present is {stored.version}"
            )
            self._refuse(change.key, conflict, change.reply)

        self.context.board.intents.append(
            ReadObject(change.key, priority=Priority.CONFIG, reply=read)
        )


def _with_known_outcome(change: DocumentChange, problem: Problem) -> Problem:
    """Returns OUTCOME_UNKNOWN for a change that may be stored.

    A change that was certainly not stored keeps its problem.
    """
    if not change.may_be_written:
        return problem
    return Problem(
        ErrorKind.OUTCOME_UNKNOWN,
        f"{change.key}: the change may have been accepted, read it back; "
        f"{problem.detail}",
    )
