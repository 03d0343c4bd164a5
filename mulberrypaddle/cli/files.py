"""Reads files given on the command line."""

from __future__ import annotations

import pathlib

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem


def read_text(path: str) -> Result[str, Problem]:
    """Returns the text of a UTF-8 file, or INVALID_CONFIG with the error."""
    try:
        return Success(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(Problem(ErrorKind.INVALID_CONFIG, f"{path}: {error}"))
