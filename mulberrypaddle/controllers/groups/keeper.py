"""The owner's hold on one fabric domain: read back, decide, write, order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import Priority, ReadObject, WriteObject, keys
from mulberrypaddle.controllers.duties import may_act, membership
from mulberrypaddle.controllers.groups.codec import (
    PREFIX,
    decode_domain,
    encode_domain,
)
from mulberrypaddle.controllers.groups.contact import (
    ORDER_FLIGHT_SECONDS,
    Contacts,
)
from mulberrypaddle.controllers.groups.evidence import Evidence
from mulberrypaddle.controllers.groups.evolve import (
    Change,
    Evolution,
    Protections,
    Wish,
)
from mulberrypaddle.core.fleet import Service, ServiceKind, Vm, VmState
from mulberrypaddle.core.groups import (
    Domain,
    Group,
    GroupState,
    StoredDomain,
    check_claims,
)
from mulberrypaddle.core.ownership import Duty

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.groups.fleet_view import FleetView
    from mulberrypaddle.core.errors import Problem

RETRY_SECONDS = 1.0
# A VM that a fresh list has not named for this long executes nothing.
GONE_SECONDS = 30.0
LIST_FRESH_SECONDS = 10.0


class DomainKeeper:
    """Acts on one fabric domain while this router owns it.

    Attributes:
        name: The fabric domain.
        duty: The duty whose owner may act.
        stored: State as last read or written, or None before.
        suspects: Generations that look broken, ahead of the write.
    """

    def __init__(
        self,
        name: str,
        *,
        context: Context,
        learn: Callable[[StoredDomain], None],
        protections: Protections,
    ) -> None:
        """Takes the domain and where its stored states go.

        Args:
            name: The fabric domain.
            context: This router's context.
            learn: Called with every state read or written.
            protections: All on but in tests.
        """
        self.name = name
        self.duty = Duty("fabric_domain", name)
        self.stored: StoredDomain | None = None
        self.suspects: set[int] = set()
        self.evidence = Evidence()
        self._context = context
        self._learn = learn
        self._protections = protections
        self._contacts = self._new_contacts()
        self._taken_over = False
        self._must_read = True
        self._waiting = False
        self._turn = 0
        self._writes = 0
        self._next_call_seconds = 0.0
        self._wishes: list[Wish] = []
        self._absent_since: dict[str, float] = {}

    def reset(self) -> None:
        """Forgets everything; the state is read back before the next act."""
        self.stored = None
        self.suspects = set()
        self.evidence = Evidence()
        self._contacts = self._new_contacts()
        self._taken_over = False
        self._must_read = True
        self._waiting = False
        self._turn += 1
        self._wishes = []
        self._absent_since = {}

    def wish(self, wish: Wish) -> None:
        """Takes what placement asks for; it is dropped if out of date."""
        if self.stored is None or self._waiting:
            return
        if wish.expected_version == self.stored.version:
            self._wishes.append(wish)

    def step(self, view: FleetView) -> None:
        """Acts once on the stored state.

        Args:
            view: The fleet.
        """
        vms = view.domain_vms.get(self.name, {})
        now_seconds = self._context.now_seconds()
        acts = may_act(self._context, self.duty, now_seconds)
        if not acts:
            # It may still watch: taking a group out of service is safe.
            self._must_read = True
        elif self._must_read:
            self._read(now_seconds)
        if self.stored is None:
            return
        self._note_absent(now_seconds)
        self._judge(now_seconds)
        if self._must_read:
            self._watch(vms, now_seconds)
            return
        if not self._waiting and now_seconds >= self._next_call_seconds:
            self._evolve(view, vms, now_seconds)
        if self._taken_over:
            self._speak(vms, view.engine_services(), now_seconds)

    def waiting_for_load(self) -> list[Group]:
        """Returns the groups whose turn at the weight store must come."""
        return self._groups_in(GroupState.FORMING)

    def _groups_in(self, state: GroupState) -> list[Group]:
        if self.stored is None or not self._taken_over:
            return []
        found = []
        for group in self.stored.domain.groups.values():
            if group.state is state:
                found.append(group)
        return found

    def _new_contacts(self) -> Contacts:
        return Contacts(
            self._context.board,
            self.evidence,
            clock=self._context.now_seconds,
            lease=lambda: membership(self._context).lease_until_seconds,
            quiet_from_seconds=self._context.now_seconds()
            + ORDER_FLIGHT_SECONDS,
        )

    def _read(self, now_seconds: float) -> None:
        if self._waiting or now_seconds < self._next_call_seconds:
            return
        self._waiting = True
        self._turn += 1
        turn = self._turn

        def answered(result: Result[StoredObject, Problem]) -> None:
            if turn != self._turn:
                return
            self._waiting = False
            if not isinstance(result, Success):
                self._back_off()
                return
            self._adopt(result.unwrap())

        self._context.board.intents.append(
            ReadObject(
                PREFIX + self.name, priority=Priority.FENCING, reply=answered
            )
        )

    def _adopt(self, stored: StoredObject) -> None:
        """Takes the stored state as the only truth to act on."""
        domain = decode_domain(self.name, stored.value)
        check_claims(domain)
        writer = domain.write_id.rpartition("/")[0]
        ours = stored.version == 0 or writer == self._writer()
        if self.stored is None or not ours:
            self.evidence = Evidence()
            self._contacts = self._new_contacts()
        self.stored = StoredDomain(domain, stored.version, stored.value)
        self._taken_over = ours
        self._must_read = False
        self._learn(self.stored)

    def _writer(self) -> str:
        return f"{self._context.member_id}/{self._context.incarnation}"

    def _evolve(
        self, view: FleetView, vms: dict[str, Vm], now_seconds: float
    ) -> None:
        stored = self.stored
        if stored is None:
            return
        if not self._taken_over:
            self._take_over(stored, now_seconds)
            return
        evolution = Evolution(
            stored.domain,
            evidence=self.evidence,
            vms=vms,
            services=view.engine_services(),
            surplus=view.surplus(),
            unreadable=view.unreadable,
            now_wall_seconds=self._context.clock.wall_seconds(),
            protections=self._protections,
        )
        wishes = self._wishes
        self._wishes = []
        if evolution.run(wishes):
            self._write(evolution.domain, evolution.changes, now_seconds)

    def _take_over(self, stored: StoredDomain, now_seconds: float) -> None:
        """Raises the fencing number before the first order as owner."""
        if stored.domain.epoch > membership(self._context).epoch:
            self._must_read = True
            self._next_call_seconds = now_seconds + RETRY_SECONDS
            return
        domain = stored.domain.copy()
        domain.next_number()
        for group in domain.groups.values():
            if group.state is GroupState.STOPPING:
                group.fencing = domain.counter
        self._write(domain, [], now_seconds)

    def _write(
        self, domain: Domain, changes: list[Change], now_seconds: float
    ) -> None:
        if self.stored is None:
            return
        self._writes += 1
        domain.epoch = membership(self._context).epoch
        domain.write_id = f"{self._writer()}/{self._writes}"
        value = encode_domain(domain)
        if not may_act(self._context, self.duty, now_seconds):
            return
        self._waiting = True
        self._turn += 1
        turn = self._turn

        def answered(result: Result[StoredObject, Problem]) -> None:
            if turn != self._turn:
                return
            self._waiting = False
            if not isinstance(result, Success):
                # The write may have happened, or another owner wrote: only
                # what is read back is acted on.
                self._must_read = True
                self._back_off()
                return
            self._taken_over = True
            self.stored = StoredDomain(domain, result.unwrap().version, value)
            self._log(changes)
            self._learn(self.stored)

        self._context.board.intents.append(
            WriteObject(
                PREFIX + self.name,
                value,
                expected_version=self.stored.version,
                priority=Priority.FENCING,
                reply=answered,
            )
        )

    def _back_off(self) -> None:
        wait_seconds = RETRY_SECONDS * self._context.rng.uniform(0.2, 1.0)
        self._next_call_seconds = self._context.now_seconds() + wait_seconds

    def _log(self, changes: list[Change]) -> None:
        for change in changes:
            self._context.decide(
                "placement",
                subject=change.group_id,
                outcome=change.outcome,
                reason=change.reason,
                fabric_domain=self.name,
                vms=",".join(change.vm_ids),
            )

    def _note_absent(self, now_seconds: float) -> None:
        """Notes held VMs that a fresh list has not named for long enough."""
        table = self._context.board.read(
            keys.VMS,
            max_age_seconds=LIST_FRESH_SECONDS,
            now_seconds=now_seconds,
        )
        if table is None or self.stored is None:
            self._absent_since = {}
            return
        self.evidence.absent = set()
        for vm_id in self.stored.domain.claimed():
            vm = table.vms.get(vm_id)
            if vm is not None and vm.state is not VmState.GONE:
                self._absent_since.pop(vm_id, None)
                continue
            since_seconds = self._absent_since.setdefault(vm_id, now_seconds)
            if now_seconds - since_seconds >= GONE_SECONDS:
                self.evidence.absent.add(vm_id)
                self.evidence.executing.pop(vm_id, None)

    def _judge(self, now_seconds: float) -> None:
        """Weighs silence, and marks generations that look broken."""
        self.suspects = set()
        if self.stored is None:
            return
        domain = self.stored.domain
        claimed = domain.claimed()
        for vm_id in claimed:
            self._contacts.judge(vm_id, now_seconds)
        for group in domain.groups.values():
            if group.state not in (GroupState.SERVING, GroupState.DRAINING):
                continue
            for vm_id in group.vm_ids:
                lost = vm_id in self.evidence.lost
                if lost or self._contacts.is_suspect(vm_id):
                    self.suspects.add(group.generation)
        for vm_id in list(self.evidence.lost):
            if vm_id not in claimed:
                self._contacts.retry_lost(vm_id, now_seconds)

    def _speak(
        self,
        vms: dict[str, Vm],
        services: dict[str, Service],
        now_seconds: float,
    ) -> None:
        """Sends the orders and polls that the stored state calls for."""
        if self.stored is None:
            return
        domain = self.stored.domain
        for group in domain.groups.values():
            service = services.get(group.service)
            checks_fencing = service is not None and service.checks_fencing
            self._speak_to_group(vms, group, checks_fencing, now_seconds)
        for vm_id in domain.held:
            vm = vms.get(vm_id)
            if vm is None:
                continue
            self._contacts.stop(
                vm,
                None,
                fencing=domain.counter,
                waits_for_flight=self._waits(_all_check(services)),
                now_seconds=now_seconds,
            )

    def _watch(self, vms: dict[str, Vm], now_seconds: float) -> None:
        """Polls groups in service without giving an order."""
        if self.stored is None:
            return
        for group in self.stored.domain.groups.values():
            if group.state in (GroupState.SERVING, GroupState.DRAINING):
                self._poll_group(vms, group, now_seconds)

    def _poll_group(
        self, vms: dict[str, Vm], group: Group, now_seconds: float
    ) -> None:
        """Polls the lead, which tells who confirms, and who is missing."""
        for index, vm_id in enumerate(group.vm_ids):
            vm = vms.get(vm_id)
            if vm is None or vm.state is VmState.GONE:
                continue
            if index == 0 or self._contacts.is_suspect(vm_id):
                self._contacts.poll(vm, group, now_seconds)

    def _speak_to_group(
        self,
        vms: dict[str, Vm],
        group: Group,
        checks_fencing: bool,
        now_seconds: float,
    ) -> None:
        if group.state is GroupState.FORMING:
            return
        if group.state in (GroupState.SERVING, GroupState.DRAINING):
            self._poll_group(vms, group, now_seconds)
            return
        for vm_id in group.vm_ids:
            vm = vms.get(vm_id)
            if vm is None or vm.state is VmState.GONE:
                continue
            if group.state is GroupState.LOADING:
                self._contacts.load(vm, group, now_seconds)
                continue
            if self.evidence.stopped.get(vm_id, 0) >= group.fencing:
                continue
            self._contacts.stop(
                vm,
                group,
                fencing=group.fencing,
                waits_for_flight=self._waits(checks_fencing),
                now_seconds=now_seconds,
            )

    def _waits(self, checks_fencing: bool) -> bool:
        return self._protections.waits_for_flight and not checks_fencing


def _all_check(services: dict[str, Service]) -> bool:
    """Returns whether every engine service checks fencing numbers."""
    for service in services.values():
        if service.kind is not ServiceKind.ENGINE:
            continue
        if not service.checks_fencing:
            return False
    return True
