"""The table of runners that may be routed to."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ListObjects, Priority, StoredObject, keys
from mulberrypaddle.blackboard.values import RunnerTable
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.groups.fleet_view import fleet_view
from mulberrypaddle.core.fleet import (
    DataCentreState,
    Runner,
    ServiceKind,
    VmState,
)
from mulberrypaddle.core.groups import Group, GroupState
from mulberrypaddle.core.invariants import Invariant, check

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.core.errors import Problem

RUNNER_PREFIX = "runners/"
REFRESH_SECONDS = 1.0
# Reads a second that all routers of a region make together.
REGION_READS_PER_SECOND = 10.0


class RunnerTableController(Controller):
    """Derives runners from objects, groups, VMs and data centres."""

    name = "runner_table"

    def __init__(self, context: Context, *, marks_leaving: bool = True) -> None:
        """Takes the context.

        Args:
            context: This router's context.
            marks_leaving: Off only in tests, to show that it is needed.
        """
        super().__init__(context)
        self._marks_leaving = marks_leaving
        self._next_read_seconds = 0.0
        self._reading = False
        self._listed_once = False
        self._objects: dict[str, Runner] = {}
        self._view: FleetView | None = None

    def step(self, now_seconds: float) -> None:
        """Reads the objects when the last read is old, and derives."""
        if not self._reading and now_seconds >= self._next_read_seconds:
            self._reading = True
            self.context.board.intents.append(
                ListObjects(
                    RUNNER_PREFIX, priority=Priority.CONFIG, reply=self._listed
                )
            )
        view = fleet_view(self.context)
        if not self._listed_once or view is self._view:
            return
        self._view = view
        self._publish(view, now_seconds)

    def _publish(self, view: FleetView, now_seconds: float) -> None:
        runners: dict[str, Runner] = {}
        for runner_id, known in self._objects.items():
            leaving = known.leaving or _is_leaving(view, known)
            runners[runner_id] = _copy(
                known, leaving=leaving and self._marks_leaving
            )
        for domain, stored in view.table.domains.items():
            lost_generations = view.table.lost_generations.get(domain, {})
            for group in stored.domain.groups.values():
                if group.generation in lost_generations and self._marks_leaving:
                    continue
                runner = self._group_runner(view, domain, group)
                if runner is not None:
                    runners[runner.runner_id] = runner
        for runner in runners.values():
            check(
                runner.leaving or not _is_leaving(view, runner),
                Invariant.LEAVING_RUNNER,
                f"{runner.runner_id} is leaving and would be routed to",
            )
        self.context.board.write(
            keys.RUNNERS,
            RunnerTable(runners=runners, reports={}),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def _group_runner(
        self, view: FleetView, domain: str, group: Group
    ) -> Runner | None:
        """Returns the runner of a group that serves whole, or None."""
        if group.state not in (GroupState.SERVING, GroupState.DRAINING):
            return None
        for vm_id in group.vm_ids:
            vm = view.vms.get(vm_id)
            if vm is None or vm.state is VmState.GONE:
                return None
        lead = view.vms[group.vm_ids[0]]
        service = view.services.get(group.service)
        if service is None:
            return None
        runner = Runner(
            group.group_id,
            service=group.service,
            kind=ServiceKind.ENGINE,
            address=lead.address,
            data_centre=lead.data_centre,
            fabric_domain=domain,
            generation=group.generation,
            vm_ids=group.vm_ids,
            slots=service.slots,
            memory_tokens=service.memory_tokens,
            cold_slots=service.cold_slots,
        )
        leaving = group.state is GroupState.DRAINING
        leaving = leaving or _is_leaving(view, runner)
        runner.leaving = leaving and self._marks_leaving
        return runner

    def _listed(self, result: Result[list[StoredObject], Problem]) -> None:
        now_seconds = self.context.now_seconds()
        self._reading = False
        membership = self.context.board.entry(keys.MEMBERSHIP)
        members = 1 if membership is None else len(membership.value.members)
        self._next_read_seconds = now_seconds + max(
            REFRESH_SECONDS, members / REGION_READS_PER_SECOND
        )
        if not isinstance(result, Success):
            return
        runners = {}
        for stored in result.unwrap():
            runner = parse_runner(stored)
            runners[runner.runner_id] = runner
        self._objects = runners
        self._listed_once = True
        self._publish(fleet_view(self.context), now_seconds)


def _is_leaving(view: FleetView, runner: Runner) -> bool:
    """Returns whether a runner must receive no new work."""
    state = view.data_centres.get(runner.data_centre)
    if state is DataCentreState.OUT:
        return True
    for vm_id in runner.vm_ids:
        vm = view.vms.get(vm_id)
        if vm is not None and vm.state is not VmState.LIVE:
            return True
    return False


def _copy(runner: Runner, *, leaving: bool) -> Runner:
    return Runner(
        runner.runner_id,
        service=runner.service,
        kind=runner.kind,
        address=runner.address,
        data_centre=runner.data_centre,
        fabric_domain=runner.fabric_domain,
        generation=runner.generation,
        vm_ids=runner.vm_ids,
        slots=runner.slots,
        memory_tokens=runner.memory_tokens,
        cold_slots=runner.cold_slots,
        leaving=leaving,
    )


def parse_runner(stored: StoredObject) -> Runner:
    """Returns the runner that an object describes."""
    value = json.loads(stored.value)
    return Runner(
        stored.key.removeprefix(RUNNER_PREFIX),
        service=value["service"],
        kind=ServiceKind(value["kind"]),
        address=value["address"],
        data_centre=value["data_centre"],
        fabric_domain=value.get("fabric_domain", ""),
        vm_ids=tuple(value.get("vm_ids", ())),
        slots=value.get("slots", 16),
        memory_tokens=value.get("memory_tokens", 262_144),
        cold_slots=value.get("cold_slots", 2),
    )
