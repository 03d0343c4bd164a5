"""Checks that all names visible outside the process still occur in the code.

`tools/outer_names.txt` lists these names: fields and values of messages, keys
of settings and stored data, flags, environment variables, metrics and log
fields. Other builds and operators' tools rely on them, so a rename in the code
must not change them.
"""

from __future__ import annotations

import ast
import pathlib
import re
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]
NAMES_FILE = ROOT / "tools" / "outer_names.txt"
_FOLDERS = ("mulberrypaddle", "soak", "deploy", "examples")
_EXTRA_FILES = (
    ROOT / "benchmarks" / "router_child.py",
    ROOT / "tests" / "support" / "golden.py",
    ROOT / "tests" / "test_golden.py",
)


def _docstring_ids(tree: ast.Module) -> set[int]:
    """Returns the `id()` of each syntax node that is a docstring."""
    found = set()
    for node in ast.walk(tree):
        if not isinstance(
            node,
            (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef),
        ):
            continue
        first = node.body[0] if node.body else None
        if isinstance(first, ast.Expr):
            found.add(id(first.value))
    return found


def _names_in_python(source: str) -> Iterator[str]:
    """Yields strings, keyword arguments, parameters and defined names.

    Docstrings, comments and uses of variables don't count.
    """
    tree = ast.parse(source)
    docstrings = _docstring_ids(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        elif isinstance(node, (ast.keyword, ast.arg)) and node.arg:
            yield node.arg
        elif isinstance(
            node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
        ):
            yield node.name


def _source_texts() -> Iterator[str]:
    """Yields all strings and names that may contain an outer name.

    YAML, TOML and Protobuf files are yielded whole.
    """
    paths = [
        path
        for folder in _FOLDERS
        for path in sorted((ROOT / folder).rglob("*"))
        if path.is_file()
    ]
    for path in [*paths, *_EXTRA_FILES]:
        if path.suffix == ".py" and "_pb2" not in path.name:
            yield from _names_in_python(path.read_text(encoding="utf-8"))
        elif path.suffix in (".yaml", ".toml", ".proto"):
            yield path.read_text(encoding="utf-8")


def main() -> int:
    """Prints the listed names that are missing; returns 1 if there are any."""
    code = "\n".join(_source_texts())
    words = set(re.findall(r"\w+", code))
    status = 0
    for name in NAMES_FILE.read_text(encoding="utf-8").split():
        if name in words or (not name.isidentifier() and name in code):
            continue
        print(f"{NAMES_FILE.name}: {name} no longer occurs in the code")
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
