"""Passive health checks of runners: how long failures count."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import Soundness
from mulberrypaddle.dispatch.soundness import (
    FIRST_EJECTION_SECONDS,
    SUSPICION_TTL_SECONDS,
    UNREACHABLE_SECONDS,
)


class SoundnessTest(testtools.TestCase):
    """Failing, unreachable and suspected runners."""

    def test_second_consecutive_failure_ejects(self) -> None:
        soundness = Soundness()
        soundness.failed("r1", 0.0)
        self.assertFalse(soundness.failing("r1", 0.0))
        soundness.failed("r1", 0.0)
        self.assertTrue(soundness.failing("r1", 0.0))
        self.assertFalse(soundness.failing("r1", FIRST_EJECTION_SECONDS))

    def test_success_ends_ejection_and_unreachability(self) -> None:
        soundness = Soundness()
        soundness.failed("r1", 0.0)
        soundness.failed("r1", 0.0)
        soundness.unreachable("r1", 0.0)
        soundness.succeeded("r1")
        self.assertFalse(soundness.failing("r1", 0.0))
        self.assertFalse(soundness.silent("r1", 0.0))

    def test_unreachable_until_the_entry_of_a_dead_runner_expires(self) -> None:
        soundness = Soundness()
        soundness.unreachable("r1", 0.0)
        self.assertTrue(soundness.silent("r1", UNREACHABLE_SECONDS - 1))
        self.assertFalse(soundness.silent("r1", UNREACHABLE_SECONDS))

    def test_reports_of_other_routers_are_not_repeated(self) -> None:
        soundness = Soundness()
        soundness.take_peer(failing=["r1"], silent=["r2"], now_seconds=0.0)
        self.assertTrue(soundness.failing("r1", 0.5))
        self.assertEqual([], soundness.own_failing(0.5))
        self.assertEqual([], soundness.own_silent(0.5))

    def test_runner_unreachable_for_another_router_is_only_suspected(
        self,
    ) -> None:
        # A router whose own network link is saturated or down reaches no
        # runner.
        soundness = Soundness()
        soundness.take_peer(failing=[], silent=["r2"], now_seconds=0.0)
        self.assertFalse(soundness.silent("r2", 0.1))
        self.assertTrue(soundness.suspected("r2", 0.1))

    def test_suspicion_expires_without_a_new_observation(self) -> None:
        soundness = Soundness()
        soundness.suspect("h1", 1.0)
        soundness.suspect("h1", 0.5)
        self.assertTrue(
            soundness.suspected("h1", 1.0 + SUSPICION_TTL_SECONDS / 2)
        )
        self.assertFalse(soundness.suspected("h1", 1.0 + SUSPICION_TTL_SECONDS))

    def test_records_of_removed_runners_are_dropped(self) -> None:
        soundness = Soundness()
        soundness.unreachable("r1", 0.0)
        soundness.suspect("r1", 0.0)
        soundness.keep_only([])
        self.assertFalse(soundness.silent("r1", 0.0))
        self.assertFalse(soundness.suspected("r1", 0.0))
