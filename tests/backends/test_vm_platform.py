"""A group over HTTP: list, orders, load, and a request through a router."""

from __future__ import annotations

import asyncio
import time

import testtools

from mulberrypaddle.core.fleet import Vm
from mulberrypaddle.standins.engine import EngineState
from mulberrypaddle.standins.local_fleet import LocalFleet, digest_of
from mulberrypaddle.standins.vm_agent import VmAgent
from mulberrypaddle.standins.vm_list import VmListState
from mulberrypaddle.standins.vm_servers import (
    VmServerState,
    serve_vm,
    serve_vm_platform,
)
from mulberrypaddle.standins.weight_store import WeightStoreState
from tests.support.asynchronous import run

KEY = "caller-key"
TRIES = 150
CONTRACT = f"""
organisation: museum
key_sha256: ['{digest_of(KEY)}']
services:
- {{service: card-writer, in_flight_requests: 8, urgency: high,
   deadline_seconds: 20}}
"""
SERVICE = """
service: card-writer
kind: engine
model: cards-1
replicas: 1
vms_per_group: 2
"""


class VmPlatformTest(testtools.TestCase):
    """Three VMs, one of which dies."""

    def test_group_serves_and_is_repaired_over_http(self) -> None:
        async def scenario() -> tuple[int, int]:
            vm_list = VmListState()
            platform = serve_vm_platform(vm_list, WeightStoreState())
            agents: dict[str, VmAgent] = {}
            servers = [platform]
            for number in range(3):
                vm_id = f"vm-{number}"
                agents[vm_id] = VmAgent(vm_id, load_seconds=0.2)
                server = serve_vm(
                    VmServerState(agents[vm_id], agents, EngineState(vm_id))
                )
                servers.append(server)
                vm = Vm(
                    vm_id,
                    address=server.address,
                    data_centre="south",
                    fabric_domain="south-1",
                )
                vm_list.put(vm, now_seconds=time.monotonic())
            fleet = LocalFleet(
                vm_list_address=platform.address,
                weight_store_address=platform.address,
            )
            fleet.put("config/contracts/museum", CONTRACT)
            fleet.put("config/services/card-writer", SERVICE)
            async with fleet:
                first = await _call_until_served(fleet)
                agents["vm-0"].kill()
                await asyncio.sleep(2.5)
                second = await _call_until_served(fleet)
            for server in servers:
                await server.close()
            return first, second

        self.assertEqual((200, 200), run(scenario()))


async def _call_until_served(fleet: LocalFleet) -> int:
    status = 0
    for _ in range(TRIES):
        answer = await fleet.call(
            "card-writer",
            "/v1/completions",
            {"prompt": "a card", "max_tokens": 2},
            key=KEY,
        )
        status = answer.code
        if status == 200:
            return status
        await asyncio.sleep(0.1)
    return status
