"""Tests of the engine's stand-in."""

from __future__ import annotations

import testtools

from mulberrypaddle.frontdoor.headers import BYTES_PER_TOKEN
from mulberrypaddle.standins.engine import required_tokens


class HeldTokensTest(testtools.TestCase):
    """The engine holds no more than a router reserves for a request."""

    def test_counts_prompt_and_whole_answer(self) -> None:
        self.assertEqual(18, required_tokens({"max_tokens": 8}, "x" * 40))

    def test_never_above_what_a_router_reserves(self) -> None:
        prompt = "y" * 333
        reserved = len(prompt) // BYTES_PER_TOKEN + 1 + 8
        self.assertLessEqual(required_tokens({"max_tokens": 8}, prompt), reserved)
