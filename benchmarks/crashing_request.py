"""Measures runners lost to a request that crashes each one that runs it.

Its caller sends it 50 times under new ids, through seven routers, among
innocent requests. Baseline: the same routers without quarantine.
"""

from __future__ import annotations

from tests.support.crash_fleet import CrashFleet, send_again

SEEDS = range(4)
TIMES = 50
INNOCENTS_PER_SECOND = 150.0


def measure(runners: int, *, protects: bool) -> None:
    """Prints runners lost over all seeds."""
    lost = []
    refused = 0
    failed = 0
    calls = 0
    for seed in SEEDS:
        fleet = CrashFleet(seed=seed, runners=runners, protects=protects)
        rate = INNOCENTS_PER_SECOND * runners / 60
        send_again(fleet, times=TIMES, innocents_per_second=rate)
        lost.append(len(fleet.lost))
        refused += fleet.refused_innocents()
        calls += len(fleet.calls)
        for call in fleet.calls:
            failed += call.state == "failed" and call.request.body[:2] == b"in"
    print(
        f"way={'present' if protects else 'baseline'} runners={runners} "
        f"sent_again={TIMES} runners_lost={lost} most_lost={max(lost)} "
        f"calls={calls} innocents_refused={refused} innocents_failed={failed}"
    )


def main() -> None:
    """Runs the whole measurement."""
    for runners in (60, 6):
        measure(runners, protects=False)
        measure(runners, protects=True)


if __name__ == "__main__":
    main()
