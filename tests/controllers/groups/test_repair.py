"""Groups form, leave service, are repaired and replaced."""

from __future__ import annotations

import testtools

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import FleetStatus
from mulberrypaddle.controllers.groups.plan import Protections
from mulberrypaddle.core.fleet import VmState
from mulberrypaddle.core.groups import GroupState
from mulberrypaddle.core.invariants import InvariantBreachError
from tests.support.vm_world import SERVICE, VmWorld

ROUTERS = ["r1", "r2", "r3"]


class RepairTest(testtools.TestCase):
    """One domain is kept by its owner."""

    def test_lost_vm_leaves_service_at_once_and_a_spare_joins(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        (before,) = world.groups()
        self.assertEqual(4, len(before.vm_ids))
        world.kill_vm("a-1.01", listed=False)
        world.run(2.5)
        for member_id in ROUTERS:
            self.assertEqual({}, world.routable(member_id))
        world.run(10)
        (after,) = world.groups()
        self.assertEqual(before.group_id, after.group_id)
        self.assertGreater(after.generation, before.generation)
        self.assertNotIn("a-1.01", after.vm_ids)
        for member_id in ROUTERS:
            (runner,) = world.routable(member_id).values()
            self.assertEqual(after.generation, runner.generation)

    def test_lost_vm_leaves_service_while_the_store_is_down(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        world.fleet.store.down = True
        world.kill_vm("a-1.01", listed=False)
        world.run(8)
        for member_id in ROUTERS:
            self.assertEqual({}, world.routable(member_id))
        world.fleet.store.down = False
        world.run(12)
        self.assertEqual(1, len(world.groups()))

    def test_remains_of_two_broken_groups_are_joined(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 8}, replicas=2)
        world.run(10)
        for group in world.groups():
            world.kill_vm(group.vm_ids[0])
        world.run(15)
        (serving,) = world.groups()
        (down,) = world.groups(GroupState.DOWN)
        board = world.fleet.nodes["r1"].context.board
        status = board.latest(keys.FLEET_STATUS, FleetStatus((), {}))
        (row,) = status.groups
        self.assertEqual(down.group_id, row.group_id)
        self.assertIn("vm_gone", row.reason)
        self.assertGreater(row.down_seconds, 5)
        self.assertEqual(16, status.services[SERVICE].stranded_accelerators)
        for vm_id in list(world.agents):
            if world.agents[vm_id].dead:
                world.return_vm(vm_id)
        world.run(12)
        self.assertEqual(2, len(world.groups()))

    def test_lost_domain_is_replaced_in_another(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 8, "b-1": 9}, replicas=2)
        world.run(10)
        for vm_id in world.agents:
            if vm_id.startswith("a-1"):
                world.kill_vm(vm_id, listed=False)
        world.run(25)
        domains = [group.group_id.split(".")[1] for group in world.groups()]
        self.assertEqual(["b-1", "b-1"], domains)

    def test_leaving_vm_drains_its_group(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        (before,) = world.groups()
        world.agents[before.vm_ids[0]].running_requests = 1
        world.set_state(before.vm_ids[2], VmState.LEAVING)
        world.run(2)
        for member_id in ROUTERS:
            self.assertEqual({}, world.routable(member_id))
        world.run(20)
        (draining,) = world.groups(GroupState.DRAINING)
        self.assertEqual(before.generation, draining.generation)
        world.agents[before.vm_ids[0]].running_requests = 0
        world.run(12)
        (after,) = world.groups()
        self.assertNotIn(before.vm_ids[2], after.vm_ids)

    def test_loads_go_by_value_and_then_by_missing_share(self) -> None:
        world = VmWorld(
            ROUTERS, domains={"a-1": 12, "b-1": 12}, replicas=3, slots=1
        )
        world.put_service("rare", replicas=1, value=9)
        world.run(40)
        domains = world.domains()
        services = []
        for load_id in world.weight_store_state.order:
            name, _, number = load_id.partition("#")
            for group in domains[name].groups.values():
                if group.generation == int(number):
                    services.append(group.service)
        self.assertEqual(["rare", SERVICE, SERVICE, SERVICE], services)

    def test_new_model_is_rolled_out_one_group_at_a_time(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 8, "b-1": 8}, replicas=4)
        world.run(12)
        world.put_service(SERVICE, replicas=4, model="m2")
        fewest = 4
        for _ in range(120):
            world.run(1)
            fewest = min(fewest, len(world.groups()))
        self.assertEqual(3, fewest)
        models = {group.model for group in world.groups()}
        self.assertEqual({"m2"}, models)
        self.assertEqual(4, len(world.groups()))

    def test_groups_of_a_removed_service_are_drained(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 8}, replicas=2)
        world.run(12)
        world.remove_service(SERVICE)
        world.run(2)
        self.assertEqual({}, world.routable("r1"))
        world.run(15)
        self.assertEqual({}, world.domains()["a-1"].groups)
        self.assertEqual(set(), world.domains()["a-1"].claimed_vm_ids())

    def test_groups_of_an_unreadable_service_are_left_alone(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 8}, replicas=2)
        world.run(12)
        world.remove_service(SERVICE, unreadable=True)
        world.run(15)
        self.assertEqual(2, len(world.groups()))

    def test_vm_that_its_lead_misses_is_replaced(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        (before,) = world.groups()
        world.agents[before.vm_ids[3]].restart()
        world.run(12)
        (after,) = world.groups()
        self.assertGreater(after.generation, before.generation)

    def test_silent_vm_is_held_until_it_confirms_its_stop(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        world.agents["a-1.00"].unreachable = True
        world.run(60)
        domain = world.domains()["a-1"]
        self.assertIn("a-1.00", domain.held)
        self.assertGreater(world.agents["a-1.00"].generation, 0)
        world.agents["a-1.00"].unreachable = False
        world.run(5)
        self.assertEqual({}, world.domains()["a-1"].held)
        self.assertEqual(0, world.agents["a-1.00"].generation)

    def test_answer_lost_after_the_take_over_write(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 5}, replicas=1)
        world.run(10)
        owner = world.fleet.decisions[0][0]
        world.fleet.store.lost_responses_remaining = 1
        world.kill_router(owner)
        world.kill_vm("a-1.00")
        world.run(25)
        (group,) = world.groups()
        self.assertNotIn("a-1.00", group.vm_ids)


class DataCentreTest(testtools.TestCase):
    """Groups of a data centre that leaves and returns."""

    def test_out_leaves_the_table_and_groups_are_kept(self) -> None:
        world = VmWorld(
            ROUTERS, domains={"a-1": 8, "b-1": 8, "c-1": 8}, replicas=6
        )
        world.run(15)
        self.assertEqual(6, len(world.routable("r1")))
        world.put_data_centre("a", "out")
        world.run(2)
        for member_id in ROUTERS:
            self.assertEqual(4, len(world.routable(member_id)))
        world.run(20)
        self.assertEqual(6, len(world.groups()))
        world.put_data_centre("a", "in")
        world.run(2)
        self.assertEqual(6, len(world.routable("r2")))

    def test_dark_data_centre_leaves_the_tables(self) -> None:
        world = VmWorld(
            ROUTERS, domains={"a-1": 8, "b-1": 8, "c-1": 9}, replicas=6
        )
        world.run(15)
        for vm_id in world.agents:
            if vm_id.startswith("a-"):
                world.kill_vm(vm_id, listed=False)
        world.run(3)
        for member_id in ROUTERS:
            places = set()
            for runner in world.routable(member_id).values():
                places.add(runner.data_centre)
            self.assertEqual({"b", "c"}, places)
        for vm_id in world.agents:
            if world.agents[vm_id].dead:
                world.return_vm(vm_id)
        world.run(15)
        self.assertEqual(6, len(world.routable("r1")))

    def test_domain_lost_while_its_data_centre_is_out(self) -> None:
        world = VmWorld(ROUTERS, domains={"a-1": 4, "b-1": 8}, replicas=2)
        world.run(15)
        world.put_data_centre("a", "out")
        for vm_id in world.agents:
            if vm_id.startswith("a-1"):
                world.kill_vm(vm_id, listed=False)
        world.run(20)
        self.assertEqual(2, len(world.routable("r1")))
        for runner in world.routable("r1").values():
            self.assertEqual("b", runner.data_centre)


class ProtectionTest(testtools.TestCase):
    """Each protection switched off makes its invariant breach."""

    def test_vm_is_not_reused_before_its_stop(self) -> None:
        world = VmWorld(
            ROUTERS,
            domains={"a-1": 5},
            replicas=1,
            protections=Protections(waits_for_stop=False),
        )
        world.run(10)
        world.kill_vm("a-1.00")
        with self.assertRaisesRegex(InvariantBreachError, "vm_in_one_group"):
            world.run(10)

    def test_group_with_some_vms_ready_does_not_serve(self) -> None:
        world = VmWorld(
            ROUTERS,
            domains={"a-1": 5},
            replicas=1,
            protections=Protections(confirms_all=False),
        )
        world.agents["a-1.02"].load_seconds = 5.0
        with self.assertRaisesRegex(InvariantBreachError, "group_whole"):
            world.run(12)

    def _late_load(
        self,
        *,
        protections: Protections | None = None,
        configured: bool,
        vms_check: bool,
    ) -> VmWorld:
        """A LOAD is still on its way when its group is given up."""
        world = VmWorld(
            ROUTERS,
            domains={"a-1": 5},
            replicas=1,
            checks_fencing=configured,
            protections=protections,
        )
        for agent in world.agents.values():
            agent.checks_fencing = vms_check
        world.load_delays_seconds["a-1.01"] = 4.5
        while not world.groups(GroupState.LOADING):
            world.run(0.1)
        world.run(1.0)
        world.load_delays_seconds.clear()
        world.kill_vm("a-1.00")
        world.run(20)
        return world

    def test_orders_in_flight_are_waited_out(self) -> None:
        world = self._late_load(configured=False, vms_check=False)
        self.assertEqual(1, len(world.groups()))

    def test_orders_in_flight_break_a_group_if_not_waited_out(self) -> None:
        with self.assertRaisesRegex(InvariantBreachError, "vm_in_one_group"):
            self._late_load(
                protections=Protections(waits_for_flight=False),
                configured=False,
                vms_check=False,
            )

    def test_fencing_numbers_stop_orders_in_flight(self) -> None:
        world = self._late_load(configured=True, vms_check=True)
        self.assertEqual(1, len(world.groups()))

    def test_orders_in_flight_break_a_group_without_fencing(self) -> None:
        with self.assertRaisesRegex(InvariantBreachError, "vm_in_one_group"):
            self._late_load(configured=True, vms_check=False)

    def test_leaving_runner_is_marked(self) -> None:
        world = VmWorld(
            ROUTERS, domains={"a-1": 5}, replicas=1, marks_leaving=False
        )
        world.run(10)
        world.set_state("a-1.00", VmState.LEAVING)
        with self.assertRaisesRegex(InvariantBreachError, "leaving_runner"):
            world.run(3)
