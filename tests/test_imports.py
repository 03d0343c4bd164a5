"""Every module can be imported on its own."""

from __future__ import annotations

import importlib
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
