"""Checks of HTTP headers, sizes and paths before a request is built."""

from __future__ import annotations

import re
import urllib.parse
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

# Headers that control how a request is handled, so that a second value would
# be ambiguous.
_SINGLE_VALUE_HEADERS = frozenset(
    {
        "Authorization",
        "Content-Length",
        "Content-Type",
        "Idempotency-Key",
        "Priority",
        "Request-Timeout",
        "Transfer-Encoding",
    }
)

# Request headers that are forwarded to a plain service.
_FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "Content-Encoding",
    "Idempotency-Key",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    "If-Unmodified-Since",
    "Range",
    "Traceparent",
    "Tracestate",
)

# Methods and paths of an engine that callers may use; its other paths are for
# routers only.
_ENGINE_CALLS = frozenset(
    {("POST", "/v1/completions"), ("POST", "/v1/chat/completions")}
)

# A service may not read these characters and segments as part of a plain
# name, so that a call could bypass the path patterns of a contract.
_AMBIGUOUS_PATH = re.compile(r"[\x00-\x20\x7f\\;?#]|//|/\.{1,2}(?:/|$)")
_CONTENT_LENGTH = re.compile(r"^[0-9]{1,18}$")
# Characters that are not percent-encoded in a path.
_SAFE_IN_PATH = "/:@!$&'()*+,=~-._"

# The colon, the space and the line end of each header.
_HEADER_OVERHEAD_BYTES = 4


def _bad_request(detail: str) -> Problem:
    return Problem(ErrorKind.BAD_REQUEST, detail)


def check_headers(
    headers: HTTPHeaders, *, header_bytes: int, body_bytes: int
) -> Problem | None:
    """Checks the size of the headers, repeated headers and the body framing.

    Args:
        headers: Headers as received.
        header_bytes: Largest allowed size of all headers.
        body_bytes: Largest allowed size of the body.

    Returns:
        TOO_LARGE or BAD_REQUEST, or None if they are valid.
    """
    size_bytes = 0
    seen: set[str] = set()
    for name, value in headers.get_all():
        size_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if name in _SINGLE_VALUE_HEADERS:
            if name in seen:
                return _bad_request(f"got {name} twice, allowed is once")
            seen.add(name)
    if size_bytes > header_bytes:
        return Problem(
            ErrorKind.TOO_LARGE,
            f"got headers of {size_bytes} bytes, allowed are {header_bytes}",
        )
    return _check_framing(headers, body_bytes=body_bytes)


def _check_framing(headers: HTTPHeaders, *, body_bytes: int) -> Problem | None:
    """Checks that the length of the body is declared unambiguously."""
    encoding = headers.get("Transfer-Encoding")
    length = headers.get("Content-Length")
    if encoding is not None and length is not None:
        return _bad_request("got both Transfer-Encoding and Content-Length")
    if encoding is not None and encoding.lower() != "chunked":
        return _bad_request(
            f"got Transfer-Encoding {encoding!r}, allowed is 'chunked'"
        )
    if length is None:
        return None
    if _CONTENT_LENGTH.match(length) is None:
        return _bad_request(
            f"got Content-Length {length!r}, allowed is a number"
        )
    return check_body_size(int(length), body_bytes=body_bytes)


def check_body_size(size_bytes: int, *, body_bytes: int) -> Problem | None:
    """Returns TOO_LARGE for a body above the limit, else None."""
    if size_bytes <= body_bytes:
        return None
    return Problem(
        ErrorKind.TOO_LARGE,
        f"got a body of {size_bytes} bytes or more, allowed are {body_bytes}",
    )


def check_path(
    method: str, path: str, kind: ServiceKind
) -> Result[str, Problem]:
    """Checks and percent-encodes the path below a service.

    Args:
        method: HTTP method in upper case.
        path: Decoded path, starting with a slash.
        kind: The service's kind of back end.

    Returns:
        The percent-encoded path, or BAD_REQUEST or NOT_FOUND.
    """
    if kind is ServiceKind.ENGINE and (method, path) in _ENGINE_CALLS:
        return Success(path)
    if _AMBIGUOUS_PATH.search(path) is not None:
        return Failure(
            _bad_request(
                f"got path {path!r}: empty and dot segments, ';', '\\' and "
                "control characters are not allowed"
            )
        )
    if kind is ServiceKind.ENGINE:
        return Failure(
            Problem(
                ErrorKind.NOT_FOUND,
                f"got {method} {path!r}, an engine takes POST "
                "/v1/completions or /v1/chat/completions",
            )
        )
    return Success(urllib.parse.quote(path, safe=_SAFE_IN_PATH))


def forwarded_headers(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are forwarded to a plain service."""
    passed = []
    for name in _FORWARDED_HEADERS:
        value = headers.get(name)
        if value is not None:
            passed.append((name, value))
    return tuple(passed)
