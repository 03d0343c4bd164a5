"""Printed output and exit status of the commands."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, NoReturn

from mulberrypaddle.core.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from mulberrypaddle.core.errors import Problem

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNSAFE = 5
EXIT_DENIED = 6

EXIT_STATUS_BY_KIND: dict[ErrorKind, int] = {
    ErrorKind.BAD_REQUEST: EXIT_BAD_INPUT,
    ErrorKind.INVALID_CONFIG: EXIT_BAD_INPUT,
    ErrorKind.TOO_LARGE: EXIT_BAD_INPUT,
    ErrorKind.CONFLICT: EXIT_CONFLICT,
    ErrorKind.STORE_UNAVAILABLE: EXIT_UNREACHABLE,
    ErrorKind.PEER_UNREACHABLE: EXIT_UNREACHABLE,
    ErrorKind.UNSAFE_MOVE: EXIT_UNSAFE,
    ErrorKind.UNAUTHENTICATED: EXIT_DENIED,
    ErrorKind.FORBIDDEN: EXIT_DENIED,
}


def fail(problem: Problem) -> NoReturn:
    """Prints a problem to stderr and exits with the status of its kind."""
    print(f"{problem.kind.value}: {problem.detail}", file=sys.stderr)
    sys.exit(EXIT_STATUS_BY_KIND.get(problem.kind, EXIT_FAILED))


def print_json(value: Any) -> None:
    """Prints a value as JSON, with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(title: str, rows: Sequence[dict[str, Any]]) -> None:
    """Prints rows as aligned columns.

    Args:
        title: Heading; empty for none.
        rows: Cells by column name; all rows have the same columns, printed
            in the order of the first row's keys.
    """
    if title:
        print(f"{title}:")
    if not rows:
        print("  (none)")
        return
    columns = list(rows[0])
    widths = {}
    for column in columns:
        cells = [len(str(row[column])) for row in rows]
        widths[column] = max(len(column), *cells)
    header = "  ".join(column.ljust(widths[column]) for column in columns)
    print(f"  {header}".rstrip())
    for row in rows:
        line = "  ".join(
            str(row[column]).ljust(widths[column]) for column in columns
        )
        print(f"  {line}".rstrip())
