"""Detection of requests that crash their runners."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import CrashRecords
from mulberrypaddle.dispatch.crash_records import (
    LOSS_RETENTION_SECONDS,
    MAX_FINGERPRINTS,
    MAX_IN_REPORT,
    MAX_LOST_RUNNERS,
    MAX_OLDER_IN_REPORT,
    MAX_TRIAL_SPAN_SECONDS,
    MAX_TRIALS,
    REPORT_SECONDS,
    TRIAL_PAUSE_SECONDS,
    fingerprint,
)

_INCARNATION = ("r1", 1)


def _record_losses(
    records: CrashRecords,
    *,
    name: str = "m",
    count: int = MAX_LOST_RUNNERS,
    at_seconds: float = 0.0,
    gap_seconds: float = 1.0,
) -> float:
    """Records losses under different ids; returns the time of the last."""
    for number in range(count):
        at_seconds += gap_seconds if number else 0.0
        records.record_loss(
            name,
            (f"r{number}", 1),
            at_seconds=at_seconds,
            now_seconds=at_seconds,
        )
    return at_seconds


def _exchange_reports(
    sender: CrashRecords, receiver: CrashRecords, now_seconds: float
) -> None:
    """Sends one report from a router to another one."""
    receiver.apply_peer_report(
        sender.loss_reports(now_seconds),
        sender.answered_ages(now_seconds),
        now_seconds,
    )


class CrashRecordsTest(testtools.TestCase):
    """A request is refused once enough runners crashed while processing it."""

    def test_refused_after_max_lost_runners_until_losses_expire(self) -> None:
        records = CrashRecords()
        for number in range(MAX_LOST_RUNNERS):
            self.assertFalse(records.is_refused("m", 0.0))
            records.record_loss(
                "m", (f"r{number}", 1), at_seconds=0.0, now_seconds=0.0
            )
        self.assertTrue(records.is_refused("m", 1.0))
        self.assertFalse(records.is_refused("m", LOSS_RETENTION_SECONDS + 1.0))

    def test_interrupted_answer_of_a_live_runner_is_no_crash(self) -> None:
        records = CrashRecords()
        records.record_interrupted_answer("m", _INCARNATION, 0.0)
        records.confirm_crashes({_INCARNATION}, 1.0)
        self.assertEqual({}, records.loss_reports(1.0))

    def test_restart_of_the_runner_confirms_a_crash(self) -> None:
        records = CrashRecords()
        records.record_interrupted_answer("m", _INCARNATION, 0.0)
        # A runner with the same id has started again.
        records.confirm_crashes({("r1", 2)}, 1.0)
        self.assertEqual({"m": ["r1@1/1/1"]}, records.loss_reports(1.0))

    def test_losses_of_other_routers_are_counted(self) -> None:
        records = CrashRecords()
        records.record_loss("m", ("r1", 1), at_seconds=0.0, now_seconds=0.0)
        records.apply_peer_report(
            {"m": ["r1@1/0/0", "r2@1/0/0"]}, {}, now_seconds=0.0
        )
        self.assertFalse(records.is_refused("m", 0.0))
        records.apply_peer_report({"m": ["r3@1/0/0"]}, {}, now_seconds=0.0)
        self.assertTrue(records.is_refused("m", 0.0))

    def test_losses_that_earlier_versions_report_are_counted(self) -> None:
        records = CrashRecords()
        records.apply_peer_report({"m": ["r1", "r2", "r3"]}, {}, 0.0)
        self.assertTrue(records.is_refused("m", 0.0))

    def test_runners_that_restart_under_their_ids_are_counted_each_time(
        self,
    ) -> None:
        records = CrashRecords()
        for start in range(MAX_LOST_RUNNERS):
            self.assertFalse(records.is_refused("m", 0.0))
            records.record_interrupted_answer("m", ("r1", start), 0.0)
            records.confirm_crashes({("r1", start + 1)}, 0.0)
        self.assertTrue(records.is_refused("m", 0.0))

    def test_fingerprint_depends_on_where_parts_end(self) -> None:
        self.assertNotEqual(
            fingerprint("ab", "/c", b""), fingerprint("a", "b/c", b"")
        )


class RetentionTest(testtools.TestCase):
    """Losses count for as long as the request comes."""

    def test_request_that_keeps_coming_stays_refused(self) -> None:
        records = CrashRecords()
        now = _record_losses(records)
        for _ in range(1_000):
            now += 1.5
            self.assertTrue(records.is_refused("m", now))
            records.record_refusal("m", now)

    def test_routers_keep_no_loss_alive_by_their_reports(self) -> None:
        first, second = CrashRecords(), CrashRecords()
        _record_losses(first)
        for now in range(3, int(LOSS_RETENTION_SECONDS) + 20):
            _exchange_reports(first, second, float(now))
            _exchange_reports(second, first, float(now))
        self.assertFalse(first.is_refused("m", now))
        self.assertEqual({}, first.loss_reports(now) | second.loss_reports(now))

    def test_many_other_losses_displace_no_refused_request(self) -> None:
        records = CrashRecords()
        _record_losses(records)
        for number in range(2 * MAX_FINGERPRINTS):
            _record_losses(records, name=f"f{number}", count=1, at_seconds=3.0)
        self.assertTrue(records.is_refused("m", 4.0))


class RestartTest(testtools.TestCase):
    """Routers that start learn the losses of those that run."""

    def test_restarts_in_turn_forget_no_refused_request(self) -> None:
        routers = [CrashRecords() for _ in range(3)]
        now = _record_losses(routers[0])
        for receiver in routers[1:]:
            _exchange_reports(routers[0], receiver, now)
        for _ in range(4):
            for number in range(len(routers)):
                now += 20.0
                routers[number] = CrashRecords()
                for sender in routers:
                    if sender is not routers[number]:
                        _exchange_reports(sender, routers[number], now)
                self.assertTrue(routers[number].is_refused("m", now))
                routers[number].record_refusal("m", now)
        self.assertFalse(routers[0].try_acquire_trial("m", now))

    def test_older_losses_take_turns_in_reports(self) -> None:
        sender, receiver = CrashRecords(), CrashRecords()
        names = [f"f{number}" for number in range(50)]
        for name in names:
            _record_losses(sender, name=name)
        self.assertEqual(MAX_IN_REPORT, len(sender.loss_reports(3.0)))
        now = 3.0 + REPORT_SECONDS
        for _ in range(len(names) // MAX_OLDER_IN_REPORT + 1):
            self.assertEqual(
                MAX_OLDER_IN_REPORT, len(sender.loss_reports(now + 1.0))
            )
            _exchange_reports(sender, receiver, now + 1.0)
        for _ in range(len(names)):
            _exchange_reports(sender, receiver, now + 1.0)
        for name in names:
            self.assertTrue(receiver.is_refused(name, now))

    def test_unreadable_ages_are_taken_as_part_of_the_name(self) -> None:
        records = CrashRecords()
        reports = ["r1/1/x", "r2/-1/1", "r3/9999999999999/1"]
        records.apply_peer_report({"m": reports}, {}, 5.0)
        self.assertTrue(records.is_refused("m", 5.0))


class AnswerTest(testtools.TestCase):
    """A request that is answered crashes no runners."""

    def test_answer_ends_the_refusal_at_all_routers(self) -> None:
        first, second = CrashRecords(), CrashRecords()
        now = _record_losses(first)
        _exchange_reports(first, second, now)
        self.assertTrue(second.is_refused("m", now))
        first.record_answer("m", now + 2.0)
        self.assertFalse(first.is_refused("m", now + 2.0))
        _exchange_reports(first, second, now + 2.1)
        self.assertFalse(second.is_refused("m", now + 2.1))
        # A report that was under way does not bring the losses back.
        late = CrashRecords()
        _record_losses(late)
        _exchange_reports(late, first, now + 2.2)
        self.assertFalse(first.is_refused("m", now + 2.2))

    def test_losses_after_an_answer_count(self) -> None:
        records = CrashRecords()
        records.record_loss("m", ("r9", 1), at_seconds=0.0, now_seconds=0.0)
        records.record_answer("m", 1.0)
        _record_losses(records, at_seconds=2.0)
        self.assertTrue(records.is_refused("m", 5.0))

    def test_losses_at_once_allow_a_trial_after_a_pause(self) -> None:
        records = CrashRecords()
        records.may_try = True
        last = _record_losses(records, gap_seconds=0.1)
        due = last + TRIAL_PAUSE_SECONDS
        self.assertFalse(records.try_acquire_trial("m", due - 0.1))
        self.assertTrue(records.try_acquire_trial("m", due))
        self.assertFalse(records.try_acquire_trial("m", due + 1.0))

    def test_trial_that_crashes_a_runner_is_the_last_one(self) -> None:
        records = CrashRecords()
        records.may_try = True
        now = _record_losses(records) + TRIAL_PAUSE_SECONDS
        self.assertTrue(records.try_acquire_trial("m", now))
        records.record_loss("m", ("r9", 1), at_seconds=now, now_seconds=now)
        successor = CrashRecords()
        successor.may_try = True
        _exchange_reports(records, successor, now)
        for router in (records, successor):
            self.assertFalse(router.try_acquire_trial("m", now + 1_000.0))

    def test_trials_without_a_result_are_limited(self) -> None:
        records = CrashRecords()
        records.may_try = True
        now = _record_losses(records)
        trials = 0
        for _ in range(1_000):
            now += 1.0
            trials += records.try_acquire_trial("m", now)
        self.assertEqual(MAX_TRIALS, trials)

    def test_losses_far_apart_allow_no_trial(self) -> None:
        records = CrashRecords()
        records.may_try = True
        last = _record_losses(records, gap_seconds=MAX_TRIAL_SPAN_SECONDS)
        self.assertFalse(records.try_acquire_trial("m", last + 60.0))

    def test_only_one_router_lets_trials_through(self) -> None:
        records = CrashRecords()
        last = _record_losses(records)
        self.assertFalse(
            records.try_acquire_trial("m", last + TRIAL_PAUSE_SECONDS)
        )
