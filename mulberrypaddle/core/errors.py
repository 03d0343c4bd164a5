"""All error kinds, and the answer that a caller gets for each kind."""

from __future__ import annotations

import enum


class ErrorKind(enum.Enum):
    """Every way in which an operation of the system can fail.

    The value is the error code that callers, logs and metrics show. `ANSWERS`
    gives the HTTP answer for each kind.
    """

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UPLOAD_TOO_SLOW = "upload_too_slow"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    KEY_REQUIRED = "key_required"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    ALREADY_RAN = "already_ran"
    LIMIT_REACHED = "limit_reached"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    QUARANTINED = "quarantined"
    NO_RUNNER = "no_runner"
    NOT_OWNER = "not_owner"
    NOT_IN_FORCE = "not_in_force"
    SHUTTING_DOWN = "shutting_down"
    ISOLATED = "isolated"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFLICT = "conflict"
    INVALID_CONFIG = "invalid_config"
    UNSAFE_MOVE = "unsafe_move"
    RUNNER_REFUSED = "runner_refused"
    RUNNER_UNREACHABLE = "runner_unreachable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_BROKEN = "stream_broken"
    DEADLINE_PASSED = "deadline_passed"
    READER_STALLED = "reader_stalled"
    PEER_UNREACHABLE = "peer_unreachable"
    INTERNAL = "internal"


class Ran(enum.Enum):
    """Whether a failed request is known to have been executed."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class RetryAdvice(enum.Enum):
    """Whether a caller may send the same request again."""

    NEVER = "never"
    LATER = "later"
    NOW = "now"


class Answer:
    """HTTP answer to a caller for one error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the request is known to have run.
        retry: Whether the caller may send the request again.
        retry_after_seconds: Suggested wait before a retry; None for none.
    """

    __slots__ = ("ran", "retry", "retry_after_seconds", "status")

    def __init__(
        self,
        status: int,
        ran: Ran,
        retry: RetryAdvice,
        retry_after_seconds: int | None = None,
    ) -> None:
        self.status = status
        self.ran = ran
        self.retry = retry
        self.retry_after_seconds = retry_after_seconds


_NEVER = RetryAdvice.NEVER
_LATER = RetryAdvice.LATER
_NOW = RetryAdvice.NOW

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NOT_RUN, _NEVER),
    ErrorKind.TOO_LARGE: Answer(413, Ran.NOT_RUN, _NEVER),
    ErrorKind.UPLOAD_TOO_SLOW: Answer(408, Ran.NOT_RUN, _NOW),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NOT_RUN, _NEVER),
    ErrorKind.FORBIDDEN: Answer(403, Ran.NOT_RUN, _NEVER),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NOT_RUN, _NEVER),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NOT_RUN, _NEVER),
    ErrorKind.KEY_REQUIRED: Answer(428, Ran.NOT_RUN, _NEVER),
    ErrorKind.KEY_EXPIRED: Answer(422, Ran.UNKNOWN, _NEVER),
    ErrorKind.KEY_REUSED: Answer(422, Ran.NOT_RUN, _NEVER),
    ErrorKind.ALREADY_RAN: Answer(409, Ran.RAN, _NEVER),
    ErrorKind.LIMIT_REACHED: Answer(429, Ran.NOT_RUN, _LATER, 1),
    ErrorKind.OVERLOADED: Answer(503, Ran.NOT_RUN, _LATER, 2),
    ErrorKind.DEADLINE_TOO_SHORT: Answer(504, Ran.NOT_RUN, _LATER, 1),
    ErrorKind.QUARANTINED: Answer(422, Ran.NOT_RUN, _NEVER),
    ErrorKind.NO_RUNNER: Answer(503, Ran.NOT_RUN, _LATER, 2),
    ErrorKind.NOT_OWNER: Answer(503, Ran.NOT_RUN, _NOW),
    ErrorKind.NOT_IN_FORCE: Answer(503, Ran.NOT_RUN, _LATER, 1),
    ErrorKind.SHUTTING_DOWN: Answer(503, Ran.NOT_RUN, _NOW),
    ErrorKind.ISOLATED: Answer(503, Ran.NOT_RUN, _NOW),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NOT_RUN, _LATER, 5),
    ErrorKind.CONFLICT: Answer(409, Ran.NOT_RUN, _NEVER),
    ErrorKind.INVALID_CONFIG: Answer(422, Ran.NOT_RUN, _NEVER),
    ErrorKind.UNSAFE_MOVE: Answer(409, Ran.NOT_RUN, _NEVER),
    ErrorKind.RUNNER_REFUSED: Answer(503, Ran.NOT_RUN, _LATER, 1),
    ErrorKind.RUNNER_UNREACHABLE: Answer(502, Ran.NOT_RUN, _NOW),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN, _NEVER),
    ErrorKind.STREAM_BROKEN: Answer(502, Ran.UNKNOWN, _NEVER),
    ErrorKind.DEADLINE_PASSED: Answer(504, Ran.UNKNOWN, _NEVER),
    ErrorKind.READER_STALLED: Answer(408, Ran.RAN, _NEVER),
    ErrorKind.PEER_UNREACHABLE: Answer(503, Ran.NOT_RUN, _NOW),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, _NEVER),
}


class Problem:
    """One failed operation, as it is passed on and reported to the caller.

    Attributes:
        kind: Kind of the error.
        detail: Message for people, such as the value and what was expected.
        ran: Whether the request is known to have run; by default the entry
            of the kind in `ANSWERS`.
    """

    __slots__ = ("detail", "kind", "ran")

    def __init__(
        self, kind: ErrorKind, detail: str, *, ran: Ran | None = None
    ) -> None:
        self.kind = kind
        self.detail = detail
        self.ran = ANSWERS[kind].ran if ran is None else ran

    @property
    def answer(self) -> Answer:
        """Returns the entry of this kind in `ANSWERS`."""
        return ANSWERS[self.kind]

    def __repr__(self) -> str:
        return f"Problem({self.kind.value}: {self.detail} [{self.ran.value}])"
