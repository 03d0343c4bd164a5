"""Runs real routers on a played platform and injects faults from outside.

    python -m soak.platform_soak --seeds 50

Each seed is one run: signals to routers (stop, pause, kill), crashes of
runners, outages and forgotten history of the store, changes of the
configuration, connections that are delayed, reset, cut one way or silenced by
a proxy in front of the store; in series and overlapping. Callers go on all the
while. What must hold is checked by `tests.support.simulated_deployment` from
what callers and runners see; a run also fails if nothing is served at its end.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import fire

from soak.upgrade import UpgradeRun
from tests.support.fault_proxy import FaultProxy, ProxyMode
from tests.support.simulated_deployment import (
    Caller,
    Router,
    SimulatedDeployment,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence

ROUTERS = 3
RUN_SECONDS = 10.0
CALM_SECONDS = 8.0
REQUESTS_PER_SECOND = 25.0
KINDS = ("safe", "pay", "write", "write")

# Seeds that ever failed, with the cause; they run again in CI.
REGRESSIONS: dict[int, str] = {}


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._deployment = SimulatedDeployment(folder, seed=seed)
        self._proxy = FaultProxy(self._deployment.store_address)
        self._caller = Caller(self._deployment)
        self._tasks: set[asyncio.Task[object]] = set()
        self._number = 0
        self.faults: list[str] = []

    async def run(self) -> list[str]:
        """Runs to the end and returns the breaches."""
        deployment = self._deployment
        deployment.store_address = await self._proxy.start()
        try:
            for _ in range(3):
                deployment.add_runner("stock")
            for number in range(10):
                deployment.add_runner("cards", f"d{number // 5}")
            for number in range(1, ROUTERS + 1):
                deployment.add_router(number)
            await deployment.wait_until_ready(30.0)
            load = asyncio.ensure_future(self._load())
            await self._inject()
            self._calm()
            served = await self._serves_again()
            load.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            if not served:
                deployment.breaches.append("nothing is served after the faults")
            return deployment.breaches
        finally:
            await deployment.close()
            self._proxy.close()

    async def _load(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            self._number += 1
            router = self._rng.choice(list(self._deployment.routers.values()))
            kind = self._rng.choice(KINDS)
            task: asyncio.Task[object] = asyncio.ensure_future(
                self._caller.send(router, kind, f"q{self._number}")
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _inject(self) -> None:
        faults = (
            self._kill,
            self._pause,
            self._stop,
            self._crash_runner,
            self._store_state,
            self._proxy_mode,
            self._forget,
            self._configure,
            self._drain_runner,
            self._lose_answers,
        )
        end = time.monotonic() + RUN_SECONDS
        while time.monotonic() < end:
            fault = self._rng.choice(faults)
            self.faults.append(fault.__name__)
            fault()
            await asyncio.sleep(self._rng.uniform(0.05, 1.2))

    def _router(self) -> Router:
        return self._rng.choice(list(self._deployment.routers.values()))

    def _kill(self) -> None:
        router = self._router()
        router.kill()
        self._later(self._rng.uniform(0.1, 2.0), router.start)

    def _pause(self) -> None:
        router = self._router()
        router.signal(signal.SIGSTOP)
        self._later(
            self._rng.uniform(0.1, 4.0),
            lambda: router.signal(signal.SIGCONT),
        )

    def _stop(self) -> None:
        router = self._router()
        router.signal(signal.SIGTERM)
        self._later(7.0, router.start)

    def _crash_runner(self) -> None:
        deployment = self._deployment
        alive = [r for r in deployment.runners.values() if r.alive]
        runner = self._rng.choice(alive)
        runner.crash()
        self._later(
            1.0, lambda: deployment.add_runner(runner.service, runner.domain)
        )

    def _drain_runner(self) -> None:
        alive = [r for r in self._deployment.runners.values() if r.alive]
        self._rng.choice(alive).draining = True

    def _store_state(self) -> None:
        store = self._deployment.store
        store.state = self._rng.choice(("busy", "silent"))
        self._later(
            self._rng.uniform(0.2, 4.0), lambda: setattr(store, "state", "up")
        )

    def _lose_answers(self) -> None:
        store = self._deployment.store
        store.answer_loss_probability = 0.4
        self._later(2.0, lambda: setattr(store, "lost_answers", 0.0))

    def _proxy_mode(self) -> None:
        self._proxy.mode = self._rng.choice(list(ProxyMode))
        self._later(
            self._rng.uniform(0.2, 3.0),
            lambda: setattr(self._proxy, "mode", ProxyMode.PASS),
        )

    def _forget(self) -> None:
        self._deployment.store.drop_history()

    def _configure(self) -> None:
        self._deployment.put_config()

    def _later(self, seconds: float, work: object) -> None:
        asyncio.get_running_loop().call_later(seconds, work)  # type: ignore[arg-type]

    def _calm(self) -> None:
        deployment = self._deployment
        deployment.store.state = "up"
        deployment.store.answer_loss_probability = 0.0
        self._proxy.mode = ProxyMode.PASS
        for router in deployment.routers.values():
            router.signal(signal.SIGCONT)

    async def _serves_again(self) -> bool:
        """Returns whether all kinds are served by all routers in the end."""
        deployment = self._deployment
        for _ in range(4):
            deployment.add_runner("cards", "d9")
        deployment.add_runner("stock")
        end = time.monotonic() + CALM_SECONDS + 20.0
        while time.monotonic() < end:
            self._calm()
            for router in deployment.routers.values():
                router.start()
            outcomes = []
            for router in deployment.routers.values():
                for kind in ("safe", "pay", "write"):
                    self._number += 1
                    outcomes.append(
                        await self._caller.send(
                            router, kind, f"q{self._number}"
                        )
                    )
            if outcomes == ["served"] * len(outcomes):
                return True
            await asyncio.sleep(0.5)
        return False


async def play(seed: int) -> list[str]:
    """Plays one seed and returns its breaches."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        breaches = await soak.run()
        if breaches:
            print(f"seed {seed}: faults {soak.faults}")
            _keep_logs(seed, Path(folder))
        return breaches


