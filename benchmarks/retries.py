"""Measures the extra load of retries while a share of the runners fails.

Baseline: up to three attempts for each request, without a retry budget.
"""

from __future__ import annotations

from tests.support.retry_load import run_load

SEEDS = range(5)
FAILING_SHARES = (0.1, 0.3, 0.6)


def measure(failing_share: float, *, three_tries: bool) -> None:
    """Prints the extra load and the answered requests over all seeds.

    Args:
        failing_share: Share of the runners that fails every attempt.
        three_tries: Whether to measure the baseline.
    """
    worst_extra_share = 0.0
    answered = 0
    offered = 0
    on_healthy = 0
    for seed in SEEDS:
        count = run_load(
            seed=seed, failing_share=failing_share, three_tries=three_tries
        )
        worst_extra_share = max(worst_extra_share, count.extra_share)
        answered += count.answered
        offered += count.offered
        on_healthy += count.on_healthy
    print(
        f"way={'baseline' if three_tries else 'present'} "
        f"failing_share={failing_share} offered={offered} "
        f"worst_extra_share={worst_extra_share:.3f} "
        f"answered_share={answered / offered:.3f} "
        f"on_healthy_share={on_healthy / offered:.3f}"
    )


def main() -> None:
    """Measures each share of failing runners with and without the budget."""
    for failing_share in FAILING_SHARES:
        measure(failing_share, three_tries=True)
        measure(failing_share, three_tries=False)


if __name__ == "__main__":
    main()
