"""Tests that a duty has one owner at a time and passes on quickly."""

from __future__ import annotations

from typing import Any

import testtools

from mulberrypaddle.replicas.ownership import (
    CONSENT_SECONDS,
    LEASE_SECONDS,
    OutageDecision,
    OwnerRecord,
    Ownership,
    StoreReachability,
    decide_on_outage,
)
from mulberrypaddle.serving.store_era import FIRST_ERA, make_revision


def _record(
    *, renewals: int = 0, era: int = FIRST_ERA, given_up: bool = False
) -> OwnerRecord:
    return OwnerRecord(
        "router-1",
        incarnation="abc",
        address="127.0.0.1:1",
        renewals=renewals,
        era=era,
        given_up=given_up,
    )


class LeaseTest(testtools.TestCase):
    """The owner stops before another router may acquire the duty."""

    def test_owner_stops_before_others_may_acquire(self) -> None:
        owner, other = Ownership(), Ownership()
        owner.record_acquired(7, renewals=1, sent_at_seconds=10.0)
        other.observe(_record(), revision=7, now_seconds=10.1)
        now = 10.0
        while not other.may_acquire(now, owner_ended=False):
            now += 0.01
        self.assertFalse(owner.has_valid_lease(now - 0.5))

    def test_renewal_restarts_the_wait(self) -> None:
        other = Ownership()
        other.observe(_record(), revision=7, now_seconds=0.0)
        other.observe(_record(renewals=1), revision=8, now_seconds=2.0)
        self.assertFalse(
            other.may_acquire(LEASE_SECONDS + 1.0, owner_ended=False)
        )

    def test_reported_lease_end_shortens_the_wait(self) -> None:
        other = Ownership()
        other.observe(_record(renewals=3), revision=7, now_seconds=10.0)
        other.observe_reported_lease("abc", renewals=3, until_seconds=10.5)
        self.assertTrue(other.may_acquire(10.5, owner_ended=False))

    def test_report_of_an_older_renewal_is_ignored(self) -> None:
        other = Ownership()
        other.observe(_record(renewals=4), revision=8, now_seconds=10.0)
        other.observe_reported_lease("abc", renewals=3, until_seconds=10.5)
        self.assertFalse(other.may_acquire(10.5, owner_ended=False))

    def test_duty_of_an_ended_or_resigned_owner_is_free_at_once(self) -> None:
        other = Ownership()
        other.observe(_record(), revision=7, now_seconds=0.0)
        self.assertTrue(other.may_acquire(0.1, owner_ended=True))
        other.observe(_record(given_up=True), revision=8, now_seconds=0.0)
        self.assertTrue(other.may_acquire(0.1, owner_ended=False))

    def test_epochs_increase_across_owners(self) -> None:
        first, second = Ownership(), Ownership()
        first.record_acquired(7, renewals=1, sent_at_seconds=0.0)
        epochs = [first.next_epoch() for _ in range(100)]
        second.record_acquired(8, renewals=1, sent_at_seconds=0.0)
        self.assertGreater(second.next_epoch(), max(epochs))

    def test_epochs_increase_when_a_token_is_acquired_again(self) -> None:
        owner = Ownership()
        owner.record_acquired(7, renewals=1, sent_at_seconds=0.0)
        epochs = [owner.next_epoch() for _ in range(3)]
        owner.record_lost()
        owner.record_acquired(7, renewals=2, sent_at_seconds=1.0)
        self.assertGreater(owner.next_epoch(), max(epochs))

    def test_record_numbers_are_not_reused_by_later_ownerships(self) -> None:
        owner = Ownership()
        numbers = [owner.next_renewals(0.0), owner.next_renewals(0.0)]
        owner.record_acquired(7, renewals=numbers[0], sent_at_seconds=0.0)
        owner.record_lost()
        numbers.append(owner.next_renewals(1.0))
        self.assertEqual(sorted(set(numbers)), numbers)

    def test_times_of_records_are_kept_for_the_length_of_a_lease(self) -> None:
        owner = Ownership()
        first = owner.next_renewals(10.0)
        second = owner.next_renewals(11.0)
        self.assertEqual(10.0, owner.sent_at_seconds(first))
        owner.next_renewals(10.0 + LEASE_SECONDS)
        self.assertEqual(0.0, owner.sent_at_seconds(first))
        self.assertEqual(11.0, owner.sent_at_seconds(second))


