"""Tests of keys that hold their own time."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.controllers.claims import check_key
from mulberrypaddle.core.errors import ErrorKind
from tests.support.claims_fleet import uuid7

WALL_SECONDS = 1_800_000_000.0


class CheckKeyTest(testtools.TestCase):
    """Shape and age."""

    def _kind(self, key: str) -> ErrorKind:
        return check_key(key, wall_seconds=WALL_SECONDS).failure().kind

    def _made(self, age_seconds: float) -> str:
        return uuid7(WALL_SECONDS - age_seconds, random.Random(1))

    def test_gives_the_time_in_the_key(self) -> None:
        checked = check_key(self._made(5.0), wall_seconds=WALL_SECONDS)
        self.assertEqual(int((WALL_SECONDS - 5) * 1000), checked.unwrap())

    def test_refuses_other_shapes(self) -> None:
        for key in (
            "order-1",
            "01890a5d-ac96-474b-bcce-b302099a8057",
            "01890a5d-ac96-774b-0cce-b302099a8057",
            "01890a5dac96774bbcceb302099a8057",
            "01890a5d-ac96-774b-bcce-b302099a8057\n",
            "x" * 5000,
        ):
            self.assertEqual(ErrorKind.BAD_REQUEST, self._kind(key), key)

    def test_refuses_the_future_beyond_the_tolerance(self) -> None:
        self.assertEqual(ErrorKind.BAD_REQUEST, self._kind(self._made(-61)))
        checked = check_key(self._made(-59), wall_seconds=WALL_SECONDS)
        self.assertTrue(checked.unwrap())

    def test_refuses_what_is_older_than_the_window(self) -> None:
        self.assertEqual(ErrorKind.KEY_EXPIRED, self._kind(self._made(1201)))
