"""HTTP client of the platform's list of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.backends.json_http_client import JsonHttpClient
from mulberrypaddle.blackboard.intents import VmList
from mulberrypaddle.core.fleet import Vm, VmState
from mulberrypaddle.core.value_checks import (
    require_address,
    require_int,
    require_name,
    require_str,
)

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

TIMEOUT_SECONDS = 2.0


class HttpVmList:
    """Client that reads the platform's versioned list of VMs."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._http_client = JsonHttpClient(timeout_seconds=TIMEOUT_SECONDS)

    async def read(self, known_version: int) -> Result[VmList, Problem]:
        """Returns the list, without VMs if `known_version` is current."""
        return await self._http_client.call_and_convert(
            "GET",
            f"http://{self._address}/vms?known_version={known_version}",
            parse=_parse_list,
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http_client.close()


def vm_to_json(vm: Vm) -> dict[str, Any]:
    """Returns a VM as a JSON object of the wire format."""
    return {
        "vm_id": vm.vm_id,
        "address": vm.address,
        "data_centre": vm.data_centre,
        "fabric_domain": vm.fabric_domain,
        "accelerators": vm.accelerators,
        "state": vm.state.value,
    }


def _parse_list(value: dict[str, Any]) -> VmList:
    """Parses a list, whose VMs are null if the version was known."""
    rows = value["vms"]
    version = require_int(value["version"])
    if rows is None:
        return VmList(version, None)
    vms = []
    for row in rows:
        vms.append(
            Vm(
                require_name(row["vm_id"]),
                address=require_address(row["address"]),
                data_centre=require_name(row["data_centre"]),
                fabric_domain=require_str(row["fabric_domain"]),
                accelerators=require_int(row["accelerators"]),
                state=VmState(row["state"]),
            )
        )
    return VmList(version, tuple(vms))
