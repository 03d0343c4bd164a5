"""Tests of the stand-in for a model engine."""

from __future__ import annotations

import testtools

from mulberrypaddle.frontdoor.request_builder import BYTES_PER_TOKEN
from mulberrypaddle.standins.engine import required_tokens


class RequiredTokensTest(testtools.TestCase):
    """A request needs no more tokens than a router reserves for it."""

    def test_counts_prompt_and_maximum_output(self) -> None:
        self.assertEqual(18, required_tokens({"max_tokens": 8}, "x" * 40))

    def test_at_most_the_reservation_of_a_router(self) -> None:
        prompt = "y" * 333
        reserved = len(prompt) // BYTES_PER_TOKEN + 1 + 8
        self.assertLessEqual(
            required_tokens({"max_tokens": 8}, prompt), reserved
        )
