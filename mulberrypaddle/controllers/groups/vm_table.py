"""The platform's lagging list of VMs, read by version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ReadVms, keys
from mulberrypaddle.blackboard.values import VmTable
from mulberrypaddle.controllers.base import Context, Controller

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.intents import VmList
    from mulberrypaddle.core.errors import Problem

REFRESH_SECONDS = 1.0
# Reads a second that all routers of a region make together.
REGION_READS_PER_SECOND = 40.0
CALL_TIMEOUT_SECONDS = 10.0


class VmTableController(Controller):
    """Keeps the list on the blackboard; unchanged lists cost one answer."""

    name = "vm_table"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._table = VmTable({})
        self._version = 0
        self._reading_since_seconds: float | None = None
        self._next_read_seconds = 0.0

    def step(self, now_seconds: float) -> None:
        """Reads the list when the last read is old."""
        since_seconds = self._reading_since_seconds
        if (
            since_seconds is not None
            and now_seconds - since_seconds < CALL_TIMEOUT_SECONDS
        ):
            return
        if now_seconds < self._next_read_seconds:
            return
        self._reading_since_seconds = now_seconds
        self.context.board.intents.append(
            ReadVms(known_version=self._version, reply=self._listed)
        )

    def _listed(self, result: Result[VmList, Problem]) -> None:
        asked_at_seconds = self._reading_since_seconds
        self._reading_since_seconds = None
        now_seconds = self.context.now_seconds()
        membership = self.context.board.entry(keys.MEMBERSHIP)
        members = 1 if membership is None else len(membership.value.members)
        period_seconds = max(REFRESH_SECONDS, members / REGION_READS_PER_SECOND)
        self._next_read_seconds = (
            now_seconds + period_seconds * self.context.rng.uniform(0.7, 1.0)
        )
        if asked_at_seconds is None or not isinstance(result, Success):
            return
        listed = result.unwrap()
        if listed.version < self._version:
            return
        self._version = listed.version
        if listed.vms is not None:
            vms = {}
            for vm in listed.vms:
                vms[vm.vm_id] = vm
            self._table = VmTable(vms)
        self.context.board.write(
            keys.VMS,
            self._table,
            writer=self.name,
            now_seconds=asked_at_seconds,
        )
