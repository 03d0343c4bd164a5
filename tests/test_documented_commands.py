"""Every command in the operators' pages runs as written."""

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
    """The pages are run against a fleet of the Kryss examples."""

    def test_commands_run_as_written(self) -> None:
        fleet = Process("standin", "fleet", "examples/kryss", "--routers=2")
        self.addCleanup(fleet.stop)
        line = fleet.popen.stdout.readline()
        environment = {
            "MULBERRYPADDLE_ROUTER": line.removeprefix("routers ").strip(),
            "MULBERRYPADDLE_OPERATOR_KEY": "operator-key",
        }
        count = 0
        for page in sorted(PAGES.glob("*.md")):
            for arguments in documented_commands(page):
                done = run_command(*arguments, environment=environment)
                self.assertEqual(0, done.returncode, (arguments, done.stderr))
                self.assertNotEqual("", done.stdout)
                count += 1
        self.assertGreater(count, 8)
