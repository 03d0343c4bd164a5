"""Tests of the start of a router process on the platform."""

from __future__ import annotations

import subprocess
import sys

import testtools

# Takes the place of the router, and asks the process to reload.
_PROGRAM = """
import os, runpy, signal, sys, types
program = types.ModuleType("mulberrypaddle.platform.program")
program.run = lambda: os.kill(os.getpid(), signal.SIGHUP)
sys.modules[program.__name__] = program
runpy.run_module("mulberrypaddle.platform", run_name="__main__")
"""


class StartTest(testtools.TestCase):
    """Signals that arrive before a router handles them."""

    def test_reload_during_the_start_that_ends_the_process(self) -> None:
        ended = subprocess.run([sys.executable, "-c", _PROGRAM], check=False)
        self.assertEqual(0, ended.returncode)
