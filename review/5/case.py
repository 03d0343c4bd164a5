"""A request that crashes its runners comes again after a rolling restart."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

from review.support.deployment import (
    GRACE_SECONDS,
    HEARTBEAT_SECONDS,
    STABLE_WINDOW_SECONDS,
    ZONES,
    Consumer,
    Deployment,
    Exchange,
    PlainRunner,
    new_id,
    run_case,
    trouble,
)

# Pause between two sends of the crashing request, and how often it is sent
# before the routers are restarted and after that.
PAUSE_SECONDS = 1.5
REPEATS_BEFORE = 8
REPEATS_AFTER = 14
# Pause between the restarts of two routers.
ROLL_GAP_SECONDS = 1.0
RESTART_SECONDS = (2.0, 3.0)
# Retries that may reach runners later than the stable window after the third
# crash.
ALLOWED_RETRIES = 3
CRASHING_BODY = b"order 4711"
SOUND_BODY = b"order 12"

# Monotonic times of the crashes.
CRASHES: list[float] = []


class CrashingRunner(PlainRunner):
    """Crashes when it begins to run one request; another takes its place."""

    async def work_on(
        self, request: Exchange, headers: dict[str, str]
    ) -> bytes:
        """Works on a request, or crashes."""
        if request.body != CRASHING_BODY:
            return await super().work_on(request, headers)
        deployment = self._deployment
        deployment.record.write(f"crash {self.runner_id}")
        CRASHES.append(time.monotonic())
        loop = asyncio.get_running_loop()
        loop.call_soon(self.crash)
        loop.call_later(
            3 * HEARTBEAT_SECONDS,
            lambda: deployment.store.remove("servers", self.runner_id),
        )
        loop.call_later(
            random.uniform(*RESTART_SECONDS),
            lambda: asyncio.ensure_future(add_runner(deployment, self.zone)),
        )
        await asyncio.sleep(1.0)
        return b""


async def add_runner(deployment: Deployment, zone: str) -> None:
    """Starts a runner under a new id."""
    runner = CrashingRunner(deployment, f"i-{new_id()[:8]}", zone=zone)
    deployment.runners[runner.runner_id] = runner
    await runner.start()
    deployment.record.write(f"start {runner.runner_id}")


async def roll_term(deployment: Deployment) -> None:
    """Stops and starts the routers in turn, then waits until all are calm."""
    for router in deployment.routers:
        assert router.process is not None
        deployment.record.write(f"SIGTERM to router {router.number}")
        router.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS
        while router.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        router.kill()
        await asyncio.sleep(0.3)
        router.start()
        deployment.record.write(f"start of router {router.number}")
        while not await router.is_ready(deployment.ready_port):
            await asyncio.sleep(0.2)
        await asyncio.sleep(ROLL_GAP_SECONDS)
    await asyncio.sleep(STABLE_WINDOW_SECONDS + 1.0)


async def send(
    deployment: Deployment, repeats: int, ids: set[str], body: bytes
) -> None:
    """Sends the request to the routers in turn."""
    for number in range(repeats):
        router = deployment.routers[number % len(deployment.routers)]
        consumer = Consumer(deployment, router)
        request_id = new_id()
        ids.add(request_id)
        await consumer.send(
            "POST", "/order/1", request_id=request_id, body=body
        )
        consumer.close()
        await asyncio.sleep(PAUSE_SECONDS)


async def case() -> list[str]:
    """Sends the crashing request again and again."""
    deployment = Deployment(
        Path(__file__).parent,
        routers=3,
        services=[{"name": "stock", "healthPath": "/health", "maxConns": 100}],
    )
    try:
        deployment.add_route("order", "unsafe", attempts=1)
        deployment.put_config()
        for zone in ZONES:
            await add_runner(deployment, zone)
        await deployment.start()
        body = CRASHING_BODY if trouble() else SOUND_BODY
        ids: set[str] = set()
        await send(deployment, REPEATS_BEFORE, ids, body)
        before = len(CRASHES)
        await roll_term(deployment)
        rolled_at = time.monotonic()
        await send(deployment, REPEATS_AFTER, ids, body)
        deployment.record.write(f"{before} crashes before the restarts")
        if len(CRASHES) < 3:
            return []
        # Of the retries after the restarts only, since the routers have been in
        # touch again then.
        since = max(CRASHES[2] + STABLE_WINDOW_SECONDS, rolled_at)
        late = sorted(
            (at, request_id, runner.runner_id)
            for runner in deployment.runners.values()
            for at, request_id in runner.arrivals
            if request_id in ids and at > since
        )
        deployment.record.write(
            f"{len(CRASHES)} crashes, {len(late)} retries reached runners "
            "after the restarts"
        )
        if len(late) <= ALLOWED_RETRIES:
            return []
        return [
            f"BUDGET: retry {request_id} reached {runner_id} "
            f"{at - CRASHES[2]:.1f} s after the third crash"
            for at, request_id, runner_id in late
        ]
    finally:
        await deployment.close()


if __name__ == "__main__":
    run_case(case)
