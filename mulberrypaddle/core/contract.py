"""Contracts: what one organisation may ask of each service."""

from __future__ import annotations

import enum


class Urgency(enum.IntEnum):
    """Order in which queued requests are served; lower goes first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class CallPattern:
    """A method and path prefix, as in `POST /orders`.

    Attributes:
        method: HTTP method in capitals.
        path_prefix: Path below the service that the pattern covers.
    """

    __slots__ = ("method", "path_prefix")

    def __init__(self, method: str, path_prefix: str) -> None:
        self.method = method
        self.path_prefix = path_prefix

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a call falls under this pattern."""
        if method != self.method:
            return False
        prefix = self.path_prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class ServiceTerms:
    """Terms of one organisation for one service.

    Attributes:
        service: Name of the service.
        in_flight_requests: Most requests in hand over all routers.
        in_flight_tokens: Most prompt plus output tokens in hand.
        urgency: Highest urgency that a request may claim.
        deadline_seconds: Default and longest time for an answer.
        never_twice: Calls that must run at most once.
        reader_window_bytes: Most answer bytes held for one slow reader.
        reader_stall_seconds: A reader silent for this long is ended.
    """

    __slots__ = (
        "deadline_seconds",
        "in_flight_requests",
        "in_flight_tokens",
        "never_twice",
        "reader_stall_seconds",
        "reader_window_bytes",
        "service",
        "urgency",
    )

    def __init__(
        self,
        service: str,
        *,
        in_flight_requests: int,
        in_flight_tokens: int,
        urgency: Urgency,
        deadline_seconds: float,
        never_twice: tuple[CallPattern, ...] = (),
        reader_window_bytes: int = 65_536,
        reader_stall_seconds: float = 60.0,
    ) -> None:
        self.service = service
        self.in_flight_requests = in_flight_requests
        self.in_flight_tokens = in_flight_tokens
        self.urgency = urgency
        self.deadline_seconds = deadline_seconds
        self.never_twice = never_twice
        self.reader_window_bytes = reader_window_bytes
        self.reader_stall_seconds = reader_stall_seconds

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call may run more than once."""
        for pattern in self.never_twice:
            if pattern.matches(method, path):
                return False
        return True


class Contract:
    """Everything agreed with one organisation.

    Attributes:
        organisation: Name of the organisation.
        key_sha256: Hex digests of the accepted caller keys.
        terms: Terms by service name.
        version: Object version in the platform's object API.
    """

    __slots__ = ("key_sha256", "organisation", "terms", "version")

    def __init__(
        self,
        organisation: str,
        *,
        key_sha256: tuple[str, ...],
        terms: dict[str, ServiceTerms],
        version: int = 0,
    ) -> None:
        self.organisation = organisation
        self.key_sha256 = key_sha256
        self.terms = terms
        self.version = version
