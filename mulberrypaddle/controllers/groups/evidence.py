"""What the owner of a fabric domain has seen of its VMs; never stored."""

from __future__ import annotations


class Evidence:
    """Facts that allow a group to change its state.

    Attributes:
        stopped: Highest fencing number of a confirmed stop, by VM id.
        ready: Generation that a VM reports ready, by VM id.
        executing: Generation that a VM may execute for, by VM id.
        lost: Why a VM can't serve its group, by VM id.
        absent: VMs that the platform's list has not named for long enough.
        granted: Generations whose turn at the weight store has come.
        drained: Generations that have no request in hand.
    """

    __slots__ = (
        "absent",
        "drained",
        "executing",
        "granted",
        "lost",
        "ready",
        "stopped",
    )

    def __init__(self) -> None:
        self.stopped: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self.executing: dict[str, int] = {}
        self.lost: dict[str, str] = {}
        self.absent: set[str] = set()
        self.granted: set[int] = set()
        self.drained: set[int] = set()

    def note_stop(self, vm_id: str, fencing: int) -> None:
        """Notes that a VM confirmed a stop."""
        self.stopped[vm_id] = max(fencing, self.stopped.get(vm_id, 0))
        self.executing.pop(vm_id, None)
        self.ready.pop(vm_id, None)

    def note_load(self, vm_id: str, generation: int) -> None:
        """Notes that a VM may execute for a generation from now on."""
        self.executing[vm_id] = generation
        self.ready.pop(vm_id, None)
