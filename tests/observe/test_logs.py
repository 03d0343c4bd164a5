"""Tests of the log lines."""

from __future__ import annotations

import io
import logging

import testtools

from mulberrypaddle.core.decision import Decision
from mulberrypaddle.observe import configure_logging, log_decision


class LogLineTest(testtools.TestCase):
    """Field values can't forge another line or field."""

    def setUp(self) -> None:
        super().setUp()
        root = logging.getLogger()
        handlers, level = list(root.handlers), root.level
        self.stream = io.StringIO()
        configure_logging(stream=self.stream)

        def restore() -> None:
            root.handlers[:] = handlers
            root.setLevel(level)

        self.addCleanup(restore)

    def test_value_with_line_break_is_escaped(self) -> None:
        log_decision(
            Decision(
                "refuse",
                subject="r-1",
                outcome="bad_request",
                reason='x\nlevel=INFO event=route outcome="forged"',
                at_wall_seconds=0.0,
            ),
            member_id="router-1",
        )
        line = self.stream.getvalue()
        self.assertEqual(1, line.count("\n"))
        self.assertIn("event=refuse router=router-1 subject=r-1", line)
        self.assertIn(r'reason="x\nlevel=INFO event=route outcome=', line)
        self.assertNotIn(' outcome="forged"', line)

    def test_value_that_has_no_text_does_not_lose_its_line(self) -> None:
        nested: list[object] = []
        for _ in range(50_000):
            nested = [nested]
        for value in (10**6_000, [10**6_000], nested, "\ud800", float("nan")):
            self.stream.truncate(0)
            self.stream.seek(0)
            logging.getLogger("test").info("odd", extra={"value": value})
            self.assertIn("event=odd value=", self.stream.getvalue())
