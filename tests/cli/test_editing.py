"""Tests of `set_value`, which changes one value of a document."""

from __future__ import annotations

import testtools

from mulberrypaddle.cli.editing import set_value

TEXT = """organisation: museum  # the small one
services:
- service: card-writer
  in_flight_requests: 8   # agreed in May
"""


class EditingTest(testtools.TestCase):
    """Only the given value changes; unknown paths are rejected."""

    def test_sets_one_value_and_preserves_comments(self) -> None:
        changed = set_value(TEXT, "services.card-writer.in_flight_requests=40")
        self.assertEqual(
            TEXT.replace("requests: 8", "requests: 40"), changed.unwrap()
        )

    def test_error_for_unknown_step_lists_allowed_steps(self) -> None:
        problem = set_value(TEXT, "services.shop.urgency=low").failure()
        self.assertEqual(
            "got 'shop' in 'services.shop.urgency', allowed are: card-writer",
            problem.detail,
        )

    def test_rejects_a_path_to_a_list(self) -> None:
        problem = set_value(TEXT, "services=none").failure()
        self.assertIn("allowed is the path of a single value", problem.detail)
