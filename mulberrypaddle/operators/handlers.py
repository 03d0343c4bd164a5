"""HTTP handlers of the operators' API."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import TYPE_CHECKING, Any

import tornado.web
from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import (
    Intent,
    ListObjects,
    Priority,
    ReadObject,
    StoredObject,
    keys,
)
from mulberrypaddle.controllers.data_centres import check_move, reported_load
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import DataCentreState
from mulberrypaddle.core.value_checks import parse_unsigned
from mulberrypaddle.frontdoor.problems import problem_to_json
from mulberrypaddle.frontdoor.replies import wait_for_reply
from mulberrypaddle.operators.documents import DocumentKind
from mulberrypaddle.operators.status import status_tables
from mulberrypaddle.settings.configuration_documents import parse_data_centre

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.operators.document_writer import (
        ChangeReply,
        DocumentWriter,
    )
    from mulberrypaddle.operators.journal import Journal

MAX_DOCUMENT_BYTES = 262_144


class OperatorState:
    """State that the operators' handlers share.

    Attributes:
        context: The router's context, with its blackboard.
        apply: Validates and writes documents.
        journal: Recent decisions of this router, by subject.
        key_sha256: Hex SHA-256 digests of the operators' bearer keys.
    """

    __slots__ = ("apply", "context", "journal", "key_sha256")

    def __init__(
        self,
        *,
        context: Context,
        apply: DocumentWriter,
        journal: Journal,
        key_sha256: tuple[str, ...],
    ) -> None:
        self.context = context
        self.apply = apply
        self.journal = journal
        self.key_sha256 = key_sha256

    def is_operator(self, authorization: str) -> bool:
        """Returns whether an `Authorization` header has an operator's key."""
        _, _, key = authorization.partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        for known in self.key_sha256:
            if hmac.compare_digest(known, digest):
                return True
        return False


