"""The next state of a fabric domain, from its stored state and evidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.groups.plan import Change, Protections, Wish
from mulberrypaddle.core.fleet import Service, Vm, VmState
from mulberrypaddle.core.groups import (
    Domain,
    Group,
    GroupState,
    check_vm_claims,
)
from mulberrypaddle.core.invariants import Invariant, check

if TYPE_CHECKING:
    from mulberrypaddle.controllers.groups.evidence import Evidence

DRAIN_SETTLE_SECONDS = 3.0
DRAIN_BOUND_SECONDS = 120.0
LOAD_BOUND_SECONDS = 1_800.0


class Evolution:
    """One step of a domain: reads the evidence, changes a copy.

    Attributes:
        domain: The copy, changed by `run`.
        changes: What was changed.
    """

    def __init__(
        self,
        domain: Domain,
        *,
        evidence: Evidence,
        vms: dict[str, Vm],
        services: dict[str, Service],
        fully_replicated_services: frozenset[str],
        unreadable: frozenset[str] = frozenset(),
        now_wall_seconds: float,
        protections: Protections,
    ) -> None:
        """Takes what the step rests on.

        Args:
            domain: Stored state.
            evidence: What the owner saw.
            vms: VMs of the domain on the platform's list.
            services: Engine services in force.
            fully_replicated_services: Services that have all the groups they
                want.
            unreadable: Services whose groups are left as they are.
            now_wall_seconds: Wall time.
            protections: All on but in tests.
        """
        self.domain = domain.copy()
        self.changes: list[Change] = []
        self._evidence = evidence
        self._vms = vms
        self._services = services
        self._surplus = fully_replicated_services
        self._unreadable = unreadable
        self._now_wall_seconds = now_wall_seconds
        self._protections = protections

    def run(self, wishes: list[Wish]) -> bool:
        """Returns whether the copy differs from the stored state."""
        released = self._release_held()
        for group_id in sorted(self.domain.groups):
            self._advance(self.domain.groups[group_id])
        for wish in wishes:
            self._take_wish(wish)
        for group in self._down_groups():
            self._form_again(group)
        check_vm_claims(self.domain)
        return released or bool(self.changes)

    def free_vms(self) -> list[Vm]:
        """Returns the live VMs that no group claims, in order of their ids."""
        claimed_vm_ids = self.domain.claimed_vm_ids()
        free = []
        for vm_id in sorted(self._vms):
            vm = self._vms[vm_id]
            if vm.state is not VmState.LIVE or vm_id in claimed_vm_ids:
                continue
            if vm_id in self._evidence.lost:
                continue
            free.append(vm)
        return free

    def _release_held(self) -> bool:
        released = False
        for vm_id, fencing in list(self.domain.held.items()):
            if not self._is_stopped(vm_id, fencing):
                continue
            del self.domain.held[vm_id]
            released = True
        return released

    def _is_stopped(self, vm_id: str, fencing: int) -> bool:
        if self._evidence.stopped.get(vm_id, 0) >= fencing:
            return True
        return vm_id in self._evidence.absent

    def _advance(self, group: Group) -> None:
        if group.state is GroupState.DOWN:
            return
        if group.state is GroupState.STOPPING:
            self._settle(group)
            return
        broken = self._broken_reason(group)
        if broken:
            self._stop(group, broken)
            return
        if group.state is GroupState.FORMING:
            if group.generation in self._evidence.granted:
                self._enter(group, GroupState.LOADING, "load_granted")
            return
        if group.state is GroupState.LOADING:
            self._serve_once_ready(group)
            return
        if group.state is GroupState.SERVING:
            self._drain_unfit(group)
            return
        self._stop_once_drained(group)

    def _broken_reason(self, group: Group) -> str:
        for vm_id in group.vm_ids:
            vm = self._vms.get(vm_id)
            if vm is None or vm.state is VmState.GONE:
                return f"vm_gone:{vm_id}"
            if vm_id in self._evidence.lost:
                return f"{self._evidence.lost[vm_id]}:{vm_id}"
            if vm.state is VmState.LEAVING and group.state in (
                GroupState.FORMING,
                GroupState.LOADING,
            ):
                return f"vm_leaving:{vm_id}"
        if group.state is GroupState.LOADING:
            loading_seconds = self._now_wall_seconds - group.since_seconds
            if loading_seconds > LOAD_BOUND_SECONDS:
                return "load_timeout"
        return ""

    def _serve_once_ready(self, group: Group) -> None:
        ready = []
        for vm_id in group.vm_ids:
            if self._evidence.ready.get(vm_id) == group.generation:
                ready.append(vm_id)
        if not ready:
            return
        if self._protections.confirms_all and len(ready) < len(group.vm_ids):
            return
        check(
            len(ready) == len(group.vm_ids),
            Invariant.GROUP_COMPLETE,
            f"{group.group_id} would serve with {len(ready)} of "
            f"{len(group.vm_ids)} VMs",
        )
        self._enter(group, GroupState.SERVING, "all_vms_ready")
        group.down_since_seconds = 0.0

    def _drain_unfit(self, group: Group) -> None:
        """Drains a group whose service ended or that loses a VM soon."""
        known = group.service in self._services
        if not known and group.service not in self._unreadable:
            group.retiring = True
            self._drain(group, "service_removed")
            return
        for vm_id in group.vm_ids:
            if self._vms[vm_id].state is VmState.LEAVING:
                self._drain(group, f"vm_leaving:{vm_id}")
                return

    def _drain(self, group: Group, reason: str) -> None:
        self._enter(group, GroupState.DRAINING, reason)
        group.down_since_seconds = self._now_wall_seconds

    def _stop_once_drained(self, group: Group) -> None:
        draining_seconds = self._now_wall_seconds - group.since_seconds
        if draining_seconds < DRAIN_SETTLE_SECONDS:
            return
        if group.generation in self._evidence.drained:
            self._stop(group, f"drained:{group.reason}")
            return
        if draining_seconds >= DRAIN_BOUND_SECONDS:
            self._stop(group, f"drain_bound:{group.reason}")

    def _stop(self, group: Group, reason: str) -> None:
        if group.down_since_seconds == 0.0:
            group.down_since_seconds = self._now_wall_seconds
        group.fencing = self.domain.issue_number()
        self._enter(group, GroupState.STOPPING, reason)

    def _settle(self, group: Group) -> None:
        """Frees the VMs that stopped and holds those that may not have."""
        held = []
        for vm_id in group.vm_ids:
            if self._is_stopped(vm_id, group.fencing):
                continue
            vm = self._vms.get(vm_id)
            gone = vm is None or vm.state is VmState.GONE
            if gone or vm_id in self._evidence.lost:
                held.append(vm_id)
                continue
            if self._protections.waits_for_stop:
                return
        for vm_id in held:
            if self._protections.waits_for_stop:
                self.domain.held[vm_id] = group.fencing
        group.vm_ids = ()
        self._enter(group, GroupState.DOWN, group.reason)

    def _take_wish(self, wish: Wish) -> None:
        for service_name in wish.form:
            service = self._services.get(service_name)
            if service is None:
                continue
            group = Group(
                f"{service_name}.{self.domain.name}.{self.domain.counter + 1}",
                service=service_name,
                model=service.model,
                generation=0,
                fencing=0,
                vm_ids=(),
                state=GroupState.DOWN,
                reason=wish.reason,
                since_seconds=self._now_wall_seconds,
                down_since_seconds=self._now_wall_seconds,
            )
            if self._form(group, service):
                self.domain.groups[group.group_id] = group
        group_to_drain = self.domain.groups.get(wish.drain)
        if group_to_drain is None:
            return
        if group_to_drain.state is GroupState.SERVING:
            group_to_drain.retiring = wish.retire
            self._drain(group_to_drain, wish.reason)

    def _down_groups(self) -> list[Group]:
        down = []
        for group in self.domain.groups.values():
            if group.state is GroupState.DOWN:
                down.append(group)
        down.sort(key=self._form_order)
        return down

    def _form_order(self, group: Group) -> tuple[float, float, str]:
        service = self._services.get(group.service)
        value = 0 if service is None else service.value
        return (-value, group.down_since_seconds, group.group_id)

    def _form_again(self, group: Group) -> None:
        if group.service in self._unreadable:
            return
        service = self._services.get(group.service)
        unwanted = group.retiring or group.service in self._surplus
        if service is None or unwanted:
            del self.domain.groups[group.group_id]
            self.changes.append(
                Change(group.group_id, "retired", "not_wanted", ())
            )
            return
        self._form(group, service)

    def _form(self, group: Group, service: Service) -> bool:
        free = self.free_vms()
        if len(free) < service.vms_per_group:
            return False
        vm_ids = []
        for vm in free[: service.vms_per_group]:
            vm_ids.append(vm.vm_id)
            check(
                vm.vm_id not in self._evidence.executing,
                Invariant.VM_IN_ONE_GROUP,
                f"{vm.vm_id} is to join {group.group_id} while it may execute "
                f"for {self._evidence.executing.get(vm.vm_id)}",
            )
        group.vm_ids = tuple(vm_ids)
        group.model = service.model
        group.generation = self.domain.issue_number()
        group.fencing = group.generation
        self._enter(group, GroupState.FORMING, group.reason)
        return True

    def _enter(self, group: Group, state: GroupState, reason: str) -> None:
        group.state = state
        group.since_seconds = self._now_wall_seconds
        if state is not GroupState.LOADING:
            group.reason = reason
        self.changes.append(
            Change(group.group_id, state.value, reason, group.vm_ids)
        )
