"""Tests that a duty has one owner at a time and passes on quickly."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.ownership import (
    CONSENT_SECONDS,
    LEASE_SECONDS,
    OutageVerdict,
    OwnerRecord,
    Ownership,
    StoreSight,
    judge_outage,
)


def _record(*, renewals: int = 0, given_up: bool = False) -> OwnerRecord:
    return OwnerRecord(
        "router-1",
        incarnation="abc",
        address="127.0.0.1:1",
        renewals=renewals,
        given_up=given_up,
    )


class LeaseTest(testtools.TestCase):
    """The owner stops before another router may acquire the duty."""

    def test_owner_stops_before_others_may_acquire(self) -> None:
        owner, other = Ownership(), Ownership()
        owner.taken(7, sent_at_seconds=10.0)
        other.observe(_record(), revision=7, now_seconds=10.1)
        now = 10.0
        while not other.may_take(now, owner_ended=False):
            now += 0.01
        self.assertFalse(owner.holds(now - 0.5))

    def test_renewal_restarts_the_wait(self) -> None:
        other = Ownership()
        other.observe(_record(), revision=7, now_seconds=0.0)
        other.observe(_record(renewals=1), revision=8, now_seconds=2.0)
        self.assertFalse(other.may_take(LEASE_SECONDS + 1.0, owner_ended=False))

    def test_reported_lease_end_shortens_the_wait(self) -> None:
        other = Ownership()
        other.observe(_record(renewals=3), revision=7, now_seconds=10.0)
        other.observe_claim("abc", renewals=3, until_seconds=10.5)
        self.assertTrue(other.may_take(10.5, owner_ended=False))

    def test_report_of_an_older_renewal_is_ignored(self) -> None:
        other = Ownership()
        other.observe(_record(renewals=4), revision=8, now_seconds=10.0)
        other.observe_claim("abc", renewals=3, until_seconds=10.5)
        self.assertFalse(other.may_take(10.5, owner_ended=False))

    def test_duty_of_an_ended_or_resigned_owner_is_free_at_once(self) -> None:
        other = Ownership()
        other.observe(_record(), revision=7, now_seconds=0.0)
        self.assertTrue(other.may_take(0.1, owner_ended=True))
        other.observe(_record(given_up=True), revision=8, now_seconds=0.0)
        self.assertTrue(other.may_take(0.1, owner_ended=False))

    def test_epochs_increase_across_owners(self) -> None:
        first, second = Ownership(), Ownership()
        first.taken(7, sent_at_seconds=0.0)
        epochs = [first.next_epoch() for _ in range(100)]
        second.taken(8, sent_at_seconds=0.0)
        self.assertGreater(second.next_epoch(), max(epochs))


class OutageTest(testtools.TestCase):
    """Decisions of an owner that can't renew its lease."""

    def test_goes_on_while_no_router_reaches_the_store(self) -> None:
        observations = [StoreSight.FAILED] * 6
        self.assertIs(
            OutageVerdict.GO_ON, judge_outage(observations, routers=7)
        )

    def test_hands_over_when_another_reaches_the_store(self) -> None:
        observations = [StoreSight.FAILED] * 5 + [StoreSight.SERVED]
        self.assertIs(
            OutageVerdict.HAND_OVER, judge_outage(observations, routers=7)
        )

    def test_waits_while_one_of_few_routers_is_unknown(self) -> None:
        observations = [StoreSight.FAILED] * 5 + [StoreSight.UNKNOWN]
        self.assertIs(OutageVerdict.WAIT, judge_outage(observations, routers=7))

    def test_large_fleet_may_have_a_tenth_unknown(self) -> None:
        observations = [StoreSight.FAILED] * 60 + [StoreSight.UNKNOWN] * 6
        self.assertIs(
            OutageVerdict.GO_ON, judge_outage(observations, routers=71)
        )
        observations = [StoreSight.FAILED] * 50 + [StoreSight.UNKNOWN] * 16
        self.assertIs(
            OutageVerdict.WAIT, judge_outage(observations, routers=71)
        )

    def test_minority_waits(self) -> None:
        observations = [StoreSight.FAILED] * 2
        self.assertIs(OutageVerdict.WAIT, judge_outage(observations, routers=7))

    def test_consent_extends_only_a_lease_that_holds(self) -> None:
        owner = Ownership()
        owner.taken(7, sent_at_seconds=0.0)
        owner.consented(1.0)
        now = LEASE_SECONDS - 1.0
        for _ in range(20):
            owner.consented(now)
            now += CONSENT_SECONDS / 2
        self.assertTrue(owner.holds(now))
        # A suspended owner received no consent in the meantime.
        now += 2 * CONSENT_SECONDS
        owner.consented(now)
        self.assertFalse(owner.holds(now))
