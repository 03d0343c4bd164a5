"""Measures service while one of three data centres leaves and returns.

Run as `python -m benchmarks.data_centre_move [SEED]`. Seven routers serve 60
groups on fake VMs, at 60 % load. The data centre is taken out, its VMs stop
some time later and restart without a model, and the data centre is brought in
again. The traffic model is simple: a request uses a free slot of a routable
runner or waits at its router; a runner that has just started to serve has a
small capacity, which grows each second. In the baseline the VMs stop without
the data centre being taken out, and routers learn of it only from the
platform's list of VMs.
"""

from __future__ import annotations

import heapq
import random
import sys
from typing import TYPE_CHECKING

from tests.support.vm_world import VmWorld

if TYPE_CHECKING:
    from mulberrypaddle.core.fleet import Runner

ROUTERS = ["r1", "r2", "r3", "r4", "r5", "r6", "r7"]
REPLICAS = 60
SLOTS = 16
LOAD_SHARE = 0.6
SERVICE_SECONDS = 2.0
DEADLINE_SECONDS = 6.0
COLD_SLOTS = 2
WARM_UP_SLOTS_PER_SECOND = 0.5
TAKE_OUT_SECONDS = 30.0
STOP_SECONDS = 50.0
RETURN_SECONDS = 80.0
BRING_IN_SECONDS = 85.0
END_SECONDS = 130.0
STEP_SECONDS = 0.1
LIST_LAG_SECONDS = 5.0
MOVED_DATA_CENTRE = "a"


class Request:
    """One request of the traffic model.

    Attributes:
        arrived_seconds: When it arrived at its router.
        router: Id of the router that it arrived at.
    """

    __slots__ = ("arrived_seconds", "router")

    def __init__(self, arrived_seconds: float, router: str) -> None:
        self.arrived_seconds = arrived_seconds
        self.router = router


class TrafficModel:
    """Simulates requests on the runner tables of the routers.

    Attributes:
        last_late_send_seconds: Time from taking out the data centre to the last
            request sent there before it was brought in; 0 if none was sent.
        late_sends: Number of those requests sent more than three seconds
            after the data centre was taken out.
        failed: Number of requests aborted by a stopped VM, or sent to one.
        latencies: Arrival time and latency of each answered request, both in
            seconds.
        unanswered: Number of requests that still wait.
    """

    def __init__(self, world: VmWorld, seed: int) -> None:
        self.last_late_send_seconds = 0.0
        self.late_sends = 0
        self.failed = 0
        self.latencies: list[tuple[float, float]] = []
        self._world = world
        self._rng = random.Random(seed)
        self._waiting: list[Request] = []
        self._running: list[tuple[float, int, Request, str, int]] = []
        self._in_flight: dict[str, int] = {}
        self._serving_since: dict[str, tuple[int, float]] = {}
        self._sent_count = 0
        self._requests_per_second = (
            LOAD_SHARE * REPLICAS * SLOTS / SERVICE_SECONDS
        )

    @property
    def unanswered(self) -> int:
        """Returns the number of requests that still wait."""
        return len(self._waiting)

    def step(self, now_seconds: float) -> None:
        """Completes running requests, adds new ones and sends waiting ones."""
        self._complete_requests(now_seconds)
        arrivals = self._requests_per_second * STEP_SECONDS
        count = int(arrivals) + (self._rng.random() < arrivals % 1)
        for _ in range(count):
            router = self._rng.choice(ROUTERS)
            self._waiting.append(Request(now_seconds, router))
        tables = {}
        for router in ROUTERS:
            tables[router] = self._world.routable(router)
        still_waiting = []
        for request in self._waiting:
            if not self._send(request, tables[request.router], now_seconds):
                still_waiting.append(request)
        self._waiting = still_waiting

    def _capacity(self, runner: Runner, now_seconds: float) -> int:
        """Returns the capacity of a runner, which grows after its start."""
        first_seen = self._serving_since.get(runner.runner_id)
        if first_seen is None or first_seen[0] != runner.generation:
            # Groups that already serve in the first second are warm.
            since_seconds = now_seconds if now_seconds > 1.0 else -1e3
            first_seen = (runner.generation, since_seconds)
            self._serving_since[runner.runner_id] = first_seen
        warm_seconds = now_seconds - first_seen[1]
        return min(
            SLOTS, int(COLD_SLOTS + WARM_UP_SLOTS_PER_SECOND * warm_seconds)
        )

    def _send(
        self,
        request: Request,
        table: dict[str, Runner],
        now_seconds: float,
    ) -> bool:
        """Sends a request to the runner with the most free slots.

        Returns:
            Whether a runner had a free slot.
        """
        best: Runner | None = None
        best_free = 0
        for runner_id, runner in table.items():
            free = self._capacity(runner, now_seconds)
            free -= self._in_flight.get(runner_id, 0)
            if free > best_free:
                best = runner
                best_free = free
        if best is None:
            return False
        late_seconds = now_seconds - TAKE_OUT_SECONDS
        if (
            best.data_centre == MOVED_DATA_CENTRE
            and 0 < late_seconds < BRING_IN_SECONDS - TAKE_OUT_SECONDS
        ):
            self.last_late_send_seconds = max(
                self.last_late_send_seconds, late_seconds
            )
            self.late_sends += late_seconds > 3.0
        self._in_flight[best.runner_id] = (
            self._in_flight.get(best.runner_id, 0) + 1
        )
        self._sent_count += 1
        length_seconds = SERVICE_SECONDS * self._rng.uniform(0.5, 1.5)
        heapq.heappush(
            self._running,
            (
                now_seconds + length_seconds,
                self._sent_count,
                request,
                best.runner_id,
                best.generation,
            ),
        )
        return True

    def _complete_requests(self, now_seconds: float) -> None:
        """Fails requests on broken groups and completes those that are due."""
        broken = self._broken_groups()
        running = []
        for item in self._running:
            if (item[3], item[4]) not in broken:
                running.append(item)
                continue
            self.failed += 1
            self._in_flight[item[3]] -= 1
        heapq.heapify(running)
        self._running = running
        while self._running and self._running[0][0] <= now_seconds:
            end_seconds, _, request, runner_id, _ = heapq.heappop(self._running)
            self._in_flight[runner_id] -= 1
            latency_seconds = end_seconds - request.arrived_seconds
            self.latencies.append((request.arrived_seconds, latency_seconds))

    def _broken_groups(self) -> set[tuple[str, int]]:
        """Returns id and generation of groups that lost a VM."""
        broken = set()
        for group in self._world.groups():
            for vm_id in group.vm_ids:
                agent = self._world.agents[vm_id]
                if agent.generation != group.generation:
                    broken.add((group.group_id, group.generation))
        return broken


