"""Tests of the log reader, the log pipe and the commands on them.

The commands are those of the operations page.
"""

from __future__ import annotations

import io
import os
import re

import testtools

from mulberrypaddle.observe.dropping_pipe import DroppingPipe
from mulberrypaddle.observe.log_reader import explain, parse_line
from tests.support.processes import ROOT, run_command

PAGE = ROOT / "docs" / "OPERATIONS.md"
_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)

_MATCHING_LINE = (
    "level=INFO name=mulberrypaddle.requests event=refused request=q1 "
    'detail="no \\"room\\"" at=2026-02-03T19:49:44.755+00:00'
)
_BELIEF_LINE = (
    "level=INFO name=mulberrypaddle.beliefs event=config version=3 "
    "at=2026-02-03T19:49:44.255+00:00"
)


class LogReaderTest(testtools.TestCase):
    """Lines about a subject and the routers' view at that time."""

    def test_quoted_values_are_unquoted(self) -> None:
        self.assertEqual(
            'no "room"', parse_line(_MATCHING_LINE).fields["detail"]
        )

    def test_beliefs_near_the_subject_are_sorted_by_time(self) -> None:
        lines = [parse_line(text) for text in (_MATCHING_LINE, _BELIEF_LINE)]
        self.assertEqual(
            [_BELIEF_LINE, _MATCHING_LINE],
            [line.text for line in explain(lines, "q1", around_seconds=1.0)],
        )
        self.assertEqual(
            [_MATCHING_LINE],
            [line.text for line in explain(lines, "q1", around_seconds=-1.0)],
        )

    def test_commands_of_the_operations_page_work(self) -> None:
        count = 0
        for block in _BLOCK.findall(PAGE.read_text(encoding="utf-8")):
            arguments = block.split()[1:]
            done = run_command(*arguments, environment={})
            self.assertEqual(0, done.returncode, (arguments, done.stderr))
            # The lines of a subject name it; counts have a column of causes.
            is_explain = arguments[0] == "explain"
            self.assertIn(arguments[1] if is_explain else "cause", done.stdout)
            count += 1
        self.assertGreater(count, 4)


class DroppingPipeTest(testtools.TestCase):
    """A stalled reader makes the pipe drop lines but never blocks a write."""

    def test_full_pipe_drops_lines_and_reports_their_number(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        pipe = DroppingPipe(writer)
        # A blocking write would hang here.
        for number in range(20_000):
            pipe.write(f"event=line number={number}\n")
        self.assertGreater(pipe.dropped, 0)
        dropped = pipe.dropped
        os.read(reader, 65_536)
        pipe.write("event=after\n")
        remaining_output = io.BytesIO()
        os.set_blocking(reader, False)
        while True:
            try:
                remaining_output.write(os.read(reader, 65_536))
            except BlockingIOError:
                break
        text = remaining_output.getvalue().decode()
        self.assertIn(f"event=log_lines_dropped count={dropped}", text)
        self.assertTrue(text.endswith("event=after\n"))
