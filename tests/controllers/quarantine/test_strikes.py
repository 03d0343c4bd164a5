"""Tests of the blame for lost runners."""

from __future__ import annotations

import testtools

from mulberrypaddle.controllers.quarantine.strikes import (
    QUARANTINE_SECONDS,
    StrikeBook,
)


class StrikeBookTest(testtools.TestCase):
    """Blame, conviction and its end."""

    def setUp(self) -> None:
        super().setUp()
        self.book = StrikeBook()

    def _die(
        self,
        name: bytes,
        runner_id: str,
        at: float,
        *,
        domain: str = "",
        age: float = 1.0,
    ) -> None:
        self.book.add(
            name,
            runner_id=runner_id,
            fabric_domain=domain,
            started_at_seconds=at - age,
            now_seconds=at,
        )

    def _held(self, name: bytes, at: float) -> float:
        return self.book.quarantined_seconds(name, at)

    def test_one_loss_convicts_nobody(self) -> None:
        self._die(b"a", "runner-1", 0.0)
        self.assertEqual(0.0, self._held(b"a", 1.0))
        self.assertTrue(self.book.is_suspect(b"a", 1.0))

    def test_only_the_suspect_is_blamed_for_the_second_loss(self) -> None:
        self._die(b"a", "runner-1", 0.0)
        self._die(b"b", "runner-1", 0.0)
        self.book.clear(b"b", 2.0)
        self._die(b"a", "runner-2", 5.0)
        self._die(b"c", "runner-2", 5.0)
        self.assertEqual(QUARANTINE_SECONDS, self._held(b"a", 5.0))
        self.assertFalse(self.book.is_suspect(b"b", 5.0))
        self.assertFalse(self.book.is_suspect(b"c", 5.0))

    def test_two_that_die_together_twice_are_not_convicted(self) -> None:
        for at in (0.0, 5.0):
            names = [f"{number}".encode() for number in range(4)]
            for name in names:
                self._die(name, f"runner-{at}", at)
        for name in names:
            self.assertEqual(0.0, self._held(name, 6.0))

    def test_quarantine_ends_and_one_more_loss_doubles_it(self) -> None:
        self._die(b"a", "runner-1", 0.0)
        self._die(b"a", "runner-2", 5.0)
        self.assertEqual(QUARANTINE_SECONDS, self._held(b"a", 5.0))
        end = 5.0 + QUARANTINE_SECONDS
        self.assertEqual(0.0, self._held(b"a", end))
        self.assertTrue(self.book.is_suspect(b"a", end))
        self._die(b"a", "runner-3", end + 1.0)
        self.assertEqual(2 * QUARANTINE_SECONDS, self._held(b"a", end + 1.0))

    def test_dark_domain_blames_nobody_while_it_goes_on_failing(self) -> None:
        for number in range(6):
            name = f"{number}".encode()
            self._die(name, f"runner-{number % 3}", 0.1 * number, domain="d")
        for number in range(6):
            name = f"{number}".encode()
            self._die(name, f"runner-{number % 3}", 4.0, domain="d", age=0.5)
        for number in range(6):
            name = f"{number}".encode()
            self.assertFalse(self.book.is_suspect(name, 5.0))
            self.assertEqual(0.0, self._held(name, 5.0))
