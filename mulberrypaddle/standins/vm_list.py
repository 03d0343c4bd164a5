"""The stand-in for the platform's lagging list of VMs."""

from __future__ import annotations

from mulberrypaddle.blackboard.intents import VmList
from mulberrypaddle.core.fleet import Vm, VmState


class VmListState:
    """Truth about VMs, shown with a lag.

    Attributes:
        lag_seconds: How late a change is shown.
        down: While true the list can't be read.
    """

    def __init__(self, *, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self.down = False
        self._visible: dict[str, Vm] = {}
        self._pending: list[tuple[float, Vm]] = []
        self._version = 1

    def put(self, vm: Vm, *, now_seconds: float) -> None:
        """Shows a VM, or its new state, after the lag."""
        self._pending.append((now_seconds + self.lag_seconds, vm))

    def change(self, vm_id: str, state: VmState, *, now_seconds: float) -> None:
        """Shows a new state of a known VM after the lag."""
        known = self._latest(vm_id)
        self.put(
            Vm(
                vm_id,
                address=known.address,
                data_centre=known.data_centre,
                fabric_domain=known.fabric_domain,
                accelerators=known.accelerators,
                state=state,
            ),
            now_seconds=now_seconds,
        )

    def read(self, known_version: int, *, now_seconds: float) -> VmList:
        """Returns the list as it is shown now."""
        self._publish_due_changes(now_seconds)
        if known_version == self._version:
            return VmList(self._version, None)
        vms = []
        for vm in self._visible.values():
            if vm.state is not VmState.GONE:
                vms.append(vm)
        return VmList(self._version, tuple(vms))

    def _latest(self, vm_id: str) -> Vm:
        for _, vm in reversed(self._pending):
            if vm.vm_id == vm_id:
                return vm
        return self._visible[vm_id]

    def _publish_due_changes(self, now_seconds: float) -> None:
        later = []
        for due_seconds, vm in self._pending:
            if due_seconds > now_seconds:
                later.append((due_seconds, vm))
                continue
            self._visible[vm.vm_id] = vm
            self._version += 1
        self._pending = later
