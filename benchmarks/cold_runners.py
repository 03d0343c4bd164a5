"""Measures overload of cold runners, and the cost of sharing their limits.

Seven routers offer more requests than runners that have just started can
handle. In the baseline each router counts only its own requests, with the same
slow start of the runners. Also measures the traffic and the processor time of
the ledger that routers share. Run as `python -m benchmarks.cold_runners`.
"""

from __future__ import annotations

import logging
import math
import time
from typing import TYPE_CHECKING

from mulberrypaddle.controllers.credits import Protections
from mulberrypaddle.core import invariants
from tests.support.serving_fleet import (
    CAPACITY_DOUBLING_SECONDS,
    ServingFleet,
    make_runners,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS = 7
RUNNERS = 4
SLOTS = 12
COLD_SLOTS = 2
RUN_SECONDS = 0.3
STEP_SECONDS = 0.05
OVERLOAD_SECONDS = 12.0
DOWN_SECONDS = 6.0
# A runner counts as full at this share of its slots in use.
FULL_SHARE = 0.8


def make_fleet(*, shares: bool, runner_count: int = RUNNERS) -> ServingFleet:
    """Returns a fleet whose contracts do not limit the load.

    Args:
        shares: Whether the routers share a ledger of the requests in flight;
            otherwise each counts only its own.
        runner_count: Number of runners.
    """
    fleet = ServingFleet(
        ROUTERS,
        runners=make_runners(runner_count, slots=SLOTS),
        contracts={"museum": 10_000},
        protections=Protections(shares=shares),
        seed=11,
    )
    fleet.checks_runner_capacity = False
    return fleet


def run_overload(fleet: ServingFleet) -> tuple[float, float]:
    """Restarts all runners and offers more than they can handle.

    Returns:
        Highest number of requests in flight at a runner over its capacity at
        that time, and the seconds until the runners together were full.
    """
    for fake in fleet.runners.values():
        fake.restart(fleet.clock.monotonic_seconds(), DOWN_SECONDS)
    fleet.run(DOWN_SECONDS)
    started_seconds = fleet.clock.monotonic_seconds()
    full_at_seconds = math.inf
    full_in_flight = FULL_SHARE * SLOTS * len(fleet.runners)
    while fleet.clock.monotonic_seconds() < started_seconds + OVERLOAD_SECONDS:
        for member_id in fleet.member_ids:
            for _ in range(2):
                fleet.submit_request(member_id, run_seconds=RUN_SECONDS)
        fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
        in_flight = 0
        for fake in fleet.runners.values():
            in_flight += len(fake.running)
        if in_flight >= full_in_flight and math.isinf(full_at_seconds):
            full_at_seconds = fleet.clock.monotonic_seconds()
    worst_share = 0.0
    for fake in fleet.runners.values():
        worst_share = max(worst_share, fake.peak_utilisation)
    return worst_share, full_at_seconds - started_seconds


def measure_ledger_traffic(runner_count: int) -> tuple[float, float]:
    """Returns bytes/s that the busiest router sends, idle and loaded."""
    fleet = make_fleet(shares=True, runner_count=runner_count)
    fleet.run(2.0)
    idle = _bytes_per_second(fleet, 0.0)
    _bytes_per_second(fleet, 1.0)
    return idle, _bytes_per_second(fleet, 1.0)


def _bytes_per_second(fleet: ServingFleet, share: float) -> float:
    """Runs for some seconds and returns bytes/s of the busiest router.

    Args:
        fleet: The fleet to run.
        share: Probability that a router is offered a request in a step.
    """
    fleet.sent_bytes.clear()
    duration_seconds = 6.0
    for _ in range(int(duration_seconds / STEP_SECONDS)):
        for member_id in fleet.member_ids:
            if fleet.rng.random() < share:
                fleet.submit_request(member_id, run_seconds=RUN_SECONDS)
        fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
    return max(fleet.sent_bytes.values(), default=0) / duration_seconds


def measure_ledger_core_share(runner_count: int) -> float:
    """Returns the share of a core that the ledger uses in one router.

    Each router is offered a request in each step of `STEP_SECONDS`. Only the
    processor time of `Credits` is counted.
    """
    fleet = make_fleet(shares=True, runner_count=runner_count)
    spent_seconds = [0.0]

    def add_time(call: Callable[..., None]) -> Callable[..., None]:
        """Wraps a method to add its processor time to `spent_seconds`."""

        def run(*arguments: object) -> None:
            started_seconds = time.process_time()
            call(*arguments)
            spent_seconds[0] += time.process_time() - started_seconds

        return run

    for credits in fleet.credits.values():
        setattr(credits, "step", add_time(credits.step))  # noqa: B010
        setattr(credits, "receive", add_time(credits.receive))  # noqa: B010
    _bytes_per_second(fleet, 1.0)
    spent_seconds[0] = 0.0
    started_seconds = fleet.clock.monotonic_seconds()
    _bytes_per_second(fleet, 1.0)
    elapsed_seconds = fleet.clock.monotonic_seconds() - started_seconds
    return spent_seconds[0] / elapsed_seconds / ROUTERS


def measure_restart_overshoot(down_seconds: float) -> float:
    """Restarts all runners under load, without notice to the routers.

    Returns:
        Highest number of requests in flight at a runner over its capacity at
        that time.
    """
    fleet = make_fleet(shares=True)
    run_overload(fleet)
    for fake in fleet.runners.values():
        fake.peak_utilisation = 0.0
        fake.restart(fleet.clock.monotonic_seconds(), down_seconds)
    for _ in range(200):
        for member_id in fleet.member_ids:
            fleet.submit_request(member_id, run_seconds=RUN_SECONDS)
        fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)
    return max(fake.peak_utilisation for fake in fleet.runners.values())


def main() -> None:
    """Runs all cases and prints one line for each."""
    logging.disable(logging.CRITICAL)
    # The baseline breaches invariants; they are counted, not raised.
    invariants.set_raise_on_breach(False)
    ideal_seconds = CAPACITY_DOUBLING_SECONDS * math.log2(
        FULL_SHARE * SLOTS / COLD_SLOTS
    )
    print(f"routers={ROUTERS} runners={RUNNERS} slots={SLOTS}")
    for name, shares in (("baseline", False), ("present", True)):
        breaches_before = invariants.breach_count(
            invariants.Invariant.COLD_LIMIT
        )
        worst_share, full_seconds = run_overload(make_fleet(shares=shares))
        breaches = invariants.breach_count(invariants.Invariant.COLD_LIMIT)
        print(
            f"case={name} worst_in_hand_over_borne={worst_share:.2f} "
            f"full_after_seconds={full_seconds:.2f} "
            f"ideal_seconds={ideal_seconds:.2f} "
            f"breaches_seen_by_router={breaches - breaches_before}"
        )
    for down_seconds in (0.0, 1.0, 6.0):
        worst_share = measure_restart_overshoot(down_seconds)
        print(
            f"case=silent_restart down_seconds={down_seconds:.0f} "
            f"worst_in_hand_over_borne={worst_share:.2f}"
        )
    for runner_count in (4, 20, 60):
        idle, loaded = measure_ledger_traffic(runner_count)
        print(
            f"case=traffic runners={runner_count} "
            f"idle_bytes_per_second={idle:.0f} "
            f"loaded_bytes_per_second={loaded:.0f} "
            f"ledger_core_share={measure_ledger_core_share(runner_count):.4f}"
        )


if __name__ == "__main__":
    main()
