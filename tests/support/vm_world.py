"""Fake VMs with their list and weight store, behind a FakeFleet."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from mulberrypaddle.blackboard import (
    Intent,
    ReadVmReport,
    ReadVms,
    ReleaseWeightLoad,
    ReserveWeightLoad,
    SendVmOrder,
    VmOrder,
    keys,
)
from mulberrypaddle.blackboard.values import (
    Configuration,
    EarlierMembership,
    RunnerTable,
)
from mulberrypaddle.controllers import Controller
from mulberrypaddle.controllers.groups import group_controllers
from mulberrypaddle.controllers.groups.codec import PREFIX, decode_domain
from mulberrypaddle.controllers.groups.plan import Protections
from mulberrypaddle.controllers.runner_table import RunnerTableController
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.fleet import (
    DataCentreState,
    Runner,
    Service,
    ServiceKind,
    Vm,
    VmState,
)
from mulberrypaddle.core.groups import Domain, Group, GroupState
from mulberrypaddle.core.invariants import Invariant, check
from mulberrypaddle.standins.vm_agent import VmAgent
from mulberrypaddle.standins.vm_list import VmListState
from mulberrypaddle.standins.weight_store import WeightStoreState
from tests.support.fleet import FakeFleet
from tests.support.membership import FixedMembership

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers import Context
    from mulberrypaddle.node import Node

SERVICE = "hintmodel"


class _ConfigurationInForce(Controller):
    """Takes the world's configuration once a second."""

    name = "configuration"

    def __init__(self, context: Context, world: VmWorld) -> None:
        super().__init__(context)
        self._world = world
        self._next_seconds = 0.0

    def step(self, now_seconds: float) -> None:
        if now_seconds < self._next_seconds:
            return
        self._next_seconds = now_seconds + self.context.rng.uniform(0.5, 1.0)
        self.context.board.write(
            keys.CONFIGURATION,
            self._world.configuration,
            writer=self.name,
            now_seconds=now_seconds,
        )