def run(seed: int, *, takes_out: bool) -> TrafficModel:
    """Runs one leave and return of the data centre.

    Args:
        seed: Seed of the requests and the network.
        takes_out: Whether the operator takes the data centre out before its
            VMs stop, and brings it in after they have restarted.
    """
    domains = {}
    for data_centre in "abc":
        for number in range(5):
            domains[f"{data_centre}-{number}"] = 17
    world = VmWorld(
        ROUTERS,
        domains=domains,
        replicas=REPLICAS,
        seed=seed,
        slots=30,
        load_seconds=10.0,
        list_lag_seconds=LIST_LAG_SECONDS,
    )
    while len(world.routable("r1")) < REPLICAS:
        world.run_unchecked(1.0, step_seconds=STEP_SECONDS)
    world.run_unchecked(5.0, step_seconds=STEP_SECONDS)
    model = TrafficModel(world, seed)
    actions = [
        (TAKE_OUT_SECONDS, "out"),
        (STOP_SECONDS, "stop"),
        (RETURN_SECONDS, "return"),
        (BRING_IN_SECONDS, "in"),
    ]
    now_seconds = 0.0
    while now_seconds < END_SECONDS:
        while actions and actions[0][0] <= now_seconds:
            _apply_action(world, actions.pop(0)[1], takes_out)
        world.run_unchecked(STEP_SECONDS, step_seconds=STEP_SECONDS)
        model.step(now_seconds)
        now_seconds += STEP_SECONDS
    return model


def _apply_action(world: VmWorld, name: str, takes_out: bool) -> None:
    """Applies one action to the data centre or to all its VMs."""
    if name in ("out", "in"):
        if takes_out:
            world.put_data_centre(MOVED_DATA_CENTRE, name)
        return
    for vm_id in world.agents:
        if not vm_id.startswith(f"{MOVED_DATA_CENTRE}-"):
            continue
        if name == "stop":
            world.kill_vm(vm_id)
            continue
        world.return_vm(vm_id)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_report(name: str, model: TrafficModel) -> None:
    """Prints the figures of one run."""
    in_time = 0
    before = []
    during = []
    for arrived_seconds, latency_seconds in model.latencies:
        in_time += latency_seconds <= DEADLINE_SECONDS
        if arrived_seconds < TAKE_OUT_SECONDS:
            before.append(latency_seconds)
            continue
        during.append(latency_seconds)
    total = len(model.latencies) + model.failed + model.unanswered
    added_p50 = _quantile(during, 0.5) - _quantile(before, 0.5)
    added_p99 = _quantile(during, 0.99) - _quantile(before, 0.99)
    print(
        f"{name}_requests={total} {name}_failed={model.failed} "
        f"{name}_in_time_share={in_time / total:.5f} "
        f"{name}_sent_after_3s={model.late_sends} "
        f"{name}_last_sent_after_seconds={model.last_late_send_seconds:.1f} "
        f"{name}_added_p50_seconds={added_p50:.2f} "
        f"{name}_added_p99_seconds={added_p99:.2f}"
    )


def main(seed: int) -> None:
    """Measures the baseline and the present behaviour."""
    print(f"seed={seed} routers={len(ROUTERS)} replicas={REPLICAS}")
    print_report("baseline", run(seed, takes_out=False))
    print_report("present", run(seed, takes_out=True))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
