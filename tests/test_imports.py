"""Tests that modules can be imported and have no import cycles."""

from __future__ import annotations

import ast
import gc
import graphlib
import importlib
import pathlib
import pkgutil

import testtools

import mulberrypaddle


class ImportTest(testtools.TestCase):
    """Imports of all modules, and the graph of their imports."""

    def test_every_module_imports(self) -> None:
        names = []
        for module in pkgutil.walk_packages(
            mulberrypaddle.__path__, "mulberrypaddle."
        ):
            if module.name.endswith("__main__"):
                continue
            names.append(importlib.import_module(module.name).__name__)
        self.assertIn("mulberrypaddle.router", names)

    def test_no_import_cycles(self) -> None:
        # Imports for type checking only count too: a cycle of them means that
        # a type is defined in the module that uses it.
        graph = {}
        root = pathlib.Path(mulberrypaddle.__file__).parent
        for path in root.rglob("*.py"):
            if path.name == "__init__.py":
                continue
            parts = path.relative_to(root.parent).with_suffix("").parts
            graph[".".join(parts)] = _imports_of(path)
        modules = graph.keys()
        known = {name: found & modules for name, found in graph.items()}
        order = list(graphlib.TopologicalSorter(known).static_order())
        self.assertEqual(len(graph), len(order))


def _imports_of(path: pathlib.Path) -> set[str]:
    """Returns the modules that a source file may import from.

    For `from a import b`, both `a` and `a.b` are returned.
    """
    found = set()
    for node in ast.walk(_parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        found.add(node.module)
        found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


def _parse(source: str) -> ast.Module:
    """Returns the syntax tree of a source text.

    The garbage collector is off meanwhile: Python 3.11 fails to parse if a
    finalizer fails, as reporting that parses source text too.
    """
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        gc.enable()
