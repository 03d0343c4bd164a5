"""Checks of HTTP input before a body is read."""

from __future__ import annotations

import re
import urllib.parse
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

# Headers that decide what happens; a second value would be ambiguous.
_SINGLE_HEADERS = frozenset(
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

# Headers of a request that are passed on to a plain service.
_PASSED_HEADERS = (
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

# What callers may ask of an engine; the rest of it is for the router only.
_ENGINE_CALLS = frozenset(
    {("POST", "/v1/completions"), ("POST", "/v1/chat/completions")}
)

# A service may read these as something other than a part of a name, so a
# call could slip past the patterns of a contract.
_BAD_PATH = re.compile(r"[\x00-\x20\x7f\\;?#]|//|/\.{1,2}(?:/|$)")
_LENGTH = re.compile(r"^[0-9]{1,18}$")
_SAFE_IN_PATH = "/:@!$&'()*+,=~-._"

_HEADER_EXTRA_BYTES = 4


def _bad(detail: str) -> Problem:
    return Problem(ErrorKind.BAD_REQUEST, detail)


def check_headers(
    headers: HTTPHeaders, *, header_bytes: int, body_bytes: int
) -> Problem | None:
    """Returns what is wrong with the headers of a request, or None.

    Args:
        headers: Headers as received.
        header_bytes: Largest size of all headers.
        body_bytes: Largest body.
    """
    size_bytes = 0
    seen: set[str] = set()
    for name, value in headers.get_all():
        size_bytes += len(name) + len(value) + _HEADER_EXTRA_BYTES
        if name in _SINGLE_HEADERS:
            if name in seen:
                return _bad(f"got {name} twice, allowed is once")
            seen.add(name)
    if size_bytes > header_bytes:
        return Problem(
            ErrorKind.TOO_LARGE,
            f"got headers of {size_bytes} bytes, allowed are {header_bytes}",
        )
    return _check_framing(headers, body_bytes=body_bytes)


def _check_framing(headers: HTTPHeaders, *, body_bytes: int) -> Problem | None:
    encoding = headers.get("Transfer-Encoding")
    length = headers.get("Content-Length")
    if encoding is not None and length is not None:
        return _bad("got both Transfer-Encoding and Content-Length")
    if encoding is not None and encoding.lower() != "chunked":
        return _bad(f"got Transfer-Encoding {encoding!r}, allowed is 'chunked'")
    if length is None:
        return None
    if _LENGTH.match(length) is None:
        return _bad(f"got Content-Length {length!r}, allowed is a number")
    return check_body_size(int(length), body_bytes=body_bytes)


def check_body_size(size_bytes: int, *, body_bytes: int) -> Problem | None:
    """Returns TOO_LARGE for a body above the bound, or None."""
    if size_bytes <= body_bytes:
        return None
    return Problem(
        ErrorKind.TOO_LARGE,
        f"got a body of {size_bytes} bytes or more, allowed are {body_bytes}",
    )


def check_path(
    method: str, path: str, kind: ServiceKind
) -> Result[str, Problem]:
    """Checks the path below a service.

    Args:
        method: HTTP method in capitals.
        path: Decoded path, starting with a slash.
        kind: What stands behind the service.

    Returns:
        The path, percent-encoded again, or BAD_REQUEST or NOT_FOUND.
    """
    if kind is ServiceKind.ENGINE and (method, path) in _ENGINE_CALLS:
        return Success(path)
    if _BAD_PATH.search(path) is not None:
        return Failure(
            _bad(
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


def passed_headers(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are passed on to a plain service."""
    passed = []
    for name in _PASSED_HEADERS:
        value = headers.get(name)
        if value is not None:
            passed.append((name, value))
    return tuple(passed)
