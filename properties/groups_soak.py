"""Runs the property test of groups over many seeds.

Run as `python -m properties.groups_soak [RUNS] [FIRST_SEED]`. Prints the seeds
that failed and one key=value line with the totals.
"""

from __future__ import annotations

import random
import sys

from properties.test_groups import EVENT_KINDS, check_repair

DEFAULT_RUNS = 200
MAX_EVENTS = 20


def random_events(rng: random.Random) -> list[tuple[str, int, float]]:
    """Returns events as kind, number of the target, and seconds to wait."""
    events = []
    for _ in range(rng.randint(4, MAX_EVENTS)):
        events.append(
            (
                rng.choice(EVENT_KINDS),
                rng.randrange(1000),
                rng.uniform(0.2, 7.0),
            )
        )
    return events


def main(runs: int, first_seed: int) -> int:
    """Runs the seeds and returns the number of failed runs."""
    failed = 0
    for seed in range(first_seed, first_seed + runs):
        rng = random.Random(seed)
        events = random_events(rng)
        try:
            check_repair(events, seed, checks_fencing=seed % 2 == 0)
        except AssertionError as error:
            failed += 1
            print(f"failed seed={seed} detail={str(error)!r}", flush=True)
    print(f"runs={runs} first_seed={first_seed} failed={failed}")
    return failed


if __name__ == "__main__":
    arguments = [int(text) for text in sys.argv[1:]]
    sys.exit(min(1, main(*(arguments + [DEFAULT_RUNS, 0][len(arguments) :]))))