class VmWorld:
    """Routers before VMs in fabric domains named `DATA_CENTRE-NUMBER`.

    Attributes:
        fleet: The routers.
        agents: VMs by id.
        list: The platform's list.
        weight_store_state: The weight store.
        late_share: Share of orders that arrive seconds late.
        late_seconds: Longest delay of a late order.
        load_delays_seconds: Delay of LOAD orders by VM id.
        configuration: In force on each router within a second.
        memberships: By member id.
        cut_off: Routers that hear of no change of members.
        epoch: Of the latest membership.
    """

    def __init__(
        self,
        member_ids: list[str],
        *,
        domains: dict[str, int],
        seed: int = 0,
        loss: float = 0.0,
        replicas: int = 3,
        vms_per_group: int = 4,
        checks_fencing: bool = True,
        list_lag_seconds: float = 0.0,
        slots: int = 4,
        load_seconds: float = 2.0,
        protections: Protections | None = None,
        marks_leaving: bool = True,
    ) -> None:
        self._member_ids = list(member_ids)
        self._protections = protections or Protections()
        self._marks_leaving = marks_leaving
        self._checks_fencing = checks_fencing
        self._vms_per_group = vms_per_group
        self._unsettled: tuple[EarlierMembership, ...] = ()
        self.memberships: dict[str, FixedMembership] = {}
        self.cut_off: set[str] = set()
        self._domains: dict[str, Domain] = {}
        self._domains_version = -1
        self.agents: dict[str, VmAgent] = {}
        self.list = VmListState(lag_seconds=list_lag_seconds)
        self.weight_store_state = WeightStoreState(slots=slots)
        self.late_share = 0.0
        self.late_seconds = 4.5
        self.load_delays_seconds: dict[str, float] = {}
        self.epoch = 1
        for domain, count in domains.items():
            for number in range(count):
                self._add_vm(domain, number, load_seconds)
        self._put({}, {})
        self.fleet = FakeFleet(member_ids, self._build, seed=seed, loss=loss)
        self.fleet.outside = self._outside
        self.put_service(SERVICE, replicas=replicas)

    def _add_vm(self, domain: str, number: int, load_seconds: float) -> None:
        vm_id = f"{domain}.{number:02d}"
        self.agents[vm_id] = VmAgent(
            vm_id,
            checks_fencing=self._checks_fencing,
            load_seconds=load_seconds,
        )
        vm = Vm(
            vm_id,
            address=vm_id,
            data_centre=domain.partition("-")[0],
            fabric_domain=domain,
        )
        self.list.put(vm, now_seconds=-1e9)

    def _build(self, context: Context) -> list[Controller]:
        membership = FixedMembership(context, self._member_ids)
        membership.adopt(
            self._member_ids, epoch=self.epoch, unsettled=self._unsettled
        )
        self.memberships[context.member_id] = membership
        return [
            membership,
            _ConfigurationInForce(context, self),
            *group_controllers(context, protections=self._protections),
            RunnerTableController(context, marks_leaving=self._marks_leaving),
        ]

    def put_service(
        self, name: str, *, replicas: int, value: int = 1, model: str = "m1"
    ) -> None:
        """Changes a service's configuration."""
        services = dict(self.configuration.services)
        services[name] = Service(
            name,
            kind=ServiceKind.ENGINE,
            model=model,
            replicas=replicas,
            vms_per_group=self._vms_per_group,
            value=value,
            checks_fencing=self._checks_fencing,
            version=services[name].version + 1 if name in services else 1,
        )
        self._put(services, self.configuration.data_centres)

    def remove_service(self, name: str, *, unreadable: bool = False) -> None:
        """Removes a service, or leaves an object that can't be read."""
        services = dict(self.configuration.services)
        del services[name]
        self._put(services, self.configuration.data_centres)
        if unreadable:
            self.configuration.versions[f"config/services/{name}"] = 9

    def put_data_centre(self, name: str, state: str) -> None:
        """Takes a data centre out or in."""
        data_centres = dict(self.configuration.data_centres)
        data_centres[name] = DataCentreState(state)
        self._put(self.configuration.services, data_centres)

    def _put(
        self,
        services: dict[str, Service],
        data_centres: dict[str, DataCentreState],
    ) -> None:
        self.configuration = Configuration(
            contracts={},
            services=services,
            data_centres=data_centres,
            versions={},
        )

    def run(
        self, duration_seconds: float, *, step_seconds: float = 0.05
    ) -> None:
        """Runs a while; what VMs execute is checked after every turn."""
        for _ in range(round(duration_seconds / step_seconds)):
            self.fleet.clock.advance(step_seconds)
            self.fleet.turn()
            self.check_vms()

    def run_unchecked(
        self, duration_seconds: float, *, step_seconds: float
    ) -> None:
        """Runs a while with the program's own checks alone."""
        for _ in range(round(duration_seconds / step_seconds)):
            self.fleet.clock.advance(step_seconds)
            self.fleet.turn()

    def change_members(self, member_ids: list[str]) -> None:
        """Tells every router that is not cut off the new members."""
        now_seconds = self.fleet.clock.monotonic_seconds()
        past = EarlierMembership(frozenset(self._member_ids), now_seconds + 6.0)
        self._unsettled = (*self._unsettled, past)
        self.epoch += 1
        self._member_ids = list(member_ids)
        for member_id in self.fleet.nodes:
            self._tell_members(member_id)

    def _tell_members(self, member_id: str) -> None:
        if member_id in self.cut_off:
            return
        membership = self.memberships[member_id]
        membership.renews = True
        membership.adopt(
            self._member_ids, epoch=self.epoch, unsettled=self._unsettled
        )

    def kill_router(self, member_id: str) -> None:
        """Ends a router without notice; the others agree on its loss."""
        self.fleet.kill(member_id)
        self.cut_off.discard(member_id)
        self._without(member_id)

    def _without(self, member_id: str) -> None:
        others = list(self._member_ids)
        if member_id in others:
            others.remove(member_id)
        self.change_members(others)

    def cut_router(self, member_id: str, *, paused: bool) -> None:
        """Pauses or partitions a router; its lease is renewed no more."""
        self.cut_off.add(member_id)
        self.memberships[member_id].renews = False
        if paused:
            self.fleet.paused.add(member_id)
        for other in self.fleet.nodes:
            self.fleet.cut.add(frozenset((member_id, other)))
        self._without(member_id)

    def heal_router(self, member_id: str) -> None:
        """Brings a router back into the membership."""
        self.cut_off.discard(member_id)
        self.fleet.paused.discard(member_id)
        for pair in list(self.fleet.cut):
            if member_id in pair:
                self.fleet.cut.discard(pair)
        if member_id not in self._member_ids:
            self.change_members([*self._member_ids, member_id])
        if member_id not in self.fleet.nodes:
            self.fleet.start(member_id)
        self._tell_members(member_id)

    def kill_vm(self, vm_id: str, *, listed: bool = True) -> None:
        """Ends a VM; the list shows it after its lag."""
        self.agents[vm_id].kill()
        if listed:
            self.set_state(vm_id, VmState.GONE)

    def return_vm(self, vm_id: str) -> None:
        """Brings a VM back, empty."""
        self.agents[vm_id].restart()
        self.agents[vm_id].unreachable = False
        self.set_state(vm_id, VmState.LIVE)

    def set_state(self, vm_id: str, state: VmState) -> None:
        """Changes a VM's state on the list."""
        now_seconds = self.fleet.clock.monotonic_seconds()
        self.list.change(vm_id, state, now_seconds=now_seconds)

    def domains(self) -> dict[str, Domain]:
        """Returns what the store holds, seen past any outage."""
        store = self.fleet.store
        if store.version == self._domains_version:
            return self._domains
        was_down = store.down
        store.down = False
        found = {}
        for stored in store.list(PREFIX).unwrap():
            name = stored.key.removeprefix(PREFIX)
            found[name] = decode_domain(name, stored.value)
        store.down = was_down
        self._domains = found
        self._domains_version = store.version
        return found

    def groups(self, state: GroupState = GroupState.SERVING) -> list[Group]:
        """Returns the stored groups in one state."""
        found = []
        for domain in self.domains().values():
            for group in domain.groups.values():
                if group.state is state:
                    found.append(group)
        return found

    def routable(self, member_id: str) -> dict[str, Runner]:
        """Returns the runners that a router may send new work to."""
        board = self.fleet.nodes[member_id].context.board
        table = board.latest(keys.RUNNERS, RunnerTable(runners={}, reports={}))
        found = {}
        for runner in table.runners.values():
            if not runner.leaving:
                found[runner.runner_id] = runner
        return found

    def check_vms(self) -> None:
        """Asserts that each VM executes only for the group that claims it."""
        for name, domain in self.domains().items():
            claims = {}
            for group in domain.groups.values():
                for vm_id in group.vm_ids:
                    claims[vm_id] = group
            for vm_id, agent in self.agents.items():
                if vm_id.partition(".")[0] != name or vm_id in domain.held:
                    continue
                if agent.generation == 0:
                    continue
                group_or_none = claims.get(vm_id)
                claimed = (
                    0 if group_or_none is None else group_or_none.generation
                )
                check(
                    agent.generation == claimed,
                    Invariant.VM_IN_ONE_GROUP,
                    f"{vm_id} executes for {agent.generation}, "
                    f"claimed by {claimed}",
                )

    def _outside(self, intent: Intent, node: Node) -> None:
        _answer(intent, self, node)

    def reply_later(self, node: Node, reply: Callable[[], None]) -> None:
        """Answers after a delay."""
        self.fleet.later(node, reply)