class _OperatorHandler(tornado.web.RequestHandler):
    """Authenticates operators; base of the other handlers."""

    def initialize(self, desk: OperatorState) -> None:
        """Stores the state that the handlers share."""
        self.state = desk

    def prepare(self) -> None:
        """Refuses a request without an operator's key."""
        authorization = self.request.headers.get("Authorization", "")
        if self.state.is_operator(authorization):
            return
        self.refuse(
            Problem(
                ErrorKind.UNAUTHENTICATED,
                "got no operator's key, allowed is "
                "'Authorization: Bearer KEY' with one of the settings",
            )
        )

    def answer(self, value: Any) -> None:
        """Ends the request with a JSON value."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def refuse(self, problem: Problem) -> None:
        """Ends the request with a problem document."""
        self.set_status(problem.answer.status)
        self.set_header("Content-Type", "application/problem+json")
        self.finish(problem_to_json(problem, request_id=""))

    def kind(self, name: str) -> Result[DocumentKind, Problem]:
        """Returns the document kind of a name in the path."""
        try:
            return Success(DocumentKind(name))
        except ValueError:
            allowed = ", ".join(kind.value for kind in DocumentKind)
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"got kind {name!r}, allowed are {allowed}",
                )
            )

    async def store_call(
        self, make: Callable[[Callable[[Result[Any, Problem]], None]], Intent]
    ) -> Result[Any, Problem]:
        """Calls the store through an intent and waits for the reply.

        Args:
            make: Builds the intent with the callback for the reply.
        """
        return await wait_for_reply(
            lambda reply: self.state.context.board.intents.append(make(reply))
        )


def _document_to_json(kind: DocumentKind, stored: StoredObject) -> Any:
    return {
        "kind": kind.value,
        "name": stored.key.removeprefix(kind.prefix),
        "version": stored.version,
        "document": stored.value.decode(errors="replace"),
    }


class _DocumentsHandler(_OperatorHandler):
    """Lists documents of one kind."""

    async def get(self, kind_name: str) -> None:
        """Answers with all documents of the kind, as stored."""
        kind = self.kind(kind_name)
        if not isinstance(kind, Success):
            self.refuse(kind.failure())
            return
        prefix = kind.unwrap().prefix
        listed = await self.store_call(
            lambda reply: ListObjects(
                prefix, priority=Priority.CONFIG, reply=reply
            )
        )
        if not isinstance(listed, Success):
            self.refuse(listed.failure())
            return
        found = []
        for stored in listed.unwrap():
            if not stored.value:
                continue
            found.append(_document_to_json(kind.unwrap(), stored))
        self.answer(found)


class _DocumentHandler(_OperatorHandler):
    """Reads and writes one document."""

    async def get(self, kind_name: str, name: str) -> None:
        """Answers with the document as stored."""
        kind = self.kind(kind_name)
        if not isinstance(kind, Success):
            self.refuse(kind.failure())
            return
        key = kind.unwrap().key_of(name)
        read = await self.store_call(
            lambda reply: ReadObject(key, priority=Priority.CONFIG, reply=reply)
        )
        if not isinstance(read, Success):
            self.refuse(read.failure())
            return
        stored = read.unwrap()
        if not stored.value:
            self.refuse(
                Problem(
                    ErrorKind.NOT_FOUND, f"there is no {kind_name} {name!r}"
                )
            )
            return
        self.answer(_document_to_json(kind.unwrap(), stored))

    async def put(self, kind_name: str, name: str) -> None:
        """Writes a document if its stored version equals `If-Match`."""
        kind = self.kind(kind_name)
        if not isinstance(kind, Success):
            self.refuse(kind.failure())
            return
        if len(self.request.body) > MAX_DOCUMENT_BYTES:
            self.refuse(
                Problem(
                    ErrorKind.TOO_LARGE,
                    f"got {len(self.request.body)} bytes, "
                    f"allowed are {MAX_DOCUMENT_BYTES}",
                )
            )
            return
        header = self.request.headers.get("If-Match", "").strip('"')
        version = parse_unsigned(header)
        if version is None:
            self.refuse(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"got If-Match {header!r}, allowed is the version read, "
                    "0 for a new document",
                )
            )
            return
        try:
            text = self.request.body.decode()
        except UnicodeDecodeError as error:
            self.refuse(
                Problem(ErrorKind.INVALID_CONFIG, f"{name}: not UTF-8: {error}")
            )
            return
        unsafe = self._check_move_is_safe(kind.unwrap(), name, text)
        if unsafe is not None:
            self.refuse(unsafe)
            return
        key = kind.unwrap().key_of(name)

        def ask(reply: ChangeReply) -> None:
            self.state.apply.submit(
                key, text, expected_version=version, reply=reply
            )

        applied = await wait_for_reply(ask)
        if not isinstance(applied, Success):
            self.refuse(applied.failure())
            return
        self.answer(
            {
                "kind": kind_name,
                "name": name,
                "version": applied.unwrap(),
                "accepted": True,
            }
        )

    def _check_move_is_safe(
        self, kind: DocumentKind, name: str, text: str
    ) -> Problem | None:
        """Checks that a data centre can safely be taken out.

        Returns:
            Why not, or None if it is safe, overridden or not taken out.
        """
        if kind is not DocumentKind.DATA_CENTRE:
            return None
        if self.get_query_argument("override", "") == "true":
            return None
        parsed = parse_data_centre(text, source=name)
        if not isinstance(parsed, Success):
            return None
        if parsed.unwrap() is not DataCentreState.OUT:
            return None
        board = self.state.context.board
        configuration = board.entry(keys.CONFIGURATION)
        runners = board.entry(keys.RUNNERS)
        if configuration is None or runners is None:
            return None
        advice = check_move(
            configuration.value,
            runners.value.runners.values(),
            reported_load(runners.value),
            name,
        )
        return None if isinstance(advice, Success) else advice.failure()


class _StatusHandler(_OperatorHandler):
    """Shows the state of the fleet as known to this router."""

    def get(self) -> None:
        """Answers with all status tables."""
        tables = {}
        for table in status_tables(self.state.context):
            tables[table.title] = table.to_json()
        self.answer(tables)


class _ExplainHandler(_OperatorHandler):
    """Shows this router's recent decisions about one subject."""

    def get(self, subject: str) -> None:
        """Answers with the decisions, oldest first."""
        decisions = self.state.journal.decisions_about(subject)
        if not decisions:
            self.refuse(
                Problem(
                    ErrorKind.NOT_FOUND,
                    f"router {self.state.context.member_id!r} remembers "
                    f"nothing about {subject!r}",
                )
            )
            return
        found = []
        for decision in decisions:
            found.append(
                {
                    "at_wall_seconds": decision.at_wall_seconds,
                    "router": self.state.context.member_id,
                    "kind": decision.kind,
                    "outcome": decision.outcome,
                    "reason": decision.reason,
                    "fields": decision.fields,
                }
            )
        self.answer(found)


def operator_routes(state: OperatorState) -> list[Any]:
    """Returns the routes of the operators' API."""
    arguments = {"desk": state}
    return [
        (r"/operator/status", _StatusHandler, arguments),
        (r"/operator/explain/([!-~]+)", _ExplainHandler, arguments),
        (
            r"/operator/documents/([a-z-]+)",
            _DocumentsHandler,
            arguments,
        ),
        (
            r"/operator/documents/([a-z-]+)/([a-z0-9-]+)",
            _DocumentHandler,
            arguments,
        ),
    ]
