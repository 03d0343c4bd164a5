"""Names of the fields of log entries."""

from __future__ import annotations

import ast
import logging
from pathlib import Path

import testtools

import mulberrypaddle

# Attributes of every record, which a field must not replace.
_RESERVED = frozenset({*vars(logging.makeLogRecord({})), "message", "asctime"})


def _field_names(tree: ast.AST) -> list[tuple[int, str]]:
    """Returns the line and the name of each field of a log entry."""
    names = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        called = getattr(node.func, "id", getattr(node.func, "attr", ""))
        for keyword in node.keywords:
            if called == "log_state_change" and keyword.arg:
                names.append((node.lineno, keyword.arg))
            if keyword.arg != "extra" or not isinstance(
                keyword.value, ast.Dict
            ):
                continue
            for key in keyword.value.keys:
                if isinstance(key, ast.Constant):
                    names.append((node.lineno, str(key.value)))
    return names


class LogFieldTest(testtools.TestCase):
    """A log entry with a reserved field raises an error when it is made."""

    def test_fields_have_no_reserved_names(self) -> None:
        package = Path(mulberrypaddle.__file__).parent
        names = [
            (path.name, line, name)
            for path in sorted(package.rglob("*.py"))
            for line, name in _field_names(ast.parse(path.read_text()))
        ]
        self.assertNotEqual([], names)
        reserved = [entry for entry in names if entry[2] in _RESERVED]
        self.assertEqual([], reserved)
