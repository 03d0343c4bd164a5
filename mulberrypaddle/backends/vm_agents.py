"""HTTP client of the agents on VMs: sends orders and reads reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.backends.json_http_client import JsonHttpClient
from mulberrypaddle.core.groups import VmPhase, VmReport
from mulberrypaddle.core.value_checks import require_int, require_name

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.blackboard import SendVmOrder
    from mulberrypaddle.core.errors import Problem

TIMEOUT_SECONDS = 1.0


class HttpVmAgents:
    """Sends orders to the agents on VMs and reads their reports."""

    def __init__(self) -> None:
        self._http_client = JsonHttpClient(timeout_seconds=TIMEOUT_SECONDS)

    async def order(self, intent: SendVmOrder) -> Result[int, Problem]:
        """Sends an order and returns the generation that the VM confirms."""
        return await self._http_client.call_and_convert(
            "POST",
            f"http://{intent.address}/v1/orders",
            {
                "order": intent.order.value,
                "group_id": intent.group_id,
                "generation": intent.generation,
                "fencing": intent.fencing,
                "argument": intent.argument,
                "vm_ids": list(intent.vm_ids),
            },
            parse=lambda value: require_int(value["generation"]),
        )

    async def report(self, address: str) -> Result[VmReport, Problem]:
        """Requests the report of the VM at an address."""
        return await self._http_client.call_and_convert(
            "GET", f"http://{address}/v1/vm-report", parse=_parse_report
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http_client.close()


def report_to_json(report: VmReport) -> dict[str, Any]:
    """Returns a report as a JSON object of the wire format."""
    return {
        "vm_id": report.vm_id,
        "incarnation": report.incarnation,
        "generation": report.generation,
        "phase": report.phase.value,
        "member_vm_ids": list(report.member_vm_ids),
        "running_requests": report.running_requests,
    }


def _parse_report(value: dict[str, Any]) -> VmReport:
    return VmReport(
        require_name(value["vm_id"]),
        incarnation=value["incarnation"],
        generation=require_int(value["generation"]),
        phase=VmPhase(value["phase"]),
        member_vm_ids=tuple(
            require_name(vm_id) for vm_id in value["member_vm_ids"]
        ),
        running_requests=require_int(value["running_requests"]),
    )
