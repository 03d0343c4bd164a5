"""Detection of requests that crash their runners."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import CrashRecords
from mulberrypaddle.dispatch.crash_records import (
    LOSS_RETENTION_SECONDS,
    MAX_LOST_RUNNERS,
    fingerprint,
)

_INCARNATION = ("r1", 1)


class CrashRecordsTest(testtools.TestCase):
    """A request is refused once enough runners crashed while processing it."""

    def test_refused_after_max_lost_runners_until_losses_expire(self) -> None:
        records = CrashRecords()
        for number in range(MAX_LOST_RUNNERS):
            self.assertFalse(records.is_refused("m", 0.0))
            records.record_loss("m", f"r{number}", 0.0)
        self.assertTrue(records.is_refused("m", 1.0))
        self.assertFalse(records.is_refused("m", LOSS_RETENTION_SECONDS + 1.0))

    def test_interrupted_answer_of_a_live_runner_is_no_crash(self) -> None:
        records = CrashRecords()
        records.record_interrupted_answer("m", _INCARNATION, 0.0)
        records.confirm_crashes({_INCARNATION}, 1.0)
        self.assertEqual({}, records.losses_within(1.0, since_seconds=10.0))

    def test_restart_of_the_runner_confirms_a_crash(self) -> None:
        records = CrashRecords()
        records.record_interrupted_answer("m", _INCARNATION, 0.0)
        # A runner with the same id has started again.
        records.confirm_crashes({("r1", 2)}, 1.0)
        self.assertEqual(
            {"m": ["r1@1"]}, records.losses_within(1.0, since_seconds=9.0)
        )

    def test_runners_that_restart_under_their_ids_are_counted_each_time(
        self,
    ) -> None:
        records = CrashRecords()
        for start in range(MAX_LOST_RUNNERS):
            self.assertFalse(records.is_refused("m", 0.0))
            records.record_interrupted_answer("m", ("r1", start), 0.0)
            records.confirm_crashes({("r1", start + 1)}, 0.0)
        self.assertTrue(records.is_refused("m", 0.0))

    def test_losses_of_other_routers_are_counted(self) -> None:
        records = CrashRecords()
        records.record_loss("m", "r1", 0.0)
        records.apply_peer_report({"m": ["r1", "r2", "r3"]}, 0.0)
        self.assertTrue(records.is_refused("m", 0.0))

    def test_fingerprint_depends_on_where_parts_end(self) -> None:
        self.assertNotEqual(
            fingerprint("ab", "/c", b""), fingerprint("a", "b/c", b"")
        )
