"""Stand-in for the agent on a VM, which executes LOAD and STOP orders."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard.intents import VmOrder
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.groups import VmPhase, VmReport

if TYPE_CHECKING:
    from collections.abc import Callable


class VmAgent:
    """State of one VM and its agent.

    Attributes:
        vm_id: Name of the VM.
        checks_fencing: Whether it refuses orders with a fencing token below
            the highest one seen.
        load_seconds: Time to load a model.
        dead: While true, it neither responds nor executes requests.
        unreachable: While true, it doesn't respond but keeps executing.
        generation: Group generation that it serves; zero if idle.
        vm_ids: VMs of its group; empty if idle.
        running_requests: Number of requests in flight.
        incarnation: Random id of this start; changes with every restart.
    """

    def __init__(
        self,
        vm_id: str,
        *,
        checks_fencing: bool = True,
        load_seconds: float = 2.0,
    ) -> None:
        self.vm_id = vm_id
        self.checks_fencing = checks_fencing
        self.load_seconds = load_seconds
        self.dead = False
        self.unreachable = False
        self.generation = 0
        self.vm_ids: tuple[str, ...] = ()
        self.running_requests = 0
        self.incarnation = uuid.uuid4().hex
        self._highest_fencing_token = 0
        self._ready_at_seconds = 0.0

    @property
    def unresponsive(self) -> bool:
        """Returns whether the VM responds to no request at all."""
        return self.dead or self.unreachable

    def restart(self) -> None:
        """Starts a new incarnation; the highest fencing token is lost too."""
        self.dead = False
        self.generation = 0
        self.vm_ids = ()
        self.running_requests = 0
        self.incarnation = uuid.uuid4().hex
        self._highest_fencing_token = 0

    def kill(self) -> None:
        """Stops the VM without warning."""
        self.restart()
        self.dead = True

    def execute_order(
        self,
        order: VmOrder,
        *,
        generation: int,
        fencing: int,
        vm_ids: tuple[str, ...],
        now_seconds: float,
    ) -> Result[int, Problem]:
        """Executes an order, or refuses it if its fencing token is stale.

        Args:
            order: LOAD or STOP.
            generation: Group generation to load; unused for STOP.
            fencing: Fencing token of the order.
            vm_ids: VMs of the group; unused for STOP.
            now_seconds: Monotonic time.

        Returns:
            The generation that the VM serves now (zero after STOP), or
            RUNNER_REFUSED.
        """
        if self.checks_fencing and fencing < self._highest_fencing_token:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"fencing token {fencing} is stale, "
                    f"the highest seen is {self._highest_fencing_token}",
                )
            )
        self._highest_fencing_token = max(fencing, self._highest_fencing_token)
        if order is VmOrder.STOP:
            self.generation = 0
            self.vm_ids = ()
            self.running_requests = 0
            return Success(0)
        if generation != self.generation:
            self.generation = generation
            self.vm_ids = vm_ids
            self.running_requests = 0
            self._ready_at_seconds = now_seconds + self.load_seconds
        return Success(self.generation)

    def phase(self, now_seconds: float) -> VmPhase:
        """Returns whether the VM is idle, loading or ready."""
        if self.generation == 0:
            return VmPhase.IDLE
        if now_seconds < self._ready_at_seconds:
            return VmPhase.LOADING
        return VmPhase.READY

    def report(
        self, now_seconds: float, find_agent: Callable[[str], VmAgent | None]
    ) -> VmReport:
        """Returns the VM's report on itself and its group.

        Args:
            now_seconds: Monotonic time.
            find_agent: Returns the agent of a VM id, or None if unknown; used
                to list the group's VMs that are ready.
        """
        members = []
        for vm_id in self.vm_ids:
            other = find_agent(vm_id)
            if other is None or other.dead:
                continue
            same = other.generation == self.generation
            if same and other.phase(now_seconds) is VmPhase.READY:
                members.append(vm_id)
        return VmReport(
            self.vm_id,
            incarnation=self.incarnation,
            generation=self.generation,
            phase=self.phase(now_seconds),
            member_vm_ids=tuple(members),
            running_requests=self.running_requests,
        )
