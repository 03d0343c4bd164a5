"""Keys of all entries of the blackboard, with their type and writer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard.board import Key

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.fleet_view import FleetView
    from mulberrypaddle.blackboard.values import (
        Configuration,
        FleetStatus,
        GroupTable,
        Health,
        Membership,
        RunnerTable,
        VmTable,
    )

CONFIGURATION: Key[Configuration] = Key("configuration", writer="configuration")
MEMBERSHIP: Key[Membership] = Key("membership", writer="membership")
HEALTH: Key[Health] = Key("health", writer="membership")
# Plain runners are read from configuration, engine runners from groups.
RUNNERS: Key[RunnerTable] = Key("runners", writer="runner_table")
VMS: Key[VmTable] = Key("vms", writer="vm_table")
GROUPS: Key[GroupTable] = Key("groups", writer="group_table")
FLEET_VIEW: Key[FleetView] = Key("fleet_view", writer="fleet_view")
FLEET_STATUS: Key[FleetStatus] = Key("fleet_status", writer="fleet_status")
# Runners that failure detection has ejected: reason by runner id.
EJECTED: Key[dict[str, str]] = Key("ejected", writer="ejection")
