"""Keeps the view of the fleet that the controllers of groups read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.fleet_view import FleetView, unreadable_services
from mulberrypaddle.blackboard.values import (
    Configuration,
    GroupTable,
    VmTable,
)
from mulberrypaddle.controllers.base import Controller

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context

_NO_CONFIGURATION = Configuration(
    contracts={}, services={}, data_centres={}, versions={}
)
_NO_VMS = VmTable({})
_NO_GROUPS = GroupTable({}, {})


class FleetViewController(Controller):
    """Writes a new view when something that it shows has changed."""

    name = "fleet_view"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self._configuration = _NO_CONFIGURATION
        self._vms = _NO_VMS
        self._table = _NO_GROUPS
        self._view: FleetView | None = None

    def step(self, now_seconds: float) -> None:
        """Compares what the view rests on with what it shows."""
        board = self.context.board
        configuration = board.latest(keys.CONFIGURATION, _NO_CONFIGURATION)
        vms = board.latest(keys.VMS, _NO_VMS)
        table = board.latest(keys.GROUPS, _NO_GROUPS)
        same_vms = vms is self._vms
        if (
            self._view is not None
            and same_vms
            and table is self._table
            and _shows_the_same(configuration, self._configuration)
        ):
            return
        domain_vms = None
        if self._view is not None and same_vms:
            domain_vms = self._view.domain_vms
        self._configuration = configuration
        self._vms = vms
        self._table = table
        self._view = FleetView(
            configuration, vms.vms, table, domain_vms=domain_vms
        )
        board.write(
            keys.FLEET_VIEW,
            self._view,
            writer=self.name,
            now_seconds=now_seconds,
        )


def fleet_view(context: Context) -> FleetView:
    """Returns the latest view, empty before the first one."""
    entry = context.board.entry(keys.FLEET_VIEW)
    if entry is None:
        return FleetView(_NO_CONFIGURATION, {}, _NO_GROUPS)
    return entry.value


def _shows_the_same(one: Configuration, other: Configuration) -> bool:
    """Returns whether two configurations differ in contracts at most."""
    if one is other:
        return True
    if one.data_centres != other.data_centres:
        return False
    if one.services.keys() != other.services.keys():
        return False
    if unreadable_services(one) != unreadable_services(other):
        return False
    for name, service in one.services.items():
        if service.version != other.services[name].version:
            return False
    return True
