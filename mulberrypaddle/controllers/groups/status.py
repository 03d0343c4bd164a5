"""Rows for `status` and `explain`: which group is down and why."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import (
    FleetStatus,
    GroupStatus,
    ServiceStatus,
)
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.groups.fleet_view import fleet_view
from mulberrypaddle.core.fleet import Service, VmState
from mulberrypaddle.core.groups import Group, GroupState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.blackboard.fleet_view import FleetView

STEP_SECONDS = 1.0

_DOING = {
    GroupState.FORMING: "waits for its turn at the weight store",
    GroupState.LOADING: "loads its model",
    GroupState.DRAINING: "finishes the requests in hand",
    GroupState.STOPPING: "waits until its VMs confirm that they stopped",
    GroupState.DOWN: "waits for enough free VMs in its fabric domain",
}


class FleetStatusController(Controller):
    """Keeps the rows and adds up downtime."""

    name = "fleet_status"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._last_seconds: float | None = None
        self._downtime_seconds: dict[str, float] = {}

    def step(self, now_seconds: float) -> None:
        """Writes the rows once a second."""
        if self.context.board.entry(keys.VMS) is None:
            # Without a list of VMs this fleet forms no groups.
            return
        last_seconds = self._last_seconds
        if last_seconds is None:
            self._last_seconds = now_seconds
            return
        if now_seconds - last_seconds < STEP_SECONDS:
            return
        self._last_seconds = now_seconds
        view = fleet_view(self.context)
        services = {}
        for name, service in view.engine_services().items():
            services[name] = self._service_status(
                view, service, now_seconds - last_seconds
            )
        now_wall_seconds = self.context.clock.wall_seconds()
        self.context.board.write(
            keys.FLEET_STATUS,
            FleetStatus(
                tuple(_group_rows(view, services, now_wall_seconds)), services
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def _service_status(
        self, view: FleetView, service: Service, elapsed_seconds: float
    ) -> ServiceStatus:
        serving = 0
        for domain, group in view.groups_of_service(service.name):
            if group.state is GroupState.SERVING and view.is_in_service(domain):
                serving += 1
        missing = max(0, service.replicas - serving)
        downtime_seconds = (
            self._downtime_seconds.get(service.name, 0.0)
            + missing * elapsed_seconds
        )
        self._downtime_seconds[service.name] = downtime_seconds
        return ServiceStatus(
            service.name,
            wanted=service.replicas,
            serving=serving,
            downtime_seconds=downtime_seconds,
            stranded_accelerators=stranded_accelerators(view, service, missing),
        )


def stranded_accelerators(
    view: FleetView, service: Service, missing: int
) -> int:
    """Returns the idle accelerators that a service's missing groups lack.

    Counts accelerators of live VMs that neither serve nor load, up to what
    the missing groups need; more idle VMs than that are spares.

    Args:
        view: The fleet.
        service: An engine service.
        missing: How many of its groups do not serve.
    """
    if missing == 0:
        return 0
    working: set[str] = set()
    for stored in view.table.domains.values():
        for group in stored.domain.groups.values():
            if group.state in (GroupState.SERVING, GroupState.LOADING):
                working.update(group.vm_ids)
    wanted_vms = missing * service.vms_per_group
    total = 0
    for vm_id, vm in view.vms.items():
        if wanted_vms <= 0:
            break
        if vm.state is not VmState.LIVE or vm_id in working:
            continue
        total += vm.accelerators
        wanted_vms -= 1
    return total


def _group_rows(
    view: FleetView, services: Iterable[str], now_wall_seconds: float
) -> list[GroupStatus]:
    rows = []
    for service in services:
        for domain, group in view.groups_of_service(service):
            if group.state is GroupState.SERVING:
                continue
            rows.append(_group_row(domain, group, now_wall_seconds))
    return rows


def _group_row(
    domain: str, group: Group, now_wall_seconds: float
) -> GroupStatus:
    return GroupStatus(
        group.group_id,
        service=group.service,
        fabric_domain=domain,
        state=group.state.value,
        reason=group.reason,
        next_step=_DOING[group.state],
        down_seconds=max(0.0, now_wall_seconds - group.down_since_seconds),
    )
