"""The demonstration: a small fleet on embedded stand-ins."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from mulberrypaddle.observe import configure_logging
from mulberrypaddle.standins.local_fleet import LocalFleet, digest_of

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

CALLER_KEY = "demo-key-of-the-card-museum"
SETTLE_SECONDS = 2.0
CONTRACT = f"""organisation: card-museum
key_sha256: ['{digest_of(CALLER_KEY)}']
services:
- service: card-writer
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 10
- service: shop-counter
  in_flight_requests: 4
  urgency: high
  deadline_seconds: 10
  never_twice: [POST /orders]
"""


class _Demo:
    """Runs the steps and keeps whether each went as it should."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self.passed = True

    def expect(self, holds: bool, text: str) -> None:
        """Prints one line that tells what was seen."""
        print(f"{'ok  ' if holds else 'FAIL'} {text}", flush=True)
        self.passed = self.passed and holds

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
        answer = await self._fleet.call(
            "card-writer", "/v1/completions", {}, key="nobody's key"
        )
        problem = json.loads(answer.body)
        self.expect(
            problem["ran"] == "not run",
            f"an unknown key was refused: {problem['title']}, "
            f"ran: {problem['ran']}",
        )

    async def move_data_centre(self) -> None:
        """Takes a data centre out and brings it back."""
        await self._fleet.set_data_centre("south", "out")
        await asyncio.sleep(SETTLE_SECONDS)
        runs = len(self._fleet.engines["card-writer-south"].runs)
        answers = [await self._complete(f"card {n}") for n in range(5)]
        served = sum(answer.code == 200 for answer in answers)
        later_runs = len(self._fleet.engines["card-writer-south"].runs)
        self.expect(
            served == 5 and later_runs == runs,
            f"data centre south is out: {served} of 5 requests served, "
            f"{later_runs - runs} sent to it",
        )
        await self._fleet.set_data_centre("south", "in")
        await asyncio.sleep(SETTLE_SECONDS)
        answer = await self._complete("back again")
        self.expect(answer.code == 200, "data centre south is back in service")

    async def _complete(
        self, prompt: str, *, stream: bool = False
    ) -> HTTPResponse:
        return await self._fleet.call(
            "card-writer",
            "/v1/completions",
            {"prompt": prompt, "max_tokens": 4, "stream": stream},
            key=CALLER_KEY,
        )


async def run_demo() -> bool:
    """Starts the fleet and shows what it does.

    Returns:
        Whether everything came back as it should.
    """
    configure_logging()
    fleet = LocalFleet(router_count=1, data_centres=("south", "north"))
    for name in ("south", "north"):
        fleet.add_engine(
            f"card-writer-{name}", service="card-writer", data_centre=name
        )
    fleet.add_plain(
        "shop-counter-1", service="shop-counter", data_centre="north"
    )
    fleet.put("config/contracts/card-museum", CONTRACT)
    async with fleet:
        demo = _Demo(fleet)
        await demo.stream()
        await demo.refuse()
        await demo.move_data_centre()
    return demo.passed