async def play_beside(seed: int, revision: str) -> list[str]:
    """Plays an upgrade from another revision and returns its breaches."""
    with tempfile.TemporaryDirectory() as folder:
        run = UpgradeRun(seed, Path(folder), revision=revision)
        breaches = await run.run()
        print(f"  requests: {run.outcomes}")
        if breaches:
            _keep_logs(seed, Path(folder))
        return breaches


def _keep_logs(seed: int, folder: Path) -> None:
    kept = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    for log in folder.glob("log-*.txt"):
        (kept / log.name).write_bytes(log.read_bytes())
    print(f"seed {seed}: logs kept in {kept}")


def main(seeds: int = 3, first: int = 1, beside: str = "") -> None:
    """Plays the seeds that once failed, and others.

    Args:
        seeds: How many others.
        first: The first of them.
        beside: Revision whose build runs beside this one, in an upgrade
            without other faults; empty for faults on this build alone.
    """
    if beside:
        _run_all(
            range(first, first + seeds),
            lambda seed: play_beside(seed, str(beside)),
        )
    _run_all([*REGRESSIONS, *range(first, first + seeds)], play)


def _run_all(
    chosen: Sequence[int],
    play_one: Callable[[int], Coroutine[object, object, list[str]]],
) -> NoReturn:
    """Plays seeds one after the other and exits."""
    failed = 0
    for seed in chosen:
        breaches = asyncio.run(play_one(seed))
        failed += bool(breaches)
        print(f"seed {seed}: {breaches or 'held'}", flush=True)
    print(f"{len(chosen) - failed} of {len(chosen)} seeds held")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
