"""Tests of groups whose VMs, VM list and weight store are reached by HTTP."""

from __future__ import annotations

import asyncio

import testtools

from mulberrypaddle.standins.local_fleet import LocalFleet, key_digest
from mulberrypaddle.standins.vm_fleet import VmFleet
from tests.support.asynchronous import run

KEY = "caller-key"
TRIES = 150
REQUESTS = 60
CONTRACT = f"""
organisation: museum
key_sha256: ['{key_digest(KEY)}']
services:
- {{service: card-writer, in_flight_requests: 8, urgency: high,
   deadline_seconds: 20}}
"""


def service_text(replicas: int) -> str:
    """Returns the document of an engine service with two VMs per group."""
    return (
        "service: card-writer\nkind: engine\nmodel: cards-1\n"
        f"replicas: {replicas}\nvms_per_group: 2\n"
    )


class VmPlatformTest(testtools.TestCase):
    """Groups of two VMs each on the loopback interface."""

    def test_group_serves_and_is_repaired_after_vm_loss(self) -> None:
        async def scenario() -> tuple[int, int]:
            vms = VmFleet()
            vms.add_vms("south-1", 3, data_centre="south")
            async with _fleet(vms, routers=1, replicas=1) as fleet:
                first = await _call_until_served(fleet)
                vms.kill("south-1-0")
                second = await _call_until_served(fleet)
            await vms.close()
            return first, second

        self.assertEqual((200, 200), run(scenario()))

    def test_no_request_fails_when_a_vm_is_lost_under_load(self) -> None:
        async def scenario() -> list[int]:
            vms = VmFleet(list_lag_seconds=30.0)
            vms.add_vms("south-1", 5, data_centre="south")
            async with _fleet(vms, routers=2, replicas=2) as fleet:
                for router in range(2):
                    await _call_until_served(fleet, router=router)
                statuses = []
                for number in range(REQUESTS):
                    if number == REQUESTS // 3:
                        vms.kill("south-1-0")
                    statuses.append(await _call(fleet, router=number % 2))
                    await asyncio.sleep(0.05)
            await vms.close()
            return statuses

        self.assertEqual([200] * REQUESTS, run(scenario()))


def _fleet(vms: VmFleet, *, routers: int, replicas: int) -> LocalFleet:
    """Returns a fleet of routers with a contract and an engine service."""
    fleet = LocalFleet(
        router_count=routers,
        vm_list_address=vms.address,
        weight_store_address=vms.address,
    )
    fleet.put("config/contracts/museum", CONTRACT)
    fleet.put("config/services/card-writer", service_text(replicas))
    return fleet


async def _call(fleet: LocalFleet, *, router: int = 0) -> int:
    """Sends a completion request to a router and returns the HTTP status."""
    answer = await fleet.call(
        "card-writer",
        "/v1/completions",
        {"prompt": "a card", "max_tokens": 2},
        key=KEY,
        router=router,
    )
    return answer.code


async def _call_until_served(fleet: LocalFleet, *, router: int = 0) -> int:
    """Repeats the request up to TRIES times; returns the last status."""
    status = 0
    for _ in range(TRIES):
        status = await _call(fleet, router=router)
        if status == 200:
            return status
        await asyncio.sleep(0.1)
    return status
