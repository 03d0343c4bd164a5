"""What the owner of a fabric domain sees of its VMs and tells them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers.duties import membership
from mulberrypaddle.controllers.groups.contact import (
    ORDER_FLIGHT_SECONDS,
    Contacts,
)
from mulberrypaddle.controllers.groups.evidence import Evidence
from mulberrypaddle.core.fleet import Service, ServiceKind, Vm, VmState
from mulberrypaddle.core.groups import Domain, Group, GroupState

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.groups.plan import Protections

# A VM that a fresh list has not named for this long executes nothing.
GONE_SECONDS = 30.0
LIST_FRESH_SECONDS = 10.0


class Attention:
    """Polls and orders to one domain's VMs, and the evidence from them.

    Attributes:
        evidence: What was seen.
        suspects: Generations that look broken, ahead of the write.
    """

    def __init__(self, context: Context, *, protections: Protections) -> None:
        self._context = context
        self._protections = protections
        self.reset()

    def reset(self) -> None:
        """Forgets everything; orders sent up to now may still arrive."""
        self.evidence = Evidence()
        self.suspects: set[int] = set()
        self._absent_since: dict[str, float] = {}
        self._contacts = Contacts(
            self._context.board,
            self.evidence,
            clock=self._context.now_seconds,
            lease=lambda: membership(self._context).lease_until_seconds,
            quiet_from_seconds=self._context.now_seconds()
            + ORDER_FLIGHT_SECONDS,
        )

    def _note_absent(self, domain: Domain, now_seconds: float) -> None:
        """Notes held VMs that a fresh list has not named for long enough."""
        table = self._context.board.read(
            keys.VMS,
            max_age_seconds=LIST_FRESH_SECONDS,
            now_seconds=now_seconds,
        )
        if table is None:
            self._absent_since = {}
            return
        self.evidence.absent = set()
        for vm_id in domain.claimed_vm_ids():
            vm = table.vms.get(vm_id)
            if vm is not None and vm.state is not VmState.GONE:
                self._absent_since.pop(vm_id, None)
                continue
            since_seconds = self._absent_since.setdefault(vm_id, now_seconds)
            if now_seconds - since_seconds >= GONE_SECONDS:
                self.evidence.absent.add(vm_id)
                self.evidence.executing.pop(vm_id, None)

    def judge(self, domain: Domain, now_seconds: float) -> None:
        """Weighs silence, and marks generations that look broken.

        Args:
            domain: Stored state.
            now_seconds: Monotonic time.
        """
        self._note_absent(domain, now_seconds)
        self.suspects = set()
        claimed_vm_ids = domain.claimed_vm_ids()
        for vm_id in claimed_vm_ids:
            self._contacts.judge(vm_id, now_seconds)
        for group in domain.groups.values():
            if group.state not in (GroupState.SERVING, GroupState.DRAINING):
                continue
            for vm_id in group.vm_ids:
                lost = vm_id in self.evidence.lost
                if lost or self._contacts.is_suspect(vm_id):
                    self.suspects.add(group.generation)
        for vm_id in list(self.evidence.lost):
            if vm_id not in claimed_vm_ids:
                self._contacts.retry_lost(vm_id, now_seconds)

    def speak(
        self,
        domain: Domain,
        vms: dict[str, Vm],
        services: dict[str, Service],
        now_seconds: float,
    ) -> None:
        """Sends the orders and polls that the stored state calls for.

        Args:
            domain: Stored state, which this router may act on.
            vms: VMs of the domain on the platform's list.
            services: Engine services in force.
            now_seconds: Monotonic time.
        """
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

    def watch(
        self, domain: Domain, vms: dict[str, Vm], now_seconds: float
    ) -> None:
        """Polls groups in service without giving an order."""
        for group in domain.groups.values():
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
