"""Conversion of the JSON answers of other services, which may have any form."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

# Exceptions raised when an answer does not have the expected form.
PARSE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def decode_json(
    body: bytes, *, kind: ErrorKind, subject: str
) -> Result[Any, Problem]:
    """Decodes the body of an answer.

    Args:
        body: The body; an empty one stands for an empty object.
        kind: Kind of the problem if it can't be decoded.
        subject: What was asked, for the problem.
    """
    try:
        return Success(json.loads(body or b"{}"))
    except (ValueError, RecursionError) as error:
        return Failure(Problem(kind, f"{subject}: unreadable: {error}"))


def convert(
    result: Result[Any, Problem],
    parse: Callable[[Any], T],
    *,
    kind: ErrorKind,
    subject: str,
) -> Result[T, Problem]:
    """Converts a decoded answer; a failure stays as it is.

    Args:
        result: The decoded answer.
        parse: Returns the converted answer, or raises one of `PARSE_ERRORS`.
        kind: Kind of the problem if it can't be converted.
        subject: What was asked, for the problem.
    """
    if not isinstance(result, Success):
        return Failure(result.failure())
    try:
        return Success(parse(result.unwrap()))
    except PARSE_ERRORS as error:
        return Failure(
            Problem(
                kind, f"{subject}: unreadable: {type(error).__name__}: {error}"
            )
        )
