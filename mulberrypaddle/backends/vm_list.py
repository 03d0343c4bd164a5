"""The platform's list of VMs over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.backends.json_calls import JsonCalls
from mulberrypaddle.blackboard.intents import VmList
from mulberrypaddle.core.fleet import Vm, VmState

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

TIMEOUT_SECONDS = 2.0


class HttpVmList:
    """Reads the list; an unchanged one comes back without its rows."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._calls = JsonCalls(timeout_seconds=TIMEOUT_SECONDS)

    async def read(self, known_version: int) -> Result[VmList, Problem]:
        """Returns the list unless `known_version` is current."""
        result = await self._calls.call(
            "GET", f"http://{self._address}/vms?known_version={known_version}"
        )
        return result.map(_parse_list)

    def close(self) -> None:
        """Closes the client."""
        self._calls.close()


def vm_to_json(vm: Vm) -> dict[str, Any]:
    """Returns a VM in the form that goes over the wire."""
    return {
        "vm_id": vm.vm_id,
        "address": vm.address,
        "data_centre": vm.data_centre,
        "fabric_domain": vm.fabric_domain,
        "accelerators": vm.accelerators,
        "state": vm.state.value,
    }


def _parse_list(value: dict[str, Any]) -> VmList:
    rows = value["vms"]
    if rows is None:
        return VmList(value["version"], None)
    vms = []
    for row in rows:
        vms.append(
            Vm(
                row["vm_id"],
                address=row["address"],
                data_centre=row["data_centre"],
                fabric_domain=row["fabric_domain"],
                accelerators=row["accelerators"],
                state=VmState(row["state"]),
            )
        )
    return VmList(value["version"], tuple(vms))
