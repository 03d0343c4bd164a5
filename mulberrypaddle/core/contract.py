"""Contracts: the limits and rules for an organisation's use of services."""

from __future__ import annotations

import enum


class Urgency(enum.IntEnum):
    """Priority of a queued request; lower values are served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


class CallPattern:
    """A method and path prefix, such as `POST /orders`.

    Attributes:
        method: HTTP method in upper case.
        path_prefix: Path within the service; the pattern covers it and all
            paths below it.
    """

    __slots__ = ("method", "path_prefix")

    def __init__(self, method: str, path_prefix: str) -> None:
        self.method = method
        self.path_prefix = path_prefix

    def matches(self, method: str, path: str) -> bool:
        """Returns whether the pattern covers a call."""
        if method != self.method:
            return False
        prefix = self.path_prefix.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class ServiceTerms:
    """Limits and rules of one organisation for one service.

    Attributes:
        service: Name of the service.
        in_flight_requests: Maximum requests in flight over all routers.
        in_flight_tokens: Maximum prompt plus output tokens of the requests
            in flight over all routers.
        urgency: Highest urgency that a request may claim.
        deadline_seconds: Default and maximum time until the answer is
            complete.
        at_most_once_calls: Calls that are not idempotent and must run at most
            once.
        reader_window_bytes: Maximum bytes of an answer that are buffered for
            a caller that reads slowly.
        reader_stall_seconds: Time without reading after which a caller's
            answer is aborted.
    """

    __slots__ = (
        "deadline_seconds",
        "in_flight_requests",
        "in_flight_tokens",
        "at_most_once_calls",
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
        at_most_once_calls: tuple[CallPattern, ...] = (),
        reader_window_bytes: int = 65_536,
        reader_stall_seconds: float = 60.0,
    ) -> None:
        self.service = service
        self.in_flight_requests = in_flight_requests
        self.in_flight_tokens = in_flight_tokens
        self.urgency = urgency
        self.deadline_seconds = deadline_seconds
        self.at_most_once_calls = at_most_once_calls
        self.reader_window_bytes = reader_window_bytes
        self.reader_stall_seconds = reader_stall_seconds

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call may be executed more than once."""
        for pattern in self.at_most_once_calls:
            if pattern.matches(method, path):
                return False
        return True


class Contract:
    """The contract of one organisation.

    Attributes:
        organisation: Name of the organisation.
        key_sha256: SHA-256 digests, in hex, of the accepted caller keys.
        terms: Limits and rules by service name; a service that is missing
            may not be called.
        version: Version of the stored object; zero if it is not stored.
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
