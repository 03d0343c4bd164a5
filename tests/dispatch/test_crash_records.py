"""Requests that crash runners."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import CrashRecords
from mulberrypaddle.dispatch.crash_records import (
    LOSS_RETENTION_SECONDS,
    MAX_LOST_RUNNERS,
    fingerprint,
)

_LIFE = ("r1", 1)


class CrashRecordsTest(testtools.TestCase):
    """A request is refused after enough runners, an innocent one is not."""

    def test_refused_after_the_allowed_runners(self) -> None:
        records = CrashRecords()
        for number in range(MAX_LOST_RUNNERS):
            self.assertFalse(records.refuses("m", 0.0))
            records.record_loss("m", f"r{number}", 0.0)
        self.assertTrue(records.refuses("m", 1.0))
        self.assertFalse(records.refuses("m", LOSS_RETENTION_SECONDS + 1.0))

    def test_broken_answer_of_a_living_runner_is_no_crash(self) -> None:
        records = CrashRecords()
        records.broke("m", _LIFE, 0.0)
        records.settle({_LIFE}, 1.0)
        self.assertEqual({}, records.recent(1.0, since_seconds=10.0))

    def test_end_of_the_life_proves_a_crash(self) -> None:
        records = CrashRecords()
        records.broke("m", _LIFE, 0.0)
        # The same id has started again.
        records.settle({("r1", 2)}, 1.0)
        self.assertEqual({"m": ["r1"]}, records.recent(1.0, since_seconds=9.0))

    def test_routers_count_together(self) -> None:
        records = CrashRecords()
        records.record_loss("m", "r1", 0.0)
        records.take_peer({"m": ["r1", "r2", "r3"]}, 0.0)
        self.assertTrue(records.refuses("m", 0.0))

    def test_parts_can_not_be_shifted(self) -> None:
        self.assertNotEqual(
            fingerprint("ab", "/c", b""), fingerprint("a", "b/c", b"")
        )
