"""A caller's request and the states of the attempts to execute it."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.contract import Urgency


class AttemptState(enum.Enum):
    """What a router knows about the execution of an attempt.

    Only after UNSENT or REFUSED may the caller be told "not run".
    """

    UNSENT = "unsent"
    MAYBE_RUN = "maybe_run"
    # The runner answered that it did not execute the attempt.
    REFUSED = "refused"
    DONE = "done"


class Request:
    """An authenticated request with the limits that apply to it.

    Attributes:
        request_id: Id that is unique over all routers and incarnations.
        organisation: Name of the calling organisation.
        service: Name of the service that is called.
        method: HTTP method in upper case.
        path: Path within the service, starting with a slash.
        body: The complete body.
        content_type: Media type of the body.
        urgency: Priority in the queue, at most that of the contract.
        deadline_at_seconds: Monotonic time by which the answer must be
            complete.
        idempotent: Whether it may be executed more than once.
        idempotency_key: Idempotency key of the caller; empty if none.
        prompt_tokens: Estimated tokens of the prompt.
        max_output_tokens: Maximum tokens of the answer.
        stream: Whether the caller asked for server-sent events.
        query: Query string, without the question mark.
        forwarded_headers: Further headers that are forwarded to a plain
            service, as pairs of name and value.
    """

    __slots__ = (
        "body",
        "content_type",
        "deadline_at_seconds",
        "idempotency_key",
        "idempotent",
        "max_output_tokens",
        "method",
        "organisation",
        "forwarded_headers",
        "path",
        "prompt_tokens",
        "query",
        "request_id",
        "service",
        "stream",
        "urgency",
    )

    def __init__(
        self,
        request_id: str,
        *,
        organisation: str,
        service: str,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        urgency: Urgency,
        deadline_at_seconds: float,
        idempotent: bool,
        idempotency_key: str = "",
        prompt_tokens: int = 0,
        max_output_tokens: int = 0,
        stream: bool = False,
        query: str = "",
        forwarded_headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        self.request_id = request_id
        self.organisation = organisation
        self.service = service
        self.method = method
        self.path = path
        self.body = body
        self.content_type = content_type
        self.urgency = urgency
        self.deadline_at_seconds = deadline_at_seconds
        self.idempotent = idempotent
        self.idempotency_key = idempotency_key
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.stream = stream
        self.query = query
        self.forwarded_headers = forwarded_headers

    @property
    def tokens(self) -> int:
        """Returns the maximum tokens that it can occupy at a runner."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def target(self) -> str:
        """Returns the target of the HTTP request line: path and query."""
        if not self.query:
            return self.path
        return f"{self.path}?{self.query}"

    def fingerprint(self) -> str:
        """Returns a digest of the content, which is the same for a retry.

        It covers organisation, service, method, target and body.
        """
        digest = hashlib.sha256()
        for part in (self.organisation, self.service, self.method, self.target):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
