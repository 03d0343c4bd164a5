"""Attribution of runner crashes to parts of prompts."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import CrashAttribution
from mulberrypaddle.dispatch.crash_attribution import (
    FIRST_TRIAL_SECONDS,
    MAX_CRASHES,
    MAX_REPORTED_CHARACTERS,
    MAX_REPORTED_CRASHES,
    MIN_CRASHES,
    MIN_CRASHES_IF_ANSWERED,
    PEER_REPORT_MARGIN_SECONDS,
    RETENTION_SECONDS,
    SIMULTANEOUS_SECONDS,
)


def _crash(
    attribution: CrashAttribution,
    runner_id: str,
    *requests: tuple[str, ...],
    now_seconds: float,
) -> None:
    """Ends a runner while the answers to the given requests had just begun."""
    incarnation = (runner_id, 1)
    for parts in requests:
        attribution.record_interruption(
            incarnation,
            address="10.0.0.1:80",
            parts=parts,
            now_seconds=now_seconds,
        )
    attribution.confirm_crash(incarnation, now_seconds)


def _exchange_reports(
    sender: CrashAttribution,
    receiver: CrashAttribution,
    *,
    sent_at_seconds: float,
    received_at_seconds: float,
) -> None:
    receiver.apply_peer_report(
        sender.crash_reports(sent_at_seconds),
        sender.cleared_ages(sent_at_seconds),
        received_at_seconds,
    )


def _is_refused(attribution: CrashAttribution, *parts: str) -> bool:
    return attribution.quarantine_of(parts) is not None


class QuarantineTest(testtools.TestCase):
    """Which requests are refused after runners crashed."""

    def test_part_in_each_of_several_crashes_is_refused(self) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES):
            self.assertFalse(_is_refused(attribution, "shared", "bad"))
            _crash(
                attribution,
                f"r{number}",
                ("shared", "bad"),
                ("shared", f"sound-{number}"),
                now_seconds=float(number),
            )
            attribution.record_answer(("shared",), number + 0.5)
        self.assertTrue(_is_refused(attribution, "shared", "bad"))
        self.assertFalse(_is_refused(attribution, "shared", "sound-0"))
        self.assertFalse(_is_refused(attribution, "shared"))

    def test_part_of_one_request_in_a_hundred_is_found(self) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES):
            at_seconds = number * 60.0
            _crash(
                attribution,
                f"r{number}",
                ("shared", "bad"),
                now_seconds=at_seconds,
            )
            for answer in range(100):
                attribution.record_answer(
                    ("shared", f"sound-{answer}"), at_seconds + answer * 0.5
                )
        self.assertTrue(_is_refused(attribution, "shared", "bad"))
        self.assertFalse(_is_refused(attribution, "shared", "sound-1"))

    def test_runners_that_end_at_once_charge_no_part(self) -> None:
        attribution = CrashAttribution()
        for number in range(20):
            _crash(
                attribution,
                f"r{number}",
                ("shared", "rare"),
                now_seconds=10.0 + number * SIMULTANEOUS_SECONDS / 20,
            )
        self.assertFalse(_is_refused(attribution, "shared", "rare"))

    def test_interrupted_answers_of_live_runners_charge_no_part(self) -> None:
        attribution = CrashAttribution()
        for number in range(10):
            incarnation = (f"r{number}", 1)
            attribution.record_interruption(
                incarnation,
                address="10.0.0.1:80",
                parts=("shared", "rare"),
                now_seconds=float(number),
            )
            attribution.dismiss(incarnation)
            attribution.confirm_crash(incarnation, float(number))
        self.assertFalse(_is_refused(attribution, "shared", "rare"))
        self.assertFalse(attribution.is_suspected(("rare",)))

    def test_part_that_was_answered_before_needs_more_crashes(self) -> None:
        attribution = CrashAttribution()
        attribution.record_answer(("common",), 1.0)
        for number in range(MIN_CRASHES_IF_ANSWERED):
            self.assertFalse(_is_refused(attribution, "common"))
            _crash(
                attribution,
                f"r{number}",
                ("common",),
                now_seconds=2.0 + number,
            )
        self.assertTrue(_is_refused(attribution, "common"))

    def test_answered_part_is_spared_beside_one_never_answered(self) -> None:
        attribution = CrashAttribution()
        attribution.record_answer(("rarely-used",), 1.0)
        for number in range(MIN_CRASHES_IF_ANSWERED + 1):
            _crash(
                attribution,
                f"r{number}",
                ("rarely-used", "bad"),
                now_seconds=2.0 + number,
            )
        self.assertTrue(_is_refused(attribution, "rarely-used", "bad"))
        self.assertFalse(_is_refused(attribution, "rarely-used"))

    def test_parts_that_always_come_together_are_refused_together(
        self,
    ) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES):
            _crash(
                attribution,
                f"r{number}",
                ("one", "two"),
                now_seconds=float(number),
            )
        self.assertTrue(_is_refused(attribution, "one", "two", "three"))
        self.assertFalse(_is_refused(attribution, "one"))
        self.assertFalse(_is_refused(attribution, "two"))
        attribution.record_answer(("one",), 10.0)
        self.assertFalse(_is_refused(attribution, "one"))
        self.assertTrue(_is_refused(attribution, "two"))

    def test_second_bad_part_is_found_after_the_first(self) -> None:
        attribution = CrashAttribution()
        for number in range(2 * MIN_CRASHES):
            part = "first" if number < MIN_CRASHES else "second"
            _crash(
                attribution,
                f"r{number}",
                ("shared", part),
                now_seconds=float(number),
            )
            attribution.record_answer(("shared",), number + 0.5)
        self.assertTrue(_is_refused(attribution, "shared", "first"))
        self.assertTrue(_is_refused(attribution, "shared", "second"))
        self.assertFalse(_is_refused(attribution, "shared"))

    def test_explained_crashes_count_against_no_other_part(self) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES + 2):
            suspects = [("shared", "bad")]
            if number < MIN_CRASHES:
                suspects.append(("unlucky",))
            _crash(
                attribution,
                f"r{number}",
                *suspects,
                now_seconds=float(number),
            )
            attribution.record_answer(("shared",), number + 0.5)
        self.assertTrue(_is_refused(attribution, "bad"))
        self.assertFalse(_is_refused(attribution, "unlucky"))

    def test_answer_releases_a_part_that_was_charged_wrongly(self) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES):
            _crash(
                attribution, f"r{number}", ("part",), now_seconds=float(number)
            )
        self.assertTrue(_is_refused(attribution, "part"))
        attribution.record_answer(("part",), 10.0)
        self.assertFalse(_is_refused(attribution, "part"))
        self.assertFalse(attribution.is_suspected(("part",)))

    def test_suspect_of_a_single_crash_is_known_until_answered(self) -> None:
        attribution = CrashAttribution()
        _crash(attribution, "r1", ("part",), now_seconds=1.0)
        self.assertTrue(attribution.is_suspected(("part", "other")))
        attribution.record_answer(("part",), 2.0)
        self.assertFalse(attribution.is_suspected(("part", "other")))

    def test_crashes_are_forgotten(self) -> None:
        attribution = CrashAttribution()
        for number in range(MIN_CRASHES):
            _crash(
                attribution, f"r{number}", ("part",), now_seconds=float(number)
            )
        attribution.crash_reports(RETENTION_SECONDS + MIN_CRASHES)
        self.assertFalse(_is_refused(attribution, "part"))

    def test_memory_is_bounded_for_ids_without_end(self) -> None:
        attribution = CrashAttribution()
        for number in range(2 * MAX_CRASHES):
            _crash(
                attribution,
                f"r{number}",
                tuple(f"{number}-{part}" for part in range(100)),
                now_seconds=float(number) / 10,
            )
        reports = attribution.crash_reports(60.0)
        self.assertEqual(MAX_REPORTED_CRASHES, len(reports))
        characters = sum(
            len(part) for report in reports for part in report.parts
        )
        self.assertGreater(characters, 0)
        self.assertLessEqual(characters, MAX_REPORTED_CHARACTERS)
        attribution.record_answer(
            tuple(f"answered-{part}" for part in range(100_000)), 60.0
        )
        self.assertFalse(_is_refused(attribution, "0-0"))


class TrialTest(testtools.TestCase):
    """A quarantined request is let through now and then."""

    def setUp(self) -> None:
        super().setUp()
        self.attribution = CrashAttribution()
        self.attribution.may_try = True
        for number in range(MIN_CRASHES):
            _crash(
                self.attribution,
                f"r{number}",
                ("part",),
                now_seconds=float(number),
            )
        self.due_at_seconds = MIN_CRASHES - 1 + FIRST_TRIAL_SECONDS

    def _try_at(self, now_seconds: float) -> bool:
        return self.attribution.try_acquire_trial(("part",), now_seconds)

    def test_one_trial_for_each_interval(self) -> None:
        self.assertFalse(self._try_at(self.due_at_seconds - 1))
        self.assertTrue(self._try_at(self.due_at_seconds))
        self.assertFalse(self._try_at(self.due_at_seconds + 1))

    def test_other_routers_make_no_trial(self) -> None:
        self.attribution.may_try = False
        self.assertFalse(self._try_at(self.due_at_seconds))

    def test_interval_doubles_after_a_failed_trial(self) -> None:
        at_seconds = self.due_at_seconds
        self.assertTrue(self._try_at(at_seconds))
        _crash(self.attribution, "trial", ("part",), now_seconds=at_seconds + 1)
        at_seconds += 1 + 2 * FIRST_TRIAL_SECONDS
        self.assertFalse(self._try_at(at_seconds - 1))
        self.assertTrue(self._try_at(at_seconds))

    def test_quarantine_lasts_while_trials_crash_runners(self) -> None:
        at_seconds = 0.0
        trials = 0
        for step in range(3_600):
            at_seconds = 10.0 + step
            self.attribution.crash_reports(at_seconds)
            self.assertTrue(_is_refused(self.attribution, "part"))
            if self._try_at(at_seconds):
                trials += 1
                _crash(
                    self.attribution,
                    f"trial-{trials}",
                    ("part",),
                    now_seconds=at_seconds,
                )
        self.assertLess(trials, 40)


class PeerReportTest(testtools.TestCase):
    """Routers share the evidence."""

    def test_crashes_seen_by_several_routers_are_counted(self) -> None:
        routers = [CrashAttribution() for _ in range(MIN_CRASHES)]
        for number, router in enumerate(routers):
            _crash(router, f"r{number}", ("bad",), now_seconds=float(number))
        for router in routers[1:]:
            _exchange_reports(
                router,
                routers[0],
                sent_at_seconds=5.0,
                received_at_seconds=5.1,
            )
        self.assertTrue(_is_refused(routers[0], "bad"))

    def test_one_crash_that_all_routers_see_counts_once(self) -> None:
        routers = [CrashAttribution() for _ in range(7)]
        for router in routers:
            _crash(router, "r1", ("part",), now_seconds=1.0)
        for router in routers[1:]:
            _exchange_reports(
                router,
                routers[0],
                sent_at_seconds=2.0,
                received_at_seconds=2.1,
            )
        self.assertFalse(_is_refused(routers[0], "part"))

    def test_restarted_router_learns_the_quarantine(self) -> None:
        old, new = CrashAttribution(), CrashAttribution()
        for number in range(MIN_CRASHES):
            _crash(
                old, f"r{number}", ("shared", "bad"), now_seconds=float(number)
            )
            old.record_answer(("shared",), number + 0.5)
        # The clock of another process has another origin.
        _exchange_reports(
            old, new, sent_at_seconds=400.0, received_at_seconds=2_000.0
        )
        self.assertTrue(_is_refused(new, "shared", "bad"))
        self.assertFalse(_is_refused(new, "shared"))

    def test_answer_that_another_router_saw_clears_a_part(self) -> None:
        one, other = CrashAttribution(), CrashAttribution()
        for number in range(MIN_CRASHES):
            _crash(one, f"r{number}", ("part",), now_seconds=float(number))
        _exchange_reports(
            one, other, sent_at_seconds=5.0, received_at_seconds=5.0
        )
        other.record_answer(("part",), 6.0)
        _exchange_reports(
            other, one, sent_at_seconds=6.0, received_at_seconds=6.1
        )
        self.assertFalse(_is_refused(one, "part"))

    def test_report_of_an_answer_from_before_the_crash_clears_nothing(
        self,
    ) -> None:
        one, other = CrashAttribution(), CrashAttribution()
        other.record_answer(("part",), 9.9)
        _crash(one, "r1", ("part",), now_seconds=10.0)
        for step in range(20):
            at_seconds = 10.1 + step * 0.1
            _exchange_reports(
                one,
                other,
                sent_at_seconds=at_seconds,
                received_at_seconds=at_seconds,
            )
            _exchange_reports(
                other,
                one,
                sent_at_seconds=at_seconds,
                received_at_seconds=at_seconds + PEER_REPORT_MARGIN_SECONDS / 2,
            )
        self.assertTrue(one.is_suspected(("part",)))

    def test_cleared_crash_is_not_reported(self) -> None:
        attribution = CrashAttribution()
        _crash(attribution, "r1", ("part",), now_seconds=1.0)
        self.assertEqual(1, len(attribution.crash_reports(1.5)))
        attribution.record_answer(("part",), 2.0)
        self.assertEqual([], attribution.crash_reports(2.5))
        self.assertEqual({"part": 0.5}, attribution.cleared_ages(2.5))
        self.assertEqual({}, attribution.cleared_ages(60.0))

    def test_router_that_has_cleared_a_crash_answers_reports_of_it(
        self,
    ) -> None:
        one, other = CrashAttribution(), CrashAttribution()
        _crash(one, "r1", ("part",), now_seconds=1.0)
        one.record_answer(("part",), 2.0)
        _crash(other, "r1", ("part",), now_seconds=1.0)
        _exchange_reports(
            other, one, sent_at_seconds=60.0, received_at_seconds=60.0
        )
        _exchange_reports(
            one, other, sent_at_seconds=60.1, received_at_seconds=60.1
        )
        self.assertFalse(other.is_suspected(("part",)))
