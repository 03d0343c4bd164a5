"""Each protection of the ledger, and what happens without it."""

from __future__ import annotations

import testtools

from mulberrypaddle.controllers.credits import (
    Protections,
    organisation_duty,
)
from mulberrypaddle.core.invariants import InvariantBreachError
from mulberrypaddle.core.rendezvous import Duty, owner_of
from tests.support.serving_fleet import SERVICE, ServingFleet, make_runners


def make_fleet(protections: Protections | None = None) -> ServingFleet:
    """Returns three routers before one runner, with a contract for six."""
    return ServingFleet(
        3,
        runners=make_runners(1),
        contracts={"museum": 6},
        protections=protections,
        seed=7,
    )


def warm_up(fleet: ServingFleet) -> None:
    """Sends until the runner is warm."""
    for _ in range(200):
        for member_id in fleet.member_ids:
            fleet.submit_request(member_id, run_seconds=0.1)
        fleet.run(0.05)
    fleet.run(1.0)


def owner_and_others(fleet: ServingFleet, duty: Duty) -> list[str]:
    """Returns the duty's owner, followed by the other members."""
    owner = owner_of(duty, fleet.member_ids)
    assert owner is not None
    return [owner, *sorted(set(fleet.member_ids) - {owner})]


def rush(fleet: ServingFleet, member_id: str, run_seconds: float) -> None:
    """Submits more than the contract allows at one router."""
    for _ in range(8):
        fleet.submit_request(
            member_id, run_seconds=run_seconds, deadline_seconds=run_seconds
        )
    fleet.run(0.5)


def start_rush(protections: Protections | None) -> ServingFleet:
    """All routers rush at a cold runner."""
    fleet = make_fleet(protections)
    fleet.run(2.0)
    for member_id in fleet.member_ids:
        rush(fleet, member_id, 2.0)
    return fleet


def silent_restart(protections: Protections | None) -> ServingFleet:
    """A warm runner comes back cold, and a rush follows."""
    fleet = make_fleet(protections)
    warm_up(fleet)
    fleet.runners["e0"].restart(fleet.clock.monotonic_seconds(), 6.0)
    fleet.run(9.0)
    for member_id in fleet.member_ids:
        rush(fleet, member_id, 2.0)
    return fleet


def silent_holder(protections: Protections | None) -> ServingFleet:
    """A holder with long requests in hand is cut off; another asks."""
    fleet = make_fleet(protections)
    warm_up(fleet)
    duty = organisation_duty("museum", SERVICE)
    owner, first, second = owner_and_others(fleet, duty)
    rush(fleet, first, 12.0)
    for other in (owner, second):
        fleet.cut.add(frozenset((first, other)))
    fleet.run(6.0)
    rush(fleet, second, 5.0)
    rush(fleet, owner, 5.0)
    return fleet


def expired_grant(protections: Protections | None) -> ServingFleet:
    """A holder of idle credit is cut off, and wakes up after others."""
    fleet = make_fleet(protections)
    warm_up(fleet)
    duty = organisation_duty("museum", SERVICE)
    owner, first, second = owner_and_others(fleet, duty)
    rush(fleet, first, 1.0)
    for other in (owner, second):
        fleet.cut.add(frozenset((first, other)))
    fleet.run(13.0)
    rush(fleet, second, 5.0)
    rush(fleet, first, 5.0)
    return fleet


def restarted_owner(protections: Protections | None) -> ServingFleet:
    """An owner forgets its grants while a holder can't tell it."""
    fleet = make_fleet(protections)
    warm_up(fleet)
    duty = organisation_duty("museum", SERVICE)
    owner, first, second = owner_and_others(fleet, duty)
    rush(fleet, first, 0.3)
    fleet.cut.add(frozenset((first, owner)))
    fleet.kill(owner)
    fleet.start(owner)
    fleet.run(0.2)
    rush(fleet, second, 5.0)
    rush(fleet, first, 5.0)
    return fleet


class ProtectionsTest(testtools.TestCase):
    """Switched off, each protection lets an invariant breach."""

    def assert_needed(self, scenario, **switched_off: bool) -> None:
        scenario(None)
        self.assertRaises(
            InvariantBreachError, scenario, Protections(**switched_off)
        )

    def test_shared_ledger(self) -> None:
        self.assert_needed(start_rush, shares=False)

    def test_ramp(self) -> None:
        self.assert_needed(start_rush, ramps=False)

    def test_silent_restart_is_seen(self) -> None:
        self.assert_needed(silent_restart, sees_restarts=False)

    def test_silent_holder_stays_counted(self) -> None:
        self.assert_needed(silent_holder, counts_silent_holders=False)

    def test_grants_expire_at_the_holder(self) -> None:
        self.assert_needed(expired_grant, expires_grants=False)

    def test_new_owner_waits(self) -> None:
        self.assert_needed(restarted_owner, waits_for_earlier_grants=False)
