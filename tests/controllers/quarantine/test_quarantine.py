"""Tests of the quarantine over seven routers."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.controllers.quarantine.owner import duty_of
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.rendezvous import owner_of
from tests.support.crash_fleet import (
    CULPRIT,
    ROUTERS,
    SERVICE,
    CrashFleet,
    send_again,
)


class CrashingRequestTest(testtools.TestCase):
    """One request that kills each runner that runs it."""

    def _send_again(self, **options: object) -> CrashFleet:
        fleet = CrashFleet(**options)
        send_again(fleet, times=20, innocents_per_second=100.0)
        return fleet

    def test_costs_two_runners_and_refuses_no_innocent(self) -> None:
        for seed in range(4):
            fleet = self._send_again(seed=seed)
            self.assertThat(len(fleet.lost), matchers.LessThan(3))
            self.assertEqual(0, fleet.refused_innocents())

    def test_costs_few_runners_over_a_lossy_network(self) -> None:
        for seed in range(4):
            fleet = self._send_again(seed=seed, loss=0.1)
            self.assertThat(len(fleet.lost), matchers.LessThan(4))
            self.assertEqual(0, fleet.refused_innocents())

    def test_without_quarantine_is_shown_to_fail(self) -> None:
        fleet = self._send_again(seed=1, protects=False)
        self.assertThat(len(fleet.lost), matchers.GreaterThan(20))

    def test_broken_connections_to_living_runners_convict_nobody(self) -> None:
        fleet = CrashFleet(seed=1)
        fleet.only_connections = True
        send_again(fleet, times=10, innocents_per_second=100.0)
        refusals = {call.refusal for call in fleet.calls}
        self.assertEqual({None}, refusals)

    def test_stays_refused_after_its_owner_is_lost(self) -> None:
        fleet = self._send_again(seed=1)
        owner = owner_of(duty_of(SERVICE), ROUTERS)
        fleet.fleet.kill(owner)
        others = [name for name in ROUTERS if name != owner]
        for name in others:
            fleet.memberships[name].change(others)
        fleet.run(30.0)
        lost = len(fleet.lost)
        call = fleet.call(others[0], CULPRIT)
        fleet.run(3.0)
        self.assertEqual(ErrorKind.QUARANTINED, call.refusal)
        self.assertEqual(lost, len(fleet.lost))


class DarkDomainTest(testtools.TestCase):
    """Whole fabric domains go dark under load."""

    def _darken(self, *, shares_blame: bool) -> CrashFleet:
        fleet = CrashFleet(seed=1, runners=24, shares_blame=shares_blame)
        for number in range(400):
            fleet.call(ROUTERS[number % 7], f"order {number}".encode())
        fleet.run(0.4)
        fleet.lose_domain("domain-0")
        fleet.run(0.6)
        fleet.lose_domain("domain-1")
        fleet.run(12.0)
        return fleet

    def test_convicts_nobody_and_all_are_answered(self) -> None:
        fleet = self._darken(shares_blame=True)
        self.assertEqual(0, fleet.refused_innocents())
        states = {call.state for call in fleet.calls}
        self.assertEqual({"done"}, states)

    def test_blame_that_is_not_shared_is_shown_to_fail(self) -> None:
        fleet = self._darken(shares_blame=False)
        refused = [call.refusal for call in fleet.calls]
        self.assertIn(ErrorKind.QUARANTINED, refused)
