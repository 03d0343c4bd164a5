"""A caller's request and the attempts made to answer it."""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.contract import Urgency


class AttemptState(enum.Enum):
    """What is known about one attempt.

    Only UNSENT and REFUSED allow the statement "not run".
    """

    UNSENT = "unsent"
    MAYBE_RUN = "maybe_run"
    REFUSED = "refused"
    DONE = "done"


class Request:
    """One authenticated request with the limits that apply to it.

    Attributes:
        request_id: Unique over all routers and incarnations.
        organisation: Who calls.
        service: Which service is called.
        method: HTTP method in capitals.
        path: Path below the service, starting with a slash.
        body: Whole body.
        content_type: Media type of the body.
        urgency: Urgency, at most that of the contract.
        deadline_at_seconds: Monotonic time by which the answer is due.
        idempotent: Whether it may run more than once.
        idempotency_key: Caller's key; empty when none was given.
        prompt_tokens: Estimated tokens of the prompt.
        max_output_tokens: Most tokens of the answer.
        stream: Whether the caller wants server-sent events.
        query: Query string, without the question mark.
        passed_headers: Further headers for a plain service.
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
        "passed_headers",
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
        passed_headers: tuple[tuple[str, str], ...] = (),
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
        self.passed_headers = passed_headers

    @property
    def tokens(self) -> int:
        """Returns the worst case of tokens that a runner holds for it."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def target(self) -> str:
        """Returns path and query as they stand in a request line."""
        if not self.query:
            return self.path
        return f"{self.path}?{self.query}"

    def fingerprint(self) -> str:
        """Returns a digest of the content, equal for resent requests."""
        digest = hashlib.sha256()
        for part in (self.organisation, self.service, self.method, self.target):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
