"""Tests of changing single values of a document."""

from __future__ import annotations

import testtools

from mulberrypaddle.cli.editing import set_value

TEXT = """organisation: museum  # the small one
services:
- service: card-writer
  in_flight_requests: 8   # agreed in May
"""


class EditingTest(testtools.TestCase):
    """The rest of the document stays as it is."""

    def test_sets_one_value_and_keeps_comments(self) -> None:
        changed = set_value(TEXT, "services.card-writer.in_flight_requests=40")
        self.assertEqual(
            TEXT.replace("requests: 8", "requests: 40"), changed.unwrap()
        )

    def test_unknown_step_tells_what_is_allowed(self) -> None:
        problem = set_value(TEXT, "services.shop.urgency=low").failure()
        self.assertEqual(
            "got 'shop' in 'services.shop.urgency', allowed are: card-writer",
            problem.detail,
        )

    def test_refuses_a_whole_branch(self) -> None:
        problem = set_value(TEXT, "services=none").failure()
        self.assertIn("allowed is the path of a single value", problem.detail)
