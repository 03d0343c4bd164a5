"""Checks that the names which leave the process still stand in the code.

`tools/outer_names.txt` lists them: fields and values of messages, keys of
settings and stored data, flags, environment variables, metrics and log fields.
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
_CHILD_FILES = (
    ROOT / "benchmarks" / "router_child.py",
    ROOT / "tests" / "support" / "golden.py",
    ROOT / "tests" / "test_golden.py",
)


def _docstring_ids(tree: ast.Module) -> set[int]:
    """Returns the ids of the nodes that hold doc comments."""
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


def _python_names(source: str) -> Iterator[str]:
    """Yields texts, keywords, parameters and the names of definitions."""
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


def _texts() -> Iterator[str]:
    """Yields every text of the sources that may hold an outer name."""
    paths = [
        path
        for folder in _FOLDERS
        for path in sorted((ROOT / folder).rglob("*"))
        if path.is_file()
    ]
    for path in [*paths, *_CHILD_FILES]:
        if path.suffix == ".py" and "_pb2" not in path.name:
            yield from _python_names(path.read_text(encoding="utf-8"))
        elif path.suffix in (".yaml", ".toml", ".proto"):
            yield path.read_text(encoding="utf-8")


def main() -> int:
    """Prints each listed name that is gone and returns 1 if there is one."""
    code = "\n".join(_texts())
    words = set(re.findall(r"\w+", code))
    status = 0
    for name in NAMES_FILE.read_text(encoding="utf-8").split():
        if name in words or (not name.isidentifier() and name in code):
            continue
        print(f"{NAMES_FILE.name}: {name} no longer stands in the code")
        status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