@functools.singledispatch
def _answer(intent: Intent, world: VmWorld, node: Node) -> None:
    raise TypeError(f"got {type(intent).__name__}")


@_answer.register(ReadVms)
def _read_vms(intent: ReadVms, world: VmWorld, node: Node) -> None:
    if world.list.down:
        problem = Problem(ErrorKind.STORE_UNAVAILABLE, "the list is down")
        world.reply_later(node, lambda: intent.reply(Failure(problem)))
        return
    now_seconds = world.fleet.clock.monotonic_seconds()
    listed = world.list.read(intent.known_version, now_seconds=now_seconds)
    world.reply_later(node, lambda: intent.reply(Success(listed)))


@_answer.register(ReadVmReport)
def _read_report(intent: ReadVmReport, world: VmWorld, node: Node) -> None:
    agent = world.agents[intent.vm_id]
    if agent.unresponsive:
        return
    now_seconds = world.fleet.clock.monotonic_seconds()
    report = agent.report(now_seconds, world.agents.get)
    world.reply_later(node, lambda: intent.reply(Success(report)))


@_answer.register(SendVmOrder)
def _order(intent: SendVmOrder, world: VmWorld, node: Node) -> None:
    agent = world.agents[intent.address]

    def arrive() -> None:
        if agent.unresponsive:
            return
        result = agent.execute_order(
            intent.order,
            generation=intent.generation,
            fencing=intent.fencing,
            vm_ids=intent.vm_ids,
            now_seconds=world.fleet.clock.monotonic_seconds(),
        )
        world.reply_later(node, lambda: intent.reply(result))

    delay_seconds = 0.0
    if intent.order is VmOrder.LOAD:
        delay_seconds = world.load_delays_seconds.get(agent.vm_id, 0.0)
    if world.fleet.rng.random() < world.late_share:
        delay_seconds = world.fleet.rng.uniform(0, world.late_seconds)
    # An order that is on its way arrives though its sender has ended.
    now_seconds = world.fleet.clock.monotonic_seconds()
    world.fleet.schedule(now_seconds + delay_seconds, None, arrive)


@_answer.register(ReserveWeightLoad)
def _reserve(intent: ReserveWeightLoad, world: VmWorld, node: Node) -> None:
    now_seconds = world.fleet.clock.monotonic_seconds()
    result = world.weight_store_state.reserve(
        intent.load_id, now_seconds=now_seconds
    )
    world.reply_later(node, lambda: intent.reply(result))


@_answer.register(ReleaseWeightLoad)
def _release(intent: ReleaseWeightLoad, world: VmWorld, node: Node) -> None:
    world.weight_store_state.release(intent.load_id)
