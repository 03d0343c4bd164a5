"""Orders and polls to the VMs of one fabric domain, one call a VM at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ReadVmReport, SendVmOrder, VmOrder
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.groups import Group, GroupState, VmPhase, VmReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.blackboard import Board
    from mulberrypaddle.controllers.groups.evidence import Evidence
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import Vm

CALL_TIMEOUT_SECONDS = 1.0
CALL_INTERVAL_SECONDS = 1.0
LOST_AFTER_SECONDS = 1.5
RETRY_LOST_SECONDS = 10.0
_IN_SERVICE = frozenset({GroupState.SERVING, GroupState.DRAINING})
# Longest time after which an order that was sent can still arrive.
ORDER_FLIGHT_SECONDS = 5.0


class _VmContact:
    """The call in progress to one VM and its failures in a row."""

    __slots__ = (
        "call_number",
        "calling",
        "failed_since_seconds",
        "failures",
        "last_load_seconds",
        "loaded_generation",
        "missing_since_seconds",
        "next_call_seconds",
        "sent_at_seconds",
    )

    def __init__(self) -> None:
        self.call_number = 0
        self.calling = False
        self.failures = 0
        self.failed_since_seconds = 0.0
        self.last_load_seconds = float("-inf")
        self.loaded_generation = 0
        self.missing_since_seconds: float | None = None
        self.next_call_seconds = 0.0
        self.sent_at_seconds = 0.0


class Contacts:
    """Speaks to VMs on behalf of the owner and keeps the evidence."""

    def __init__(
        self,
        board: Board,
        evidence: Evidence,
        *,
        clock: Callable[[], float],
        lease: Callable[[], float],
        quiet_from_seconds: float,
    ) -> None:
        """Takes where calls go and where evidence is kept.

        Args:
            board: Takes the intents.
            evidence: Written with every answer.
            clock: Returns monotonic seconds.
            lease: Returns when this router's lease lapses.
            quiet_from_seconds: Time from which no order of an earlier owner
                can still arrive.
        """
        self._board = board
        self._evidence = evidence
        self._clock = clock
        self._lease = lease
        self._quiet_from_seconds = quiet_from_seconds
        self._contacts: dict[str, _VmContact] = {}

    def load(self, vm: Vm, group: Group, now_seconds: float) -> None:
        """Orders a VM to load its group's model, or asks whether it has."""
        contact = self._contact(vm.vm_id)
        if contact.loaded_generation == group.generation:
            self.poll(vm, group, now_seconds)
            return
        if not self._begin(vm, contact, now_seconds):
            return
        contact.last_load_seconds = now_seconds
        self._evidence.note_load(vm.vm_id, group.generation)
        number = contact.call_number

        def answered(result: Result[int, Problem]) -> None:
            self._end(vm.vm_id, number, result)
            if isinstance(result, Success):
                contact.loaded_generation = result.unwrap()

        self._order(vm, VmOrder.LOAD, group, group.fencing, answered)

    def stop(
        self,
        vm: Vm,
        group: Group | None,
        *,
        fencing: int,
        waits_for_flight: bool,
        now_seconds: float,
    ) -> None:
        """Orders a VM to stop whatever it executes.

        Args:
            vm: The VM.
            group: Group that it leaves, or None for a held VM.
            fencing: Fencing number of the order.
            waits_for_flight: Whether the confirmation counts only once no
                earlier order can still arrive.
            now_seconds: Monotonic time.
        """
        contact = self._contact(vm.vm_id)
        if not self._begin(vm, contact, now_seconds):
            return
        contact.loaded_generation = 0
        contact.missing_since_seconds = None
        number = contact.call_number
        quiet_seconds = max(
            self._quiet_from_seconds,
            contact.last_load_seconds + ORDER_FLIGHT_SECONDS,
        )
        counts = not waits_for_flight or now_seconds >= quiet_seconds

        def answered(result: Result[int, Problem]) -> None:
            self._end(vm.vm_id, number, result)
            if isinstance(result, Success) and counts:
                self._evidence.note_stop(vm.vm_id, fencing)

        self._order(vm, VmOrder.STOP, group, fencing, answered)

    def poll(self, vm: Vm, group: Group, now_seconds: float) -> None:
        """Asks a VM which generation it executes for."""
        contact = self._contact(vm.vm_id)
        if not self._begin(vm, contact, now_seconds):
            return
        number = contact.call_number

        def answered(result: Result[VmReport, Problem]) -> None:
            self._end(vm.vm_id, number, result)
            if isinstance(result, Success):
                self._take_report(result.unwrap(), group)

        self._board.intents.append(
            ReadVmReport(vm.vm_id, address=vm.address, reply=answered)
        )

    def is_suspect(self, vm_id: str) -> bool:
        """Returns whether a VM failed its last call or its lead misses it."""
        contact = self._contact(vm_id)
        return contact.failures > 0 or contact.missing_since_seconds is not None

    def judge(self, vm_id: str, now_seconds: float) -> None:
        """Notes a VM as lost once it has been silent for long enough."""
        contact = self._contact(vm_id)
        if contact.calling:
            waited_seconds = now_seconds - contact.sent_at_seconds
            if waited_seconds >= CALL_TIMEOUT_SECONDS:
                self._fail(contact)
        if contact.failures >= 2:
            silent_seconds = now_seconds - contact.failed_since_seconds
            if silent_seconds >= LOST_AFTER_SECONDS:
                self._evidence.lost[vm_id] = "vm_silent"
        since_seconds = contact.missing_since_seconds
        if since_seconds is None:
            return
        if now_seconds - since_seconds >= 2 * LOST_AFTER_SECONDS:
            self._evidence.lost[vm_id] = "vm_unconfirmed"

    def retry_lost(self, vm_id: str, now_seconds: float) -> None:
        """Lets a lost VM that nothing claims be tried again after a while."""
        contact = self._contact(vm_id)
        if now_seconds - contact.failed_since_seconds < RETRY_LOST_SECONDS:
            return
        contact.failures = 0
        contact.missing_since_seconds = None
        self._evidence.lost.pop(vm_id, None)

    def _take_report(self, report: VmReport, group: Group) -> None:
        vm_id = report.vm_id
        ready = report.phase is VmPhase.READY
        if report.generation != group.generation:
            self._contact(vm_id).loaded_generation = 0
            self._evidence.ready.pop(vm_id, None)
            ready = False
        if not ready:
            if group.state in _IN_SERVICE:
                self._evidence.lost[vm_id] = "vm_restarted"
            return
        self._evidence.ready[vm_id] = report.generation
        self._evidence.executing[vm_id] = report.generation
        if vm_id == group.vm_ids[0]:
            self._take_lead_report(report, group)

    def _take_lead_report(self, report: VmReport, group: Group) -> None:
        now_seconds = self._clock()
        for member_id in group.vm_ids:
            contact = self._contact(member_id)
            if member_id in report.member_vm_ids:
                contact.missing_since_seconds = None
                continue
            if contact.missing_since_seconds is None:
                contact.missing_since_seconds = now_seconds
        whole = set(group.vm_ids) <= set(report.member_vm_ids)
        if whole and report.running_requests == 0:
            self._evidence.drained.add(group.generation)
            return
        self._evidence.drained.discard(group.generation)

    def _contact(self, vm_id: str) -> _VmContact:
        contact = self._contacts.get(vm_id)
        if contact is None:
            contact = _VmContact()
            self._contacts[vm_id] = contact
        return contact

    def _begin(self, vm: Vm, contact: _VmContact, now_seconds: float) -> bool:
        if contact.calling or now_seconds < contact.next_call_seconds:
            return False
        contact.calling = True
        contact.call_number += 1
        contact.sent_at_seconds = now_seconds
        contact.next_call_seconds = now_seconds + CALL_INTERVAL_SECONDS
        return True

    def _end(
        self, vm_id: str, number: int, result: Result[object, Problem]
    ) -> None:
        contact = self._contact(vm_id)
        if contact.call_number != number:
            return
        if not _answered(result):
            if contact.calling:
                self._fail(contact)
            return
        contact.calling = False
        contact.failures = 0
        self._evidence.lost.pop(vm_id, None)

    def _fail(self, contact: _VmContact) -> None:
        if contact.failures == 0:
            contact.failed_since_seconds = contact.sent_at_seconds
        contact.calling = False
        contact.failures += 1
        contact.next_call_seconds = 0.0

    def _order(
        self,
        vm: Vm,
        order: VmOrder,
        group: Group | None,
        fencing: int,
        reply: Callable[[Result[int, Problem]], None],
    ) -> None:
        self._board.intents.append(
            SendVmOrder(
                vm.address,
                order,
                group_id="" if group is None else group.group_id,
                generation=0 if group is None else group.generation,
                fencing=fencing,
                argument="" if group is None else group.model,
                vm_ids=() if group is None else group.vm_ids,
                valid_until_seconds=self._lease(),
                reply=reply,
            )
        )


def _answered(result: Result[object, Problem]) -> bool:
    """Returns whether the VM spoke at all; a refusal is an answer."""
    if isinstance(result, Success):
        return True
    return result.failure().kind is ErrorKind.RUNNER_REFUSED
