"""What is held against runners, and for how long."""

from __future__ import annotations

import testtools

from mulberrypaddle.dispatch import Soundness
from mulberrypaddle.dispatch.soundness import (
    FIRST_EJECTION_SECONDS,
    SUSPICION_TTL_SECONDS,
    UNREACHABLE_SECONDS,
)


class SoundnessTest(testtools.TestCase):
    """Failures, silence and suspicion."""

    def test_one_failure_is_borne(self) -> None:
        soundness = Soundness()
        soundness.failed("r1", 0.0)
        self.assertFalse(soundness.failing("r1", 0.0))
        soundness.failed("r1", 0.0)
        self.assertTrue(soundness.failing("r1", 0.0))
        self.assertFalse(soundness.failing("r1", FIRST_EJECTION_SECONDS))

    def test_answer_ends_pause_and_silence(self) -> None:
        soundness = Soundness()
        soundness.failed("r1", 0.0)
        soundness.failed("r1", 0.0)
        soundness.unreachable("r1", 0.0)
        soundness.succeeded("r1")
        self.assertFalse(soundness.failing("r1", 0.0))
        self.assertFalse(soundness.silent("r1", 0.0))

    def test_silence_lasts_until_the_entry_lapses(self) -> None:
        soundness = Soundness()
        soundness.unreachable("r1", 0.0)
        self.assertTrue(soundness.silent("r1", UNREACHABLE_SECONDS - 1))
        self.assertFalse(soundness.silent("r1", UNREACHABLE_SECONDS))

    def test_what_others_told_is_not_told_again(self) -> None:
        soundness = Soundness()
        soundness.take_peer(failing=["r1"], silent=["r2"], now_seconds=0.0)
        self.assertTrue(soundness.failing("r1", 0.5))
        self.assertEqual([], soundness.own_failing(0.5))
        self.assertEqual([], soundness.own_silent(0.5))

    def test_silence_towards_another_router_is_a_suspicion_only(self) -> None:
        # A router whose own link is full or cut reaches no runner.
        soundness = Soundness()
        soundness.take_peer(failing=[], silent=["r2"], now_seconds=0.0)
        self.assertFalse(soundness.silent("r2", 0.1))
        self.assertTrue(soundness.suspected("r2", 0.1))

    def test_suspicion_ends_without_a_new_sight(self) -> None:
        soundness = Soundness()
        soundness.suspect("h1", 1.0)
        soundness.suspect("h1", 0.5)
        self.assertTrue(
            soundness.suspected("h1", 1.0 + SUSPICION_TTL_SECONDS / 2)
        )
        self.assertFalse(soundness.suspected("h1", 1.0 + SUSPICION_TTL_SECONDS))

    def test_gone_runners_are_forgotten(self) -> None:
        soundness = Soundness()
        soundness.unreachable("r1", 0.0)
        soundness.suspect("r1", 0.0)
        soundness.keep_only([])
        self.assertFalse(soundness.silent("r1", 0.0))
        self.assertFalse(soundness.suspected("r1", 0.0))
