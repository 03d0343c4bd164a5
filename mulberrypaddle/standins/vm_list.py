"""Stand-in for the platform's VM list, which shows changes with a lag."""

from __future__ import annotations

from mulberrypaddle.blackboard.intents import VmList
from mulberrypaddle.core.fleet import Vm, VmState


class VmListState:
    """List of VMs whose changes become visible after a delay.

    Attributes:
        lag_seconds: Delay until a change becomes visible.
        down: While true, the list can't be read.
    """

    def __init__(self, *, lag_seconds: float = 0.0) -> None:
        self.lag_seconds = lag_seconds
        self.down = False
        self._visible: dict[str, Vm] = {}
        self._pending: list[tuple[float, Vm]] = []
        self._version = 1

    def put(self, vm: Vm, *, now_seconds: float) -> None:
        """Adds or replaces a VM; the change is visible after the lag."""
        self._pending.append((now_seconds + self.lag_seconds, vm))

    def change(self, vm_id: str, state: VmState, *, now_seconds: float) -> None:
        """Changes the state of a listed VM; visible after the lag."""
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
        """Returns the list as visible now.

        Args:
            known_version: Version that the reader has already; if it is
                still current, no VMs are returned.
            now_seconds: Monotonic time.
        """
        self._publish_due_changes(now_seconds)
        if known_version == self._version:
            return VmList(self._version, None)
        vms = []
        for vm in self._visible.values():
            if vm.state is not VmState.GONE:
                vms.append(vm)
        return VmList(self._version, tuple(vms))

    def _latest(self, vm_id: str) -> Vm:
        """Returns the latest entry of a VM, visible or pending."""
        for _, vm in reversed(self._pending):
            if vm.vm_id == vm_id:
                return vm
        return self._visible[vm_id]

    def _publish_due_changes(self, now_seconds: float) -> None:
        """Makes pending changes visible whose lag has passed."""
        later = []
        for due_seconds, vm in self._pending:
            if due_seconds > now_seconds:
                later.append((due_seconds, vm))
                continue
            self._visible[vm.vm_id] = vm
            self._version += 1
        self._pending = later
