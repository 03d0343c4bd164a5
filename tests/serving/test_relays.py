"""Which router relays for a data centre."""

from __future__ import annotations

import testtools

from mulberrypaddle.serving.relays import (
    LONE_SILENCE_SECONDS,
    RELAY_SILENCE_SECONDS,
    RelayRank,
    Relays,
)


def _rank(ip: str, *, owns: bool = False, capacity: int = 50) -> RelayRank:
    return RelayRank(ip, owns=owns, capacity=capacity)


class RelaysTest(testtools.TestCase):
    """One router, and the relays that it hears."""

    def setUp(self) -> None:
        super().setUp()
        self.relays = Relays("south", ip="10.0.0.1", started_at_seconds=0.0)

    def _decide(self, now: float, *, owns: bool = False) -> bool:
        return self.relays.decide(
            _rank("10.0.0.1", owns=owns), fittest=True, now_seconds=now
        )

    def test_owner_relays(self) -> None:
        self.assertTrue(self._decide(0.0, owns=True))

    def test_member_of_a_relay_does_not(self) -> None:
        self.relays.take_own(_rank("10.0.0.2"), successor="", now_seconds=1.0)
        self.assertFalse(self._decide(1.0 + RELAY_SILENCE_SECONDS / 2))
        self.assertEqual("10.0.0.2", self.relays.relay_ip(1.1))

    def test_named_successor_follows_without_the_store(self) -> None:
        self.relays.take_own(
            _rank("10.0.0.2", owns=True), successor="10.0.0.1", now_seconds=1.0
        )
        self.assertTrue(self._decide(1.0 + RELAY_SILENCE_SECONDS))

    def test_others_wait_for_the_successor(self) -> None:
        self.relays.take_own(
            _rank("10.0.0.2", owns=True), successor="10.0.0.3", now_seconds=1.0
        )
        self.assertFalse(self._decide(1.0 + RELAY_SILENCE_SECONDS))
        self.assertTrue(self._decide(1.0 + LONE_SILENCE_SECONDS))

    def test_of_two_relays_the_owner_stays(self) -> None:
        self.assertTrue(self._decide(LONE_SILENCE_SECONDS))
        taken = self.relays.take_own(
            _rank("10.0.0.2", owns=True), successor="", now_seconds=2.0
        )
        self.assertTrue(taken)
        self.assertFalse(self._decide(2.0))

    def test_of_two_relays_the_weaker_is_not_followed(self) -> None:
        self._decide(0.0, owns=True)
        taken = self.relays.take_own(
            _rank("10.0.0.2"), successor="", now_seconds=0.1
        )
        self.assertFalse(taken)
        self.assertTrue(self._decide(0.2, owns=True))

    def test_what_is_told_is_tried_and_not_relied_on(self) -> None:
        self.relays.take_told({"south": "10.0.0.9", "north": "10.1.0.1"})
        self.assertEqual("", self.relays.relay_ip(0.1))
        self.assertEqual("10.0.0.9", self.relays.told_ip())
        self.assertEqual({"north": "10.1.0.1"}, self.relays.others())
        self.assertFalse(self.relays.heard_for("north", 0.1))
