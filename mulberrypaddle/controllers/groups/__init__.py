"""Groups that repair themselves: detection, repair, placement and loads."""

from __future__ import annotations

from mulberrypaddle.controllers.groups.group_table import GroupTableController
from mulberrypaddle.controllers.groups.load_queue import LoadQueue
from mulberrypaddle.controllers.groups.placement import Placement
from mulberrypaddle.controllers.groups.repair import Repair
from mulberrypaddle.controllers.groups.status import FleetStatusController
from mulberrypaddle.controllers.groups.vm_table import VmTableController

__all__ = [
    "FleetStatusController",
    "GroupTableController",
    "LoadQueue",
    "Placement",
    "Repair",
    "VmTableController",
]