class RestoredLeaseTest(testtools.TestCase):
    """What a router may conclude from the store after a restore."""

    def _may_acquire(self, other: Ownership) -> list[bool]:
        """Returns whether a duty first observed at 10.0 is free, over time."""
        return [
            other.may_acquire(10.0 + waited_seconds, owner_ended=True)
            for waited_seconds in (0.1, LEASE_SECONDS - 0.1, LEASE_SECONDS)
        ]

    def test_release_of_an_earlier_era_does_not_free_the_duty(self) -> None:
        other = Ownership()
        other.observe(
            _record(given_up=True),
            revision=make_revision(7, 2),
            now_seconds=10.0,
        )
        self.assertEqual([False, False, True], self._may_acquire(other))

    def test_release_of_the_same_era_frees_the_duty(self) -> None:
        other = Ownership()
        other.observe(
            _record(era=2, given_up=True),
            revision=make_revision(7, 2),
            now_seconds=10.0,
        )
        self.assertEqual([True, True, True], self._may_acquire(other))

    def test_absence_in_a_new_era_does_not_free_the_duty(self) -> None:
        other = Ownership()
        other.observe(_record(), revision=7, now_seconds=1.0)
        for now in (10.0, 10.5, 12.0):
            other.observe_absence(revision=make_revision(5, 2), now_seconds=now)
        self.assertEqual([False, False, True], self._may_acquire(other))

    def test_absence_in_the_first_era_frees_the_duty(self) -> None:
        other = Ownership()
        other.observe_absence(revision=5, now_seconds=10.0)
        self.assertEqual([True, True, True], self._may_acquire(other))

    def test_record_that_follows_an_absence_is_observed(self) -> None:
        other = Ownership()
        other.observe_absence(revision=make_revision(5, 2), now_seconds=10.0)
        other.observe(
            _record(era=2), revision=make_revision(6, 2), now_seconds=12.0
        )
        self.assertFalse(other.may_acquire(14.0, owner_ended=False))

    def test_claim_does_not_shorten_the_wait_on_a_copied_record(self) -> None:
        other = Ownership()
        other.observe(
            _record(renewals=3), revision=make_revision(7, 2), now_seconds=10.0
        )
        other.observe_reported_lease("abc", renewals=3, until_seconds=10.0)
        self.assertEqual([False, False, True], self._may_acquire(other))


class OutageTest(testtools.TestCase):
    """Decisions of an owner that can't renew its lease."""

    def test_goes_on_while_no_router_reaches_the_store(self) -> None:
        observations = [StoreReachability.UNREACHABLE] * 6
        self.assertIs(
            OutageDecision.GO_ON, decide_on_outage(observations, routers=7)
        )

    def test_hands_over_when_another_reaches_the_store(self) -> None:
        observations = [StoreReachability.UNREACHABLE] * 5 + [
            StoreReachability.REACHABLE
        ]
        self.assertIs(
            OutageDecision.HAND_OVER, decide_on_outage(observations, routers=7)
        )

    def test_waits_while_one_of_few_routers_is_unknown(self) -> None:
        observations = [StoreReachability.UNREACHABLE] * 5 + [
            StoreReachability.UNKNOWN
        ]
        self.assertIs(
            OutageDecision.WAIT, decide_on_outage(observations, routers=7)
        )

    def test_large_fleet_may_have_a_tenth_unknown(self) -> None:
        observations = [StoreReachability.UNREACHABLE] * 60 + [
            StoreReachability.UNKNOWN
        ] * 6
        self.assertIs(
            OutageDecision.GO_ON, decide_on_outage(observations, routers=71)
        )
        observations = [StoreReachability.UNREACHABLE] * 50 + [
            StoreReachability.UNKNOWN
        ] * 16
        self.assertIs(
            OutageDecision.WAIT, decide_on_outage(observations, routers=71)
        )

    def test_minority_waits(self) -> None:
        observations = [StoreReachability.UNREACHABLE] * 2
        self.assertIs(
            OutageDecision.WAIT, decide_on_outage(observations, routers=7)
        )

    def test_consent_extends_only_a_lease_that_holds(self) -> None:
        owner = Ownership()
        owner.record_acquired(7, renewals=1, sent_at_seconds=0.0)
        owner.extend_by_consent(1.0)
        now = LEASE_SECONDS - 1.0
        for _ in range(20):
            owner.extend_by_consent(now)
            now += CONSENT_SECONDS / 2
        self.assertTrue(owner.has_valid_lease(now))
        # A suspended owner received no consent in the meantime.
        now += 2 * CONSENT_SECONDS
        owner.extend_by_consent(now)
        self.assertFalse(owner.has_valid_lease(now))


class RecordTest(testtools.TestCase):
    """Parsing of lease records."""

    def test_odd_records_name_no_owner(self) -> None:
        sound = OwnerRecord(
            "router-1",
            incarnation="a1",
            address="10.0.0.1:7000",
            renewals=3,
        ).to_value()
        odd_fields: list[dict[str, Any]] = [
            {"renewals": float("inf")},
            {"renewals": float("nan")},
            {"renewals": 10**400},
            {"renewals": -1},
            {"renewals": True},
            {"renewals": "3"},
            {"address": "10.0.0.1"},
            {"address": "nowhere:80"},
            {"address": "\ud800:80"},
            {"address": None},
            {"node": None},
            {"node": "\ud800"},
            {"incarnation": ["a1"]},
            {"given_up": "false"},
        ]
        self.assertIsNotNone(OwnerRecord.from_value(sound))
        for fields in odd_fields:
            self.assertIsNone(
                OwnerRecord.from_value({**sound, **fields}), fields
            )
        for value in (None, [], "text", {}):
            self.assertIsNone(OwnerRecord.from_value(value), value)
