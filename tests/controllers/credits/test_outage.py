"""The ledger while the members can't change and leases have lapsed."""

from __future__ import annotations

import testtools
from testtools import matchers

from mulberrypaddle.controllers.credits import (
    Protections,
    organisation_duty,
)
from mulberrypaddle.core.invariants import InvariantBreachError
from mulberrypaddle.core.rendezvous import owner_of
from tests.support.serving_fleet import SERVICE, ServingFleet, make_runners


class Outage:
    """Five routers that lose the store for long, and then one of them."""

    def __init__(self, protections: Protections | None = None) -> None:
        self.fleet = ServingFleet(
            5,
            runners=make_runners(8),
            contracts={"museum": 20, "cards": 20, "maps": 20, "toys": 20},
            protections=protections,
            seed=9,
        )

    def lapse(self) -> None:
        for membership in self.fleet.memberships.values():
            membership.renews = False

    def run(self, duration_seconds: float, *, share: float = 0.2) -> None:
        fleet = self.fleet
        for _ in range(int(duration_seconds / 0.05)):
            for member_id in list(fleet.nodes):
                for organisation in fleet.configuration.contracts:
                    if fleet.rng.random() < share:
                        fleet.submit_request(member_id, organisation)
            fleet.run(0.05)

    def served(self, duration_seconds: float) -> dict[str, int]:
        self.fleet.completed.clear()
        self.run(duration_seconds)
        return self.fleet.completed

    def kill_an_owner(self) -> str:
        duty = organisation_duty("museum", SERVICE)
        victim = owner_of(duty, self.fleet.member_ids)
        assert victim is not None
        self.fleet.kill(victim)
        return victim


class OutageTest(testtools.TestCase):
    """Service goes on with a majority, and only with one."""

    def lose_a_router(self, protections: Protections | None) -> dict[str, int]:
        outage = Outage(protections)
        outage.run(8.0)
        outage.lapse()
        outage.run(8.0)
        outage.kill_an_owner()
        outage.run(20.0, share=0.05)
        return outage.served(4.0)

    def test_every_contract_is_served_after_the_loss_of_a_router(self) -> None:
        served = self.lose_a_router(None)
        self.assertThat(served, matchers.HasLength(4))
        self.assertThat(min(served.values()), matchers.GreaterThan(10))
        self.assertEqual({}, self.lose_a_router(Protections(goes_on=False)))

    def split(self, protections: Protections | None) -> Outage:
        """Two of five are parted and lapse; the others remove them."""
        outage = Outage(protections)
        outage.run(8.0)
        fleet = outage.fleet
        parted = {"r3", "r4"}
        for member_id in parted:
            fleet.memberships[member_id].renews = False
            for other in set(fleet.member_ids) - parted:
                fleet.cut.add(frozenset((member_id, other)))
        fleet.change_members(["r0", "r1", "r2"])
        outage.run(20.0)
        outage.run(6.0, share=1.0)
        return outage

    def test_minority_grants_nothing(self) -> None:
        outage = self.split(None)
        fleet = outage.fleet
        for member_id in ("r3", "r4"):
            for account in fleet.credits[member_id].wallet.accounts.values():
                self.assertEqual(0, account.in_use.requests)
        self.assertRaises(
            InvariantBreachError, self.split, Protections(needs_majority=False)
        )
