"""The VM side of groups: agents that take LOAD and STOP orders."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard.intents import RunnerOrder
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.groups import VmPhase, VmReport

if TYPE_CHECKING:
    from collections.abc import Callable


class VmAgent:
    """State of one VM.

    Attributes:
        vm_id: Which VM.
        checks_fencing: Whether it refuses orders with old fencing numbers.
        load_seconds: How long a load takes.
        dead: While true it answers nothing and executes nothing.
        unreachable: While true it answers nothing but goes on executing.
        generation: Generation that it executes for; zero if idle.
        vm_ids: VMs of its group.
        running_requests: Requests in hand.
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
    def silent(self) -> bool:
        """Returns whether no call to the VM is answered."""
        return self.dead or self.unreachable

    def restart(self) -> None:
        """Forgets everything, the highest fencing number included."""
        self.dead = False
        self.generation = 0
        self.vm_ids = ()
        self.running_requests = 0
        self.incarnation = uuid.uuid4().hex
        self._highest_fencing_token = 0

    def kill(self) -> None:
        """Ends the VM without notice."""
        self.restart()
        self.dead = True

    def take_order(
        self,
        order: RunnerOrder,
        *,
        generation: int,
        fencing: int,
        vm_ids: tuple[str, ...],
        now_seconds: float,
    ) -> Result[int, Problem]:
        """Carries out an order, or refuses an old fencing number.

        Args:
            order: LOAD or STOP.
            generation: Generation to load.
            fencing: Fencing number of the order.
            vm_ids: VMs of the group.
            now_seconds: Monotonic time.

        Returns:
            The generation that the VM now executes for, or RUNNER_REFUSED.
        """
        if self.checks_fencing and fencing < self._highest_fencing_token:
            return Failure(
                Problem(
                    ErrorKind.RUNNER_REFUSED,
                    f"got fencing number {fencing}, "
                    f"allowed is {self._highest_fencing_token} or more",
                )
            )
        self._highest_fencing_token = max(fencing, self._highest_fencing_token)
        if order is RunnerOrder.STOP:
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
        """Returns what the VM does now."""
        if self.generation == 0:
            return VmPhase.IDLE
        if now_seconds < self._ready_at_seconds:
            return VmPhase.LOADING
        return VmPhase.READY

    def report(
        self, now_seconds: float, find_agent: Callable[[str], VmAgent | None]
    ) -> VmReport:
        """Returns what the VM says of itself and of its group.

        Args:
            now_seconds: Monotonic time.
            find_agent: Returns another VM of the fabric domain.
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
