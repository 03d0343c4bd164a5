"""Runs router processes on a simulated platform and injects faults.

    python -m soak.platform_soak --seeds 50

Each seed is one run with a random sequence of events, which may overlap.

Planned work: routers are stopped, several at a time and some by more than one
signal, and restarted; they are told to reload; the configuration changes, and
with it the idle limit of callers' connections; runners drain, are slow, stand
still for a second, announce to leave or ask for pauses. Faults, except in every
third seed: routers are killed, and paused, some of them as connections reach
their idle limit; runners crash, the store has outages, loses its watch history
and comes back from copies, and a proxy in front of the store delays, resets or
silences connections, or drops the answers only; a further proxy does so for one
router while the others reach the store. Every fifth seed has more
routers and runners.

Callers send requests throughout, some of them on connections that they keep
until the router's process is gone. In every other seed, some requests have a
part in their prompt that crashes runners.

The platform's API for duties is away or slow at times. It checks that no usage
window gets two different reports, and that no fencing token comes from two VMs.

`tests.support.simulated_deployment` checks the invariants from what callers and
runners observe, `tests.support.kept_callers` that no stop costs an answer, and
that no request is lost on a connection that is kept within its idle limit. A
run also fails if the routers don't serve every kind of request after the faults
have ended.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import fire

from soak.announcement_faults import AnnouncementFaults
from soak.cloud_faults import CloudFaults
from soak.crashing_check import check_crashing_part
from soak.idle_limit_faults import IdleLimitFaults
from soak.path_faults import PathFaults
from soak.store_faults import StoreFaults
from soak.upgrade import UpgradeRun
from soak.version_probe import VersionProbe
from tests.support.cloud_api import CloudApi
from tests.support.crashing_parts import FIRST_PART, make_prompt
from tests.support.disruptions import Disruptions
from tests.support.front_end_harness import free_port
from tests.support.kept_callers import KeptCallers, losses
from tests.support.simulated_deployment import (
    ENTRY_EXPIRY_SECONDS,
    ROUTE_TIMEOUTS_SECONDS,
    STALL_LIMIT_SECONDS,
    Caller,
    Router,
    Runner,
    SimulatedDeployment,
)
from tests.support.version_requests import put_version

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence

ROUTERS = 3
RUNNERS = {"stock": 3, "cards": 10}
RUN_SECONDS = 10.0
# The same in every fifth seed.
MANY_ROUTERS = 7
MANY_RUNNERS = {"stock": 6, "cards": 25}
# Callers that keep their connection, for each router, their requests, and the
# longest pause between two of them. Short idle limits let them send more often.
KEPT_CALLERS = 50
KEPT_REQUEST_KINDS = ("safe", "pay", "report", "write", "write", "draft")
KEPT_PAUSE_SECONDS = 12.0
# Streams of these callers that may be open for each engine runner after the
# faults, half of what the groups have slots for.
KEPT_STREAMS_PER_RUNNER = 1.5
# Longest time between the signals of stops that overlap.
STOP_SPREAD_SECONDS = 2.0
# Pause between two checks whether a router has stopped.
STOP_POLL_SECONDS = 0.05
# Shortest and longest time between two versions of the configuration.
VERSION_SECONDS = (0.5, 4.0)
# Time that a router takes to serve after a start.
START_SECONDS = 3.0
# A sound runner may be silent for so long.
RUNNER_PAUSE_SECONDS = 1.0
# Range of the factors by which plain services and models are slow for a while.
SLOWDOWNS = {"stock": (10.0, 100.0), "cards": (1.5, 6.0)}
RECOVERY_SECONDS = 8.0
REQUESTS_PER_SECOND = 25.0
REQUEST_KINDS = ("safe", "pay", "write", "write")

# Part that crashes runners, and the share of the requests that have it.
CRASHING_PART = "e4402b7d"
CRASHING_SHARE = 0.08
# Seeds that failed in the past, with the cause; CI runs them again.
REGRESSIONS: dict[int, str] = {}


class SoakRun:
    """One run of random faults on a fleet of routers.

    Attributes:
        faults: Names of the injected faults, in order.
        lost_counts: Number of requests that planned work interrupted, by the
            reason why they don't count as lost; empty for those that do.
        outcomes: Number of the callers' requests, by outcome.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._deployment = SimulatedDeployment(folder, seed=seed)
        self._caller = Caller(self._deployment)
        self._request_tasks: set[asyncio.Task[object]] = set()
        self._request_number = 0
        self._disruptions = Disruptions()
        self._kept_callers = KeptCallers(
            self._deployment,
            self._caller,
            seed=seed,
            kinds=KEPT_REQUEST_KINDS,
            longest_pause_seconds=KEPT_PAUSE_SECONDS,
        )
        self._only_planned = seed % 3 == 2
        self._router_count = MANY_ROUTERS if seed % 5 == 0 else ROUTERS
        self._runner_counts = MANY_RUNNERS if seed % 5 == 0 else RUNNERS
        self._crashing = seed % 2 == 1 and not self._only_planned
        if self._crashing:
            self._deployment.crashing_parts.part_ids.add(CRASHING_PART)
            self._disruptions.add("runners", float("inf"))
        self._stops: list[asyncio.Task[None]] = []
        self.faults: list[str] = []
        self._announcement_faults = AnnouncementFaults(
            self._deployment, random.Random(seed), call_later=self._call_later
        )
        self._idle_limit_faults = IdleLimitFaults(
            self._deployment,
            self._kept_callers,
            random.Random(seed),
            suspend=self._suspend,
        )
        self._store_faults = StoreFaults(
            self._deployment,
            self._disruptions,
            self._rng,
            call_later=self._call_later,
        )
        self._path_faults = PathFaults(
            self._deployment, self._disruptions, random.Random(seed)
        )
        self._probe = VersionProbe(
            self._deployment,
            random.Random(seed),
            is_store_reachable=self._store_faults.is_reachable,
            is_path_sound=self._path_faults.is_reachable,
        )
        self._cloud = CloudApi(("127.0.0.1", free_port()), seed=seed)
        self._cloud_faults = CloudFaults(self._cloud, random.Random(seed))
        self._deployment.cloud_settings = self._cloud.settings(["usage_report"])
        put_version(self._deployment)
        self.lost_counts: dict[str, int] = {}
        self.outcomes = self._caller.outcomes

    async def run(self) -> list[str]:
        """Runs all faults and returns the breached invariants."""
        deployment = self._deployment
        deployment.store_address = await self._store_faults.proxy.start()
        await self._path_faults.start(self._router_count)
        try:
            for _ in range(self._runner_counts["stock"]):
                deployment.add_runner("stock")
            for number in range(self._runner_counts["cards"]):
                deployment.add_runner("cards", f"d{number // 5}")
            for number in range(1, self._router_count + 1):
                deployment.add_router(number)
            await deployment.wait_until_ready(30.0)
            load = asyncio.ensure_future(self._generate_load())
            works = [self._announcement_faults.run(), self._change_versions()]
            if not self._only_planned:
                works += [
                    self._idle_limit_faults.run(),
                    self._store_faults.run(),
                    self._path_faults.run(),
                    self._cloud_faults.run(),
                ]
            tasks = [asyncio.ensure_future(work) for work in works]
            probing = asyncio.ensure_future(self._probe.run())
            self._kept_callers.start(KEPT_CALLERS * self._router_count)
            await self._inject_faults()
            for task in tasks:
                _cancel(task)
            await asyncio.gather(*self._stops)
            self._clear_faults()
            self._kept_callers.limit_streams(
                int(KEPT_STREAMS_PER_RUNNER * self._runner_counts["cards"])
            )
            recovered = await self._recovers()
            if recovered and self._crashing:
                await check_crashing_part(
                    deployment, CRASHING_PART, all_served=self._all_served
                )
            load.cancel()
            _cancel(probing)
            await asyncio.gather(*self._request_tasks, return_exceptions=True)
            await self._kept_callers.stop()
            self._check_losses()
            deployment.breaches.extend(self._cloud.breaches)
            if not self._cloud.reports:
                deployment.breaches.append("no usage was reported")
            if not recovered:
                deployment.breaches.append(
                    "not every request is served after the faults"
                )
            return deployment.breaches
        finally:
            await deployment.close()
            self._cloud.close()
            self._path_faults.close()
            self._store_faults.proxy.close()

    def describe_checks(self) -> str:
        """Returns how much the checks covered."""
        checks = (self._deployment.announcements, self._deployment.versions)
        restores = self._store_faults.restores
        paths = self._path_faults.losses
        reports = len(self._cloud.reports)
        return (
            f"{checks[0]}, {checks[1]}, {restores} restores, {paths} paths, "
            f"{reports} usage reports"
        )

    def _check_losses(self) -> None:
        """Checks that no request on a kept connection was lost."""
        for loss in losses(
            self._deployment, self._kept_callers.requests, self._disruptions
        ):
            self.lost_counts[loss.excuse] = (
                self.lost_counts.get(loss.excuse, 0) + 1
            )
            if not loss.excuse:
                self._deployment.breaches.append(str(loss))

    async def _generate_load(self) -> None:
        """Sends requests to random routers until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            self._request_number += 1
            router = self._rng.choice(list(self._deployment.routers.values()))
            kind = self._rng.choice(REQUEST_KINDS)
            request_id = f"q{self._request_number}"
            prompt = ""
            if self._crashing and self._rng.random() < CRASHING_SHARE:
                kind = "write"
                prompt = make_prompt((FIRST_PART, CRASHING_PART), request_id)
            task: asyncio.Task[object] = asyncio.ensure_future(
                self._caller.send(router, kind, request_id, prompt=prompt)
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def _inject_faults(self) -> None:
        """Injects random faults for `RUN_SECONDS`.

        The first stop is at a time at which runners are slow.
        """
        faults: list[Callable[[], None]] = [
            self._stop_routers,
            self._stop_routers,
            self._stop_routers,
            self._signal_stopping_router,
            self._reload_router,
            self._drain_runner,
            self._pause_runner,
            self._slow_runners,
            self._slow_runners,
        ]
        if not self._only_planned:
            faults += [
                self._kill_router,
                self._pause_router,
                self._crash_runner,
                self._store_faults.disrupt,
                self._store_faults.disrupt_link,
                self._store_faults.drop_history,
                self._store_faults.lose_answers,
                self._store_faults.restore,
            ]
        first = [self._slow_runners, self._stop_routers]
        end = time.monotonic() + RUN_SECONDS
        while time.monotonic() < end:
            fault = first.pop(0) if first else self._rng.choice(faults)
            self.faults.append(fault.__name__)
            fault()
            await asyncio.sleep(self._rng.uniform(0.05, 1.2))

    def _random_router(self) -> Router:
        """Returns a random router."""
        return self._rng.choice(list(self._deployment.routers.values()))

    def _kill_router(self) -> None:
        router = self._random_router()
        router.kill()
        seconds = self._rng.uniform(0.1, 2.0)
        self._disruptions.add(router.ip, seconds + START_SECONDS)
        self._call_later(seconds, router.start)

    def _pause_router(self) -> None:
        self._suspend(self._random_router(), self._rng.uniform(0.1, 4.0))

    def _suspend(self, router: Router, seconds: float) -> None:
        """Makes the process of a router stand still for a while."""
        router.signal(signal.SIGSTOP)
        self._disruptions.add_pause(router, seconds)
        self._call_later(seconds, lambda: router.signal(signal.SIGCONT))

    def _stop_routers(self) -> None:
        """Stops some routers gracefully, one soon after the other."""
        routers = list(self._deployment.routers.values())
        count = self._rng.randint(1, len(routers) - 1)
        for router in self._rng.sample(routers, count):
            work = self._stop_and_restart(
                router,
                delay_seconds=self._rng.uniform(0.0, STOP_SPREAD_SECONDS),
                pause_seconds=self._rng.uniform(0.1, 1.0),
            )
            self._stops.append(asyncio.ensure_future(work))

    async def _stop_and_restart(
        self, router: Router, *, delay_seconds: float, pause_seconds: float
    ) -> None:
        """Stops a router, kills it after the grace period and restarts it."""
        await asyncio.sleep(delay_seconds)
        router.signal(signal.SIGTERM)
        process = router.process
        if router.alive and process is not None:
            end = router.stopped_at_seconds[-1] + self._deployment.grace_seconds
            while process.poll() is None and time.monotonic() < end:
                await asyncio.sleep(STOP_POLL_SECONDS)
            # Another stop may have restarted the router meanwhile.
            if process is router.process:
                router.kill()
        await asyncio.sleep(pause_seconds)
        router.start()

    def _signal_stopping_router(self) -> None:
        """Sends further signals to a router that is already stopping."""
        stopping = [
            router
            for router in self._deployment.routers.values()
            if router.alive and router.is_stopping
        ]
        if not stopping:
            return
        router = self._rng.choice(stopping)
        router.signal(self._rng.choice((signal.SIGTERM, signal.SIGHUP)))

    def _reload_router(self) -> None:
        self._random_router().signal(signal.SIGHUP)

    def _pause_runner(self) -> None:
        """Makes a runner send nothing for a second."""
        runner = self._random_runner()
        runner.paused_until_seconds = time.monotonic() + RUNNER_PAUSE_SECONDS

    def _slow_runners(self) -> None:
        """Makes some or all runners slow for a while."""
        share = self._rng.choice((0.4, 1.0))
        for runner in list(self._deployment.runners.values()):
            if self._rng.random() >= share:
                continue
            runner.slowdown = self._rng.uniform(*SLOWDOWNS[runner.service])
            self._call_later(
                self._rng.uniform(2.0, 10.0), partial(_end_slowdown, runner)
            )

    def _random_runner(self) -> Runner:
        """Returns a random runner that has not crashed."""
        alive = [r for r in self._deployment.runners.values() if r.alive]
        return self._rng.choice(alive)

    def _crash_runner(self) -> None:
        """Crashes a runner; a new one replaces it after 1 s."""
        deployment = self._deployment
        runner = self._random_runner()
        runner.crash()
        # A group that lacks a member stalls, and breaks after a while.
        self._disruptions.add(
            "runners", ENTRY_EXPIRY_SECONDS + STALL_LIMIT_SECONDS
        )
        self._call_later(
            1.0, lambda: deployment.add_runner(runner.service, runner.domain)
        )

    def _drain_runner(self) -> None:
        self._random_runner().draining = True

    async def _change_versions(self) -> None:
        """Writes new versions, with other timeouts and limits."""
        while True:
            await asyncio.sleep(self._rng.uniform(*VERSION_SECONDS))
            for name, seconds in ROUTE_TIMEOUTS_SECONDS.items():
                self._deployment.route_timeouts_seconds[name] = (
                    seconds + self._rng.uniform(0.0, 4.0)
                )
            self._idle_limit_faults.change_limits()
            put_version(self._deployment)

    def _call_later(self, seconds: float, callback: object) -> None:
        """Calls `callback` after a delay, to end or repair a fault."""
        asyncio.get_running_loop().call_later(seconds, callback)  # type: ignore[arg-type]

    def _clear_faults(self) -> None:
        """Ends the faults of the store and its link, and resumes routers."""
        self._store_faults.clear()
        for router in self._deployment.routers.values():
            router.signal(signal.SIGCONT)

    async def _recovers(self) -> bool:
        """Returns whether every router serves every kind of request again."""
        deployment = self._deployment
        for _ in range(4):
            deployment.add_runner("cards", "d9")
        deployment.add_runner("stock")
        end = time.monotonic() + RECOVERY_SECONDS + 20.0
        while time.monotonic() < end:
            self._clear_faults()
            for router in deployment.routers.values():
                router.start()
            if await self._all_served():
                return True
            await asyncio.sleep(0.5)
        return False

    async def _all_served(self) -> bool:
        """Returns whether each router serves a request of each kind."""
        outcomes = []
        for router in self._deployment.routers.values():
            for kind in ("safe", "pay", "write"):
                self._request_number += 1
                outcomes.append(
                    await self._caller.send(
                        router, kind, f"q{self._request_number}"
                    )
                )
        return outcomes == ["served"] * len(outcomes)


def _cancel(task: asyncio.Task[None]) -> None:
    """Cancels a task that must not have ended by itself."""
    if not task.cancel():
        task.result()


def _end_slowdown(runner: Runner) -> None:
    """Makes a runner as fast as the others again."""
    runner.slowdown = 1.0


async def run_seed(seed: int) -> list[str]:
    """Runs the faults of one seed and returns the breached invariants."""
    with tempfile.TemporaryDirectory() as folder:
        soak = SoakRun(seed, Path(folder))
        breaches = await soak.run()
        print(f"  requests: {soak.outcomes}, interrupted: {soak.lost_counts}")
        print(f"  checks: {soak.describe_checks()}")
        if breaches:
            print(f"seed {seed}: faults {soak.faults}")
            _keep_logs(seed, Path(folder))
        return breaches


async def run_upgrade_seed(seed: int, revision: str) -> list[str]:
    """Runs an upgrade from a revision and returns the breached invariants."""
    with tempfile.TemporaryDirectory() as folder:
        run = UpgradeRun(seed, Path(folder), revision=revision)
        breaches = await run.run()
        print(f"  requests: {run.outcomes}")
        if breaches:
            _keep_logs(seed, Path(folder))
        return breaches


def _keep_logs(seed: int, folder: Path) -> None:
    """Copies the routers' logs to a folder that outlives the run."""
    kept_folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    for log in folder.glob("log-*.txt"):
        (kept_folder / log.name).write_bytes(log.read_bytes())
    print(f"seed {seed}: logs kept in {kept_folder}")


def main(seeds: int = 3, first: int = 1, beside: str = "") -> None:
    """Runs the seeds that failed in the past and further ones.

    Args:
        seeds: Number of further seeds.
        first: First of the further seeds.
        beside: Git revision from which a fleet is upgraded to this build,
            without other faults and with the further seeds only; empty to
            inject faults into a fleet of this build.
    """
    if beside:
        _run_all(
            range(first, first + seeds),
            lambda seed: run_upgrade_seed(seed, str(beside)),
        )
    _run_all([*REGRESSIONS, *range(first, first + seeds)], run_seed)


def _run_all(
    all_seeds: Sequence[int],
    run_one: Callable[[int], Coroutine[object, object, list[str]]],
) -> NoReturn:
    """Runs seeds one after the other and exits with 1 if one failed."""
    failed = 0
    for seed in all_seeds:
        breaches = asyncio.run(run_one(seed))
        failed += bool(breaches)
        print(f"seed {seed}: {breaches or 'held'}", flush=True)
    print(f"{len(all_seeds) - failed} of {len(all_seeds)} seeds held")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
