"""Builds a typed request from a caller's HTTP headers and body.

Headers that are interpreted: `Authorization: Bearer`, `Idempotency-Key`
(IETF draft), `Priority: u=N` (RFC 9218) and `Request-Timeout` in seconds.
"""

from __future__ import annotations

import hashlib
import hmac
import json
import re
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.controllers.claims import key_millis
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.core.request import Request
from mulberrypaddle.frontdoor.input_checks import check_path, forwarded_headers

if TYPE_CHECKING:
    from tornado.httputil import HTTPServerRequest

    from mulberrypaddle.blackboard.values import Configuration
    from mulberrypaddle.core.contract import Contract, ServiceTerms
    from mulberrypaddle.core.fleet import Service

# Estimate of the prompt's size in tokens, from its bytes.
BYTES_PER_TOKEN = 4
# Used where a request to an engine has no `max_tokens`.
DEFAULT_OUTPUT_TOKENS = 256
# Largest allowed `max_tokens`.
MAX_OUTPUT_TOKENS = 131_072

_KEY_PATTERN = re.compile(r"^[!-~]{1,128}$")
_PRIORITY_PATTERN = re.compile(r"u\s*=\s*([0-7])")


def authenticate(
    configuration: Configuration, authorization: str
) -> Result[Contract, Problem]:
    """Returns the contract that the caller's bearer key belongs to.

    Args:
        configuration: The configuration in force.
        authorization: Value of the `Authorization` header.
    """
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key:
        return Failure(
            Problem(
                ErrorKind.UNAUTHENTICATED,
                "got no bearer key, allowed is 'Authorization: Bearer KEY'",
            )
        )
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    for contract in configuration.contracts.values():
        for known in contract.key_sha256:
            if hmac.compare_digest(known, digest):
                return Success(contract)
    return Failure(
        Problem(
            ErrorKind.UNAUTHENTICATED,
            "the key belongs to no organisation",
        )
    )


def _bad_request(detail: str) -> Failure[Problem]:
    return Failure(Problem(ErrorKind.BAD_REQUEST, detail))


def _parse_urgency(
    header: str, terms: ServiceTerms
) -> Result[Urgency, Problem]:
    """Maps the `Priority` header to an urgency.

    The result is never more urgent than the contract allows.
    """
    if not header:
        return Success(terms.urgency)
    match = _PRIORITY_PATTERN.search(header)
    if match is None:
        return _bad_request(f"got Priority {header!r}, allowed is u=0 to u=7")
    level = int(match.group(1))
    if level <= 2:
        asked = Urgency.HIGH
    elif level <= 4:
        asked = Urgency.NORMAL
    else:
        asked = Urgency.LOW
    return Success(max(asked, terms.urgency))


def _parse_timeout(header: str, terms: ServiceTerms) -> Result[float, Problem]:
    """Returns the request's timeout, by default the contract's deadline."""
    if not header:
        return Success(terms.deadline_seconds)
    try:
        timeout_seconds = float(header)
    except ValueError:
        timeout_seconds = float("nan")
    if not 0 < timeout_seconds <= terms.deadline_seconds:
        return _bad_request(
            f"got Request-Timeout {header!r}, allowed is a number above 0 "
            f"and at most {terms.deadline_seconds} s"
        )
    return Success(timeout_seconds)


def _parse_engine_body(body: bytes) -> Result[dict[str, Any], Problem]:
    """Parses a completion request and checks the fields that are used."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return _bad_request("the body is not JSON")
    if not isinstance(value, dict):
        return _bad_request("got a body that is not a JSON object")
    if not isinstance(value.get("prompt"), str):
        return _bad_request("the field 'prompt' must be a string")
    max_tokens = value.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if (
        not isinstance(max_tokens, int)
        or isinstance(max_tokens, bool)
        or not 1 <= max_tokens <= MAX_OUTPUT_TOKENS
    ):
        return _bad_request(
            f"got max_tokens={max_tokens!r}, allowed is 1 to "
            f"{MAX_OUTPUT_TOKENS}"
        )
    return Success(value)


def build_request(
    http_request: HTTPServerRequest,
    *,
    contract: Contract,
    service: Service,
    path: str,
    request_id: str,
    now_seconds: float,
) -> Result[Request, Problem]:
    """Validates headers and body and returns the typed request.

    Args:
        http_request: The request as received, with its complete body.
        contract: The caller's contract.
        service: The service that is called.
        path: Path below the service, starting with a slash.
        request_id: Id of the new request.
        now_seconds: Monotonic time of receipt.

    Returns:
        The request, or a problem, such as FORBIDDEN, BAD_REQUEST or
        KEY_REQUIRED.
    """
    terms = contract.terms.get(service.name)
    if terms is None:
        return Failure(
            Problem(
                ErrorKind.FORBIDDEN,
                f"the contract of {contract.organisation!r} does not cover "
                f"{service.name!r}",
            )
        )
    headers = http_request.headers
    urgency = _parse_urgency(headers.get("Priority", ""), terms)
    if not isinstance(urgency, Success):
        return Failure(urgency.failure())
    timeout = _parse_timeout(headers.get("Request-Timeout", ""), terms)
    if not isinstance(timeout, Success):
        return Failure(timeout.failure())
    key = headers.get("Idempotency-Key", "").strip('"')
    if key and _KEY_PATTERN.match(key) is None:
        return _bad_request(
            "got an Idempotency-Key that is not 1 to 128 visible characters"
        )
    method = str(http_request.method)
    idempotent = terms.is_idempotent(method, path)
    if not idempotent and not key:
        return Failure(
            Problem(
                ErrorKind.KEY_REQUIRED,
                f"{method} {path} may run only once: got no Idempotency-Key",
            )
        )
    checked_path = check_path(method, path, service.kind)
    if not isinstance(checked_path, Success):
        return Failure(checked_path.failure())
    if not idempotent:
        parsed_key = key_millis(key)
        if not isinstance(parsed_key, Success):
            return Failure(parsed_key.failure())
    body = http_request.body
    prompt_tokens = len(body) // BYTES_PER_TOKEN + 1
    max_output_tokens = 0
    stream = False
    passed = forwarded_headers(headers)
    if service.kind is ServiceKind.ENGINE:
        checked = _parse_engine_body(body)
        if not isinstance(checked, Success):
            return Failure(checked.failure())
        value = checked.unwrap()
        max_output_tokens = value.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
        stream = bool(value.get("stream"))
        passed = ()
    return Success(
        Request(
            request_id,
            organisation=contract.organisation,
            service=service.name,
            method=method,
            path=checked_path.unwrap(),
            query=http_request.query,
            forwarded_headers=passed,
            body=body,
            content_type=headers.get("Content-Type", "application/json"),
            urgency=urgency.unwrap(),
            deadline_at_seconds=now_seconds + timeout.unwrap(),
            idempotent=idempotent,
            idempotency_key=key,
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            stream=stream,
        )
    )
