"""Every module can be imported on its own."""

from __future__ import annotations

import ast
import graphlib
import importlib
import pathlib
import pkgutil

import testtools

import mulberrypaddle


class ImportTest(testtools.TestCase):
    """Imports at run time, without the names used for typing alone."""

    def test_every_module_imports(self) -> None:
        names = []
        for module in pkgutil.walk_packages(
            mulberrypaddle.__path__, "mulberrypaddle."
        ):
            if module.name.endswith("__main__"):
                continue
            names.append(importlib.import_module(module.name).__name__)
        self.assertIn("mulberrypaddle.router", names)

    def test_no_modules_import_one_another_in_a_circle(self) -> None:
        # Names used for typing alone count too: a circle of them shows a type
        # that lives with its user.
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
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        found.add(node.module)
        found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found
