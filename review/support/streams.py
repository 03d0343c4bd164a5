"""Streams that keep model runners busy, and a wait for a condition."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from review.support.deployment import Consumer, new_id
from review.support.engine import MODEL

if TYPE_CHECKING:
    from review.support.deployment import Deployment

# Streams that the scripts send by default.
STREAMS_PER_SECOND = 15.0


def add_stream_route(deployment: Deployment) -> None:
    """Adds the route of the streams to the configuration."""
    deployment.add_route(
        "write",
        "streaming",
        service="cards",
        timeout_seconds=6.0,
        sticky=True,
        resumable=True,
        gapAimMs=300,
    )


async def send_streams(
    deployment: Deployment, per_second: float = STREAMS_PER_SECOND
) -> None:
    """Sends streams to all routers until cancelled."""
    number = 0
    pending = set()
    while True:
        number += 1
        router = deployment.routers[number % len(deployment.routers)]
        consumer = Consumer(deployment, router)
        task = asyncio.ensure_future(
            consumer.send(
                "POST",
                "/write/1",
                request_id=new_id(),
                body=b"x" * 100,
                headers=(
                    f"X-Model: {MODEL}",
                    "X-Token-Counts: 700,60",
                    f"X-Prompt-Prefix: 5c1e07a2:40,{new_id()}:660",
                ),
                deadline_seconds=6.0,
            )
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        task.add_done_callback(lambda _, consumer=consumer: consumer.close())
        await asyncio.sleep(1.0 / per_second)


async def wait_for(condition: Any, seconds: float, what: str) -> None:
    """Waits until a condition holds; raises TimeoutError if it doesn't."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(what)
        await asyncio.sleep(0.01)
