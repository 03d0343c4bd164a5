"""A runner fails orders, after it has worked on them, with 408 or 429."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from review.support.deployment import (
    PROMISES,
    ZONES,
    Consumer,
    Deployment,
    Exchange,
    PlainRunner,
    answer_bytes,
    new_id,
    run_case,
    trouble,
)

ORDERS = 60
# Share of its requests that the failing runner fails; `srv_grey` has 0.4.
FAILING_SHARE = 0.4


class GreyRunner(PlainRunner):
    """Works on orders, and ends a part of them with 408 or 429.

    Its status check is good. It does not say `X-Not-Executed`, since it has
    worked on the order.
    """

    async def work_on(
        self, request: Exchange, headers: dict[str, str]
    ) -> bytes:
        """Works on a request; fails a part of them afterwards."""
        data = await super().work_on(request, headers)
        if random.random() >= FAILING_SHARE:
            return data
        seal = {"X-Response-Seal": f"{self.runner_id}.{request.request_id}"}
        return answer_bytes(random.choice((408, 429)), b"busy", headers | seal)


async def case() -> list[str]:
    """Sends orders; returns the refused ones that have run."""
    deployment = Deployment(
        Path(__file__).parent,
        routers=3,
        services=[{"name": "stock", "healthPath": "/health", "maxConns": 100}],
    )
    breaches = []
    try:
        deployment.add_route("order", "unsafe", attempts=1)
        deployment.put_config()
        for number, zone in enumerate(ZONES):
            grey = number == 0 and trouble()
            kind = GreyRunner if grey else PlainRunner
            runner = kind(deployment, f"i-{number + 1}", zone=zone)
            deployment.runners[runner.runner_id] = runner
            await runner.start()
        await deployment.start()
        consumers = [
            Consumer(deployment, router) for router in deployment.routers
        ]
        for number in range(ORDERS):
            consumer = consumers[number % len(consumers)]
            order = f"order {number}".encode()
            # As the pages say, a consumer sends an order again only after a
            # promise that it has not run, with another request id.
            for _ in range(2):
                request_id = new_id()
                status, _, _ = await consumer.send(
                    "POST", "/order/1", request_id=request_id, body=order
                )
                if status not in PROMISES:
                    break
                await asyncio.sleep(0.05)
                runs = deployment.run_counts.get(request_id, 0)
                if runs:
                    breaches.append(
                        f"REFUSED: {request_id} ({order.decode()}) was "
                        f"answered {status} and has run {runs} time(s)"
                    )
        return breaches
    finally:
        await deployment.close()


if __name__ == "__main__":
    run_case(case)
