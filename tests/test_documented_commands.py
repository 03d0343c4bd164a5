"""Tests that the commands in the operators' documentation run."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import testtools

from tests.support.processes import ROOT, Process, run_command

if TYPE_CHECKING:
    import pathlib

PAGES = ROOT / "docs" / "operators"
_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)


def documented_commands(page: pathlib.Path) -> list[list[str]]:
    """Returns the arguments of each command in the page's `sh` blocks."""
    commands = []
    for block in _BLOCK.findall(page.read_text(encoding="utf-8")):
        for line in block.splitlines():
            if not line.startswith("mulberrypaddle "):
                continue
            commands.append(line.split()[1:])
    return commands


class DocumentedCommandsTest(testtools.TestCase):
    """Runs the documented commands against a fleet of examples/kryss."""

    def test_documented_commands_succeed(self) -> None:
        fleet = Process("standin", "fleet", "examples/kryss", "--routers=2")
        self.addCleanup(fleet.stop)
        line = fleet.process.stdout.readline()
        environment = {
            "MULBERRYPADDLE_ROUTER": line.removeprefix("routers ").strip(),
            "MULBERRYPADDLE_OPERATOR_KEY": "operator-key",
        }
        count = 0
        for page in sorted(PAGES.glob("*.md")):
            for arguments in documented_commands(page):
                completed = run_command(*arguments, environment=environment)
                self.assertEqual(
                    0, completed.returncode, (arguments, completed.stderr)
                )
                self.assertNotEqual("", completed.stdout)
                count += 1
        self.assertGreater(count, 8)
