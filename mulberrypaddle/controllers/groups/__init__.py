"""Groups that repair themselves: detection, repair, placement and loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.groups.fleet_view import FleetViewController
from mulberrypaddle.controllers.groups.group_table import GroupTableController
from mulberrypaddle.controllers.groups.load_queue import LoadQueue
from mulberrypaddle.controllers.groups.placement import Placement
from mulberrypaddle.controllers.groups.repair import Repair
from mulberrypaddle.controllers.groups.status import FleetStatusController
from mulberrypaddle.controllers.groups.vm_table import VmTableController

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context, Controller
    from mulberrypaddle.controllers.groups.plan import Protections

__all__ = [
    "FleetStatusController",
    "FleetViewController",
    "GroupTableController",
    "LoadQueue",
    "Placement",
    "Repair",
    "VmTableController",
    "group_controllers",
]


def group_controllers(
    context: Context, *, protections: Protections | None = None
) -> list[Controller]:
    """Returns the controllers of groups, in the order of their steps.

    Args:
        context: This router's context.
        protections: All on but in tests.
    """
    group_table = GroupTableController(context)
    load_queue = LoadQueue(context)
    repair = Repair(
        context,
        group_table=group_table,
        load_queue=load_queue,
        protections=protections,
    )
    return [
        VmTableController(context),
        group_table,
        FleetViewController(context),
        load_queue,
        repair,
        Placement(context, repair=repair),
        FleetStatusController(context),
    ]
