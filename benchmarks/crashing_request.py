"""Measures runners lost to a request that crashes each one that runs it.

A caller sends the same crashing content 50 times under new request ids,
through seven routers, among harmless requests. Baseline: the same routers
without quarantine of the content.
"""

from __future__ import annotations

from tests.support.crash_fleet import CrashFleet, send_again

SEEDS = range(4)
SENDS = 50
HARMLESS_PER_SECOND = 150.0


def measure(runners: int, *, protects: bool) -> None:
    """Prints the runners lost over all seeds.

    Args:
        runners: Number of runners at the start.
        protects: Whether routers quarantine content that crashes runners.
    """
    lost = []
    refused = 0
    failed = 0
    calls = 0
    for seed in SEEDS:
        fleet = CrashFleet(seed=seed, runners=runners, protects=protects)
        rate = HARMLESS_PER_SECOND * runners / 60
        send_again(fleet, times=SENDS, innocents_per_second=rate)
        lost.append(len(fleet.lost))
        refused += fleet.refused_innocents()
        calls += len(fleet.calls)
        for call in fleet.calls:
            failed += call.state == "failed" and call.request.body[:2] == b"in"
    print(
        f"way={'present' if protects else 'baseline'} runners={runners} "
        f"sent_again={SENDS} runners_lost={lost} most_lost={max(lost)} "
        f"calls={calls} innocents_refused={refused} innocents_failed={failed}"
    )


def main() -> None:
    """Measures both fleet sizes with and without quarantine."""
    for runners in (60, 6):
        measure(runners, protects=False)
        measure(runners, protects=True)


if __name__ == "__main__":
    main()
