"""Runners carry out late some orders that they have left unanswered."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from review.support.deployment import (
    HEARTBEAT_SECONDS,
    ZONES,
    Deployment,
    Exchange,
    run_case,
    trouble,
)
from review.support.engine import ENGINE_SERVICE, EngineRunner
from review.support.streams import add_stream_route, send_streams, wait_for

# Runners at the start, which form a group, and those that are added later.
RUNNERS = 2
SPARES = 2
STREAMS_PER_SECOND = 1.5

# Time after which the unanswered orders are carried out, from 2 to 12 s: the
# first order to join, the order to leave, the second order to join.
FIRST_JOIN_SECONDS = 4.7
LEAVE_SECONDS = 10.0
SECOND_JOIN_SECONDS = 5.0


class LateRunner(EngineRunner):
    """A runner that may leave orders unanswered and carry them out late.

    Attributes:
        delays: Seconds after which the next orders are carried out, by
            operation; other orders are answered.
    """

    def __init__(self, deployment: Deployment, runner_id: str) -> None:
        super().__init__(deployment, runner_id, domain="d1", zone=ZONES[0])
        self.delays: dict[str, list[float]] = {}

    async def _handle(
        self, request: Exchange, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request, or leaves an order unanswered."""
        if request.target != "/order":
            await super()._handle(request, writer)
            return
        order = json.loads(request.body)
        self._deployment.record.write(
            f"order reaches {self.runner_id}: {order['operation']} "
            f"{order.get('group', '')}"
        )
        delays = self.delays.get(order["operation"])
        if not delays:
            await super()._handle(request, writer)
            return
        seconds = delays.pop(0)
        self._deployment.record.write(
            f"{self.runner_id} gives no answer, carries it out in {seconds} s"
        )
        self._spawn(self._carry_out_late(order, seconds))
        await asyncio.sleep(60.0)

    async def _carry_out_late(
        self, order: dict[str, Any], seconds: float
    ) -> None:
        await asyncio.sleep(seconds)
        self._order(order)


async def case() -> list[str]:
    """Replaces a lost member while some orders are carried out late."""
    deployment = Deployment(
        Path(__file__).parent, routers=3, services=[ENGINE_SERVICE]
    )
    try:
        add_stream_route(deployment)
        deployment.put_config()
        runners: list[LateRunner] = []

        async def add_runners(numbers: range) -> list[LateRunner]:
            added = []
            for number in numbers:
                runner = LateRunner(deployment, f"i-{number}")
                deployment.runners[runner.runner_id] = runner
                added.append(runner)
                await runner.start()
            runners.extend(added)
            return added

        await add_runners(range(1, RUNNERS + 1))
        await deployment.start()
        await wait_for(
            lambda: any(runner.state == "open" for runner in runners),
            20.0,
            "a group",
        )
        load = asyncio.ensure_future(
            send_streams(deployment, STREAMS_PER_SECOND)
        )
        await asyncio.sleep(1.0)
        spares = await add_runners(range(RUNNERS + 1, RUNNERS + SPARES + 1))
        await wait_for(
            lambda: all(spare.staged for spare in spares), 30.0, "spares"
        )
        await asyncio.sleep(1.0)
        # The two spares are about to form a group. One of them leaves two
        # orders to join unanswered, the other the order to leave.
        first, second = spares
        if trouble():
            first.delays = {"leave": [LEAVE_SECONDS]}
            second.delays = {"join": [FIRST_JOIN_SECONDS, SECOND_JOIN_SECONDS]}
        head = next(runner for runner in runners if runner.state == "open")
        member = deployment.runners[head.members[1]]
        deployment.record.write(f"{member.runner_id} crashes for good")
        member.crash()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_SECONDS,
            deployment.store.remove,
            "servers",
            member.runner_id,
        )
        await asyncio.sleep(20.0)
        load.cancel()
        return deployment.breaches
    finally:
        await deployment.close()


if __name__ == "__main__":
    run_case(case)
