"""The choice of a fabric domain, and wishes that come late."""

from __future__ import annotations

import testtools

from mulberrypaddle.blackboard.fleet_view import FleetView
from mulberrypaddle.blackboard.values import Configuration, GroupTable
from mulberrypaddle.controllers.groups.evidence import Evidence
from mulberrypaddle.controllers.groups.evolve import Evolution
from mulberrypaddle.controllers.groups.placement import choose_domain
from mulberrypaddle.controllers.groups.plan import Protections, Wish
from mulberrypaddle.core.fleet import (
    DataCentreState,
    Service,
    ServiceKind,
    Vm,
)
from mulberrypaddle.core.groups import Domain, GroupState
from tests.support.vm_world import SERVICE, VmWorld

HINTS = Service(
    "hints", kind=ServiceKind.ENGINE, model="m", replicas=9, vms_per_group=4
)


def view_of(
    domains: dict[str, int], data_centres: dict[str, DataCentreState]
) -> FleetView:
    vms = {}
    for domain, count in domains.items():
        for number in range(count):
            vm_id = f"{domain}.{number}"
            vms[vm_id] = Vm(
                vm_id,
                address="",
                data_centre=domain[0],
                fabric_domain=domain,
            )
    configuration = Configuration(
        contracts={},
        services={"hints": HINTS},
        data_centres=data_centres,
        versions={},
    )
    return FleetView(configuration, vms, GroupTable({}, {}))


class ChooseDomainTest(testtools.TestCase):
    """Data centres are filled evenly, domains with few VMs left over."""

    def test_domain_with_few_left_over_comes_first(self) -> None:
        view = view_of({"a-1": 7, "a-2": 8, "a-3": 5}, {})
        self.assertEqual("a-2", choose_domain(view, HINTS, {}))
        self.assertEqual("a-2", choose_domain(view, HINTS, {"a-2": 1}))
        self.assertEqual("a-3", choose_domain(view, HINTS, {"a-2": 2}))

    def test_data_centre_with_few_groups_comes_first(self) -> None:
        view = view_of({"a-1": 8, "b-1": 7}, {})
        self.assertEqual("b-1", choose_domain(view, HINTS, {"a-1": 1}))

    def test_data_centre_that_is_out_gets_nothing(self) -> None:
        out = {"a": DataCentreState.OUT}
        self.assertIsNone(choose_domain(view_of({"a-1": 8}, out), HINTS, {}))

    def test_domain_with_too_few_vms_gets_nothing(self) -> None:
        self.assertIsNone(choose_domain(view_of({"a-1": 3}, {}), HINTS, {}))


class WishTest(testtools.TestCase):
    """Wishes that are repeated, or ask for more than there is."""

    def test_wish_for_two_groups_forms_what_fits(self) -> None:
        evolution = Evolution(
            Domain("a-1"),
            evidence=Evidence(),
            vms=view_of({"a-1": 7}, {}).domain_vms["a-1"],
            services={"hints": HINTS},
            fully_replicated_services=frozenset(),
            now_wall_seconds=1.0,
            protections=Protections(),
        )
        wish = Wish(0, form=("hints", "hints"), reason="missing_replicas:2")
        self.assertTrue(evolution.run([wish]))
        (group,) = evolution.domain.groups.values()
        self.assertIs(GroupState.FORMING, group.state)

    def test_lossy_network_forms_no_group_twice(self) -> None:
        world = VmWorld(
            ["r1", "r2", "r3"],
            domains={"a-1": 16, "b-1": 16},
            replicas=4,
            loss=0.4,
            seed=5,
        )
        world.run(30)
        groups = 0
        for domain in world.domains().values():
            groups += len(domain.groups)
        self.assertEqual(4, groups)
        self.assertEqual(4, len(world.groups()))
        self.assertEqual({SERVICE}, {g.service for g in world.groups()})
