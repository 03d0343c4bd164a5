"""Two failures at once."""

from __future__ import annotations

import testtools

from mulberrypaddle.controllers.groups.load_queue import LOAD_QUEUE
from mulberrypaddle.core.groups import GroupState
from mulberrypaddle.core.rendezvous import Duty, owner_of
from tests.support.vm_world import VmWorld

ROUTERS = ["r1", "r2", "r3", "r4"]
DOMAIN = Duty("fabric_domain", "a-1")


class PairsTest(testtools.TestCase):
    """Each pair ends with one whole group and no breach on the way."""

    def setUp(self) -> None:
        super().setUp()
        self.owner = str(owner_of(DOMAIN, ROUTERS))

    def _world(self, *, checks_fencing: bool = True) -> VmWorld:
        return VmWorld(
            ROUTERS,
            domains={"a-1": 5},
            replicas=1,
            checks_fencing=checks_fencing,
        )

    def _assert_whole(self, world: VmWorld) -> None:
        (group,) = world.groups()
        for vm_id in group.vm_ids:
            self.assertEqual(group.generation, world.agents[vm_id].generation)
        for member_id in world.fleet.nodes:
            self.assertEqual(1, len(world.routable(member_id)))

    def test_owner_lost_while_its_group_loads_and_a_vm_dies(self) -> None:
        for checks_fencing in (True, False):
            world = self._world(checks_fencing=checks_fencing)
            while not world.groups(GroupState.LOADING):
                world.run(0.1)
            world.run(0.5)
            world.kill_router(self.owner)
            world.kill_vm("a-1.02", listed=False)
            world.run(45)
            self._assert_whole(world)

    def test_owner_paused_past_its_lease_while_a_vm_dies(self) -> None:
        for checks_fencing in (True, False):
            world = self._world(checks_fencing=checks_fencing)
            world.run(10)
            world.cut_router(self.owner, paused=True)
            world.kill_vm("a-1.02", listed=False)
            world.run(45)
            world.heal_router(self.owner)
            world.run(20)
            self._assert_whole(world)

    def test_owner_partitioned_while_the_store_fails(self) -> None:
        world = self._world()
        world.run(10)
        world.fleet.store.down = True
        world.cut_router(self.owner, paused=False)
        world.kill_vm("a-1.02", listed=False)
        world.run(20)
        world.fleet.store.down = False
        world.heal_router(self.owner)
        world.run(45)
        self._assert_whole(world)

    def test_queue_owner_lost_while_a_load_waits(self) -> None:
        world = self._world()
        world.weight_store_state.slots = 0
        while not world.groups(GroupState.FORMING):
            world.run(0.1)
        world.run(2)
        world.kill_router(str(owner_of(LOAD_QUEUE, ROUTERS)))
        world.weight_store_state.slots = 1
        world.run(30)
        self._assert_whole(world)
        self.assertEqual({}, world.weight_store_state.reserved)

    def test_vm_dies_while_the_list_is_down(self) -> None:
        world = self._world()
        world.run(10)
        world.list.down = True
        world.kill_vm("a-1.02")
        world.run(60)
        self._assert_whole(world)
        self.assertIn("a-1.02", world.domains()["a-1"].held)
