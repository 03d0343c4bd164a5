"""Demonstration of a small fleet with embedded stand-ins."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard.latest import latest_runner_table
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.standins.local_fleet import LocalFleet, key_digest
from mulberrypaddle.standins.vm_fleet import VmFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

    from mulberrypaddle.core.fleet import Runner

CALLER_KEY = "demo-key-of-the-card-museum"
DATA_CENTRES = ("south", "north")
ROUTER_COUNT = 3
SPARE_VMS_PER_DATA_CENTRE = 1
VMS_PER_GROUP = 2
MAX_POLLS = 200
POLL_INTERVAL_SECONDS = 0.1
PROPAGATION_SECONDS = 3.0
REQUEST_COUNT = 6
OK_STATUS = 200

CONTRACT = f"""organisation: card-museum
key_sha256: ['{key_digest(CALLER_KEY)}']
services:
- service: card-writer
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 10
"""
SERVICE = f"""service: card-writer
kind: engine
model: cards-1
replicas: 2
vms_per_group: {VMS_PER_GROUP}
"""


class _DemoRun:
    """Runs the steps of the demonstration and records whether all passed.

    Attributes:
        passed: Whether every step so far had the expected outcome.
    """

    def __init__(self, fleet: LocalFleet, vms: VmFleet) -> None:
        self._fleet = fleet
        self._vms = vms
        self.passed = True

    def report_step(self, passed: bool, text: str) -> None:
        """Prints the outcome of one step and records whether it passed."""
        print(f"{'ok  ' if passed else 'FAIL'} {text}", flush=True)
        self.passed = self.passed and passed

    async def form_groups(self) -> None:
        """Waits until each data centre has a group that serves."""
        formed = await self._wait_until(self._both_data_centres_serve)
        members = "; ".join(
            f"{group.runner_id}: {', '.join(group.vm_ids)}"
            for group in self._serving_groups()
        )
        self.report_step(formed, f"two groups were formed ({members})")

    async def stream_completion(self) -> None:
        """Streams the response to one completion request."""
        response = await self._send_completion(
            "a blurb for a card", stream=True
        )
        text = response.body.decode() if response.body else ""
        self.report_step(
            text.endswith("data: [DONE]\n\n"),
            f"an answer was streamed: {text.count('id: ')} tokens",
        )

    async def refuse_unknown_key(self) -> None:
        """Sends an unknown key; the request is refused and not executed."""
        before = self._vms.started_requests()
        response = await self._fleet.call(
            "card-writer", "/v1/completions", {}, key="nobody's key"
        )
        problem = json.loads(response.body)
        none_started = self._vms.started_requests() == before
        self.report_step(
            problem["ran"] == "not run" and none_started,
            f"an unknown key was refused: {problem['title']}, "
            f"ran: {problem['ran']}",
        )

    async def move_data_centre(self) -> None:
        """Takes a data centre out of service and brings it back.

        While it is out, no request may be sent to it.
        """
        accepted = await self._fleet.set_data_centre(
            "south", "out", override=True
        )
        await asyncio.sleep(PROPAGATION_SECONDS)
        before = self._started_requests_in("south")
        served = await self._count_served_requests()
        sent = self._started_requests_in("south") - before
        self.report_step(
            accepted.code == 200 and served == REQUEST_COUNT and sent == 0,
            f"data centre south is out: {served} of {REQUEST_COUNT} requests "
            f"served, {sent} sent to it",
        )
        await self._fleet.set_data_centre("south", "in")
        back = await self._wait_until(self._both_data_centres_serve)
        self.report_step(back, "data centre south is back in service")

    async def lose_vm(self) -> None:
        """Kills a VM of a serving group and waits for the group's repair."""
        group = self._serving_groups()[0]
        lost = group.vm_ids[0]
        self._vms.kill(lost)
        served = await self._count_served_requests()
        repaired = await self._wait_until(lambda: self._repaired_without(lost))
        self.report_step(
            served == REQUEST_COUNT,
            f"VM {lost} was lost: {served} of {REQUEST_COUNT} requests served",
        )
        self.report_step(repaired, "the group was repaired from a spare VM")
        await self._print_explanation(group.runner_id)

    async def _print_explanation(self, subject: str) -> None:
        """Prints the decisions that the routers recorded about a subject."""
        print(f"     explain {subject}:")
        for router in range(ROUTER_COUNT):
            response = await self._fleet.fetch(
                "GET",
                f"/operator/explain/{subject}",
                router=router,
                key=self._fleet.operator_key,
            )
            if response.code != OK_STATUS:
                continue
            for item in json.loads(response.body):
                print(
                    f"       {item['router']}: {item['outcome']}, "
                    f"because {item['reason']}"
                )

    async def _count_served_requests(self) -> int:
        """Sends REQUEST_COUNT requests; returns how many succeeded."""
        served = 0
        for number in range(REQUEST_COUNT):
            response = await self._send_completion(
                f"card {number}", router=number % ROUTER_COUNT
            )
            served += response.code == 200
        return served

    def _started_requests_in(self, data_centre: str) -> int:
        """Returns how many requests the VMs of a data centre started."""
        started = 0
        for vm_id, engine in self._vms.engines.items():
            if vm_id.startswith(data_centre):
                started += len(engine.runs)
        return started

    def _serving_groups(self) -> list[Runner]:
        """Returns the groups to which the first router may send requests."""
        board = self._fleet.routers[0].context.board
        table = latest_runner_table(board)
        serving = []
        for _, runner in sorted(table.runners.items()):
            if not runner.leaving:
                serving.append(runner)
        return serving

    def _both_data_centres_serve(self) -> bool:
        """Returns whether each data centre has a serving group."""
        serving_data_centres = {
            group.data_centre for group in self._serving_groups()
        }
        return serving_data_centres == set(DATA_CENTRES)

    def _repaired_without(self, vm_id: str) -> bool:
        """Returns whether both groups serve and none contains the VM."""
        for group in self._serving_groups():
            if vm_id in group.vm_ids:
                return False
        return len(self._serving_groups()) == len(DATA_CENTRES)

    async def _wait_until(self, condition: Callable[[], bool]) -> bool:
        """Polls a condition; returns whether it became true in time."""
        for _ in range(MAX_POLLS):
            if condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return False

    async def _send_completion(
        self, prompt: str, *, stream: bool = False, router: int = 0
    ) -> HTTPResponse:
        """Sends a completion request with the caller's key."""
        return await self._fleet.call(
            "card-writer",
            "/v1/completions",
            {"prompt": prompt, "max_tokens": 4, "stream": stream},
            key=CALLER_KEY,
            router=router,
        )


async def run_demo() -> bool:
    """Starts a fleet and runs the demonstration.

    Returns:
        Whether every step had the expected outcome.
    """
    configure_logging()
    vms = VmFleet()
    for name in DATA_CENTRES:
        vms.add_vms(
            f"{name}-1",
            VMS_PER_GROUP + SPARE_VMS_PER_DATA_CENTRE,
            data_centre=name,
        )
    fleet = LocalFleet(
        router_count=ROUTER_COUNT,
        data_centres=DATA_CENTRES,
        vm_list_address=vms.address,
        weight_store_address=vms.address,
    )
    fleet.put("config/contracts/card-museum", CONTRACT)
    fleet.put("config/services/card-writer", SERVICE)
    async with fleet:
        demo = _DemoRun(fleet, vms)
        await demo.form_groups()
        await demo.stream_completion()
        await demo.refuse_unknown_key()
        await demo.move_data_centre()
        await demo.lose_vm()
    await vms.close()
    return demo.passed
