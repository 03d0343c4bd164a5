"""The demonstration: a small fleet on embedded stand-ins."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard.reading import runner_table
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.standins.local_fleet import LocalFleet, digest_of
from mulberrypaddle.standins.vm_fleet import VmFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

    from mulberrypaddle.core.fleet import Runner

CALLER_KEY = "demo-key-of-the-card-museum"
DATA_CENTRES = ("south", "north")
ROUTERS = 3
SPARE_VMS = 1
VMS_PER_GROUP = 2
TRIES = 200
TRY_SECONDS = 0.1
SETTLE_SECONDS = 3.0
REQUESTS = 6
OK_STATUS = 200

CONTRACT = f"""organisation: card-museum
key_sha256: ['{digest_of(CALLER_KEY)}']
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


class _Demo:
    """Runs the steps and keeps whether each went as it should."""

    def __init__(self, fleet: LocalFleet, vms: VmFleet) -> None:
        self._fleet = fleet
        self._vms = vms
        self.passed = True

    def expect(self, holds: bool, text: str) -> None:
        """Prints one line that tells what was seen."""
        print(f"{'ok  ' if holds else 'FAIL'} {text}", flush=True)
        self.passed = self.passed and holds

    async def form_groups(self) -> None:
        """Waits until both groups serve."""
        formed = await self._until(self._both_serve)
        members = "; ".join(
            f"{group.runner_id}: {', '.join(group.vm_ids)}"
            for group in self._groups()
        )
        self.expect(formed, f"two groups were formed ({members})")

    async def stream(self) -> None:
        """Streams one answer."""
        answer = await self._complete("a blurb for a card", stream=True)
        text = answer.body.decode() if answer.body else ""
        self.expect(
            text.endswith("data: [DONE]\n\n"),
            f"an answer was streamed: {text.count('id: ')} tokens",
        )

    async def refuse(self) -> None:
        """Shows a refusal that is true."""
        before = self._vms.begun_requests()
        answer = await self._fleet.call(
            "card-writer", "/v1/completions", {}, key="nobody's key"
        )
        problem = json.loads(answer.body)
        true = self._vms.begun_requests() == before
        self.expect(
            problem["ran"] == "not run" and true,
            f"an unknown key was refused: {problem['title']}, "
            f"ran: {problem['ran']}",
        )

    async def move_data_centre(self) -> None:
        """Takes a data centre out and brings it back."""
        accepted = await self._fleet.set_data_centre(
            "south", "out", override=True
        )
        await asyncio.sleep(SETTLE_SECONDS)
        before = self._begun_in("south")
        served = await self._serve_some()
        sent = self._begun_in("south") - before
        self.expect(
            accepted.code == 200 and served == REQUESTS and sent == 0,
            f"data centre south is out: {served} of {REQUESTS} requests "
            f"served, {sent} sent to it",
        )
        await self._fleet.set_data_centre("south", "in")
        back = await self._until(self._both_serve)
        self.expect(back, "data centre south is back in service")

    async def lose_vm(self) -> None:
        """Ends a VM of a serving group and waits for the repair."""
        group = self._groups()[0]
        lost = group.vm_ids[0]
        self._vms.kill(lost)
        served = await self._serve_some()
        repaired = await self._until(lambda: self._repaired_without(lost))
        self.expect(
            served == REQUESTS,
            f"VM {lost} was lost: {served} of {REQUESTS} requests served",
        )
        self.expect(repaired, "the group was repaired from a spare VM")
        await self._explain(group.runner_id)

    async def _explain(self, subject: str) -> None:
        """Prints what the routers remember deciding about a subject."""
        print(f"     explain {subject}:")
        for router in range(ROUTERS):
            answer = await self._fleet.fetch(
                "GET",
                f"/operator/explain/{subject}",
                router=router,
                key=self._fleet.operator_key,
            )
            if answer.code != OK_STATUS:
                continue
            for item in json.loads(answer.body):
                print(
                    f"       {item['router']}: {item['outcome']}, "
                    f"because {item['reason']}"
                )

    async def _serve_some(self) -> int:
        served = 0
        for number in range(REQUESTS):
            answer = await self._complete(
                f"card {number}", router=number % ROUTERS
            )
            served += answer.code == 200
        return served

    def _begun_in(self, data_centre: str) -> int:
        begun = 0
        for vm_id, engine in self._vms.engines.items():
            if vm_id.startswith(data_centre):
                begun += len(engine.runs)
        return begun

    def _groups(self) -> list[Runner]:
        """Returns the groups that the first router may send to."""
        board = self._fleet.routers[0].context.board
        table = runner_table(board)
        serving = []
        for _, runner in sorted(table.runners.items()):
            if not runner.leaving:
                serving.append(runner)
        return serving

    def _both_serve(self) -> bool:
        standing_in = {group.data_centre for group in self._groups()}
        return standing_in == set(DATA_CENTRES)

    def _repaired_without(self, vm_id: str) -> bool:
        for group in self._groups():
            if vm_id in group.vm_ids:
                return False
        return len(self._groups()) == len(DATA_CENTRES)

    async def _until(self, condition: Callable[[], bool]) -> bool:
        for _ in range(TRIES):
            if condition():
                return True
            await asyncio.sleep(TRY_SECONDS)
        return False

    async def _complete(
        self, prompt: str, *, stream: bool = False, router: int = 0
    ) -> HTTPResponse:
        return await self._fleet.call(
            "card-writer",
            "/v1/completions",
            {"prompt": prompt, "max_tokens": 4, "stream": stream},
            key=CALLER_KEY,
            router=router,
        )


async def run_demo() -> bool:
    """Starts the fleet and shows what it does.

    Returns:
        Whether everything came back as it should.
    """
    configure_logging()
    vms = VmFleet()
    for name in DATA_CENTRES:
        vms.add_vms(f"{name}-1", VMS_PER_GROUP + SPARE_VMS, data_centre=name)
    fleet = LocalFleet(
        router_count=ROUTERS,
        data_centres=DATA_CENTRES,
        vm_list_address=vms.address,
        weight_store_address=vms.address,
    )
    fleet.put("config/contracts/card-museum", CONTRACT)
    fleet.put("config/services/card-writer", SERVICE)
    async with fleet:
        demo = _Demo(fleet, vms)
        await demo.form_groups()
        await demo.stream()
        await demo.refuse()
        await demo.move_data_centre()
        await demo.lose_vm()
    await vms.close()
    return demo.passed
