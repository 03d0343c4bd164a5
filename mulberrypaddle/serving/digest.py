"""One message for all in place of one from each router to each other.

In a small deployment every router sends its beat to every other. Messages grow
with the square of the routers, so that a larger one uses a hub: the owner of
the groups takes the beats of all and sends each router one digest of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.retry_budget import RetryCounts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.serving.beat import Beat

# Most routers that send their beats to one another directly: so many send
# about a thousand messages a second in all.
MOST_IN_MESH = 12


def merge_into(own: Beat, others: Iterable[Beat]) -> Beat:
    """Makes a router's own beat the digest of all.

    Args:
        own: Beat of the hub; it is changed.
        others: Last beats of the routers that it hears.

    Returns:
        The digest: counts are summed, sightings joined.
    """
    loads = dict(own.loads)
    waiting = dict(own.waiting)
    stalled = dict(own.stalled)
    failing = set(own.failing)
    silent = set(own.silent)
    losses = {mark: set(runners) for mark, runners in own.losses.items()}
    routers = 1
    for beat in others:
        routers += 1
        for runner_id, count in beat.loads.items():
            loads[runner_id] = loads.get(runner_id, 0) + count
        for model, count in beat.waiting.items():
            waiting[model] = waiting.get(model, 0) + count
        for runner_id, age_ms in beat.stalled.items():
            stalled[runner_id] = min(stalled.get(runner_id, age_ms), age_ms)
        failing.update(beat.failing)
        silent.update(beat.silent)
        for mark, runners in beat.losses.items():
            losses.setdefault(mark, set()).update(runners)
    own.loads = loads
    own.waiting = waiting
    own.stalled = stalled
    own.failing = sorted(failing)
    own.silent = sorted(silent)
    own.losses = {mark: sorted(runners) for mark, runners in losses.items()}
    own.routers = routers
    return own


def sum_retries(beats: Iterable[Beat]) -> dict[str, RetryCounts]:
    """Sums up what routers have sent, by service."""
    total: dict[str, RetryCounts] = {}
    for beat in beats:
        for service, (firsts, repeats) in beat.retries.items():
            counts = total.setdefault(service, RetryCounts())
            counts.add(RetryCounts(firsts, repeats))
    return total


def without_own(total: dict[str, int], told: dict[str, int]) -> dict[str, int]:
    """Returns the counts of the other routers, without zeros.

    Args:
        total: Counts of all, as a digest gives them.
        told: Own counts as they were last told to the hub.
    """
    others: dict[str, int] = {}
    for runner_id, count in total.items():
        left = count - told.get(runner_id, 0)
        if left > 0:
            others[runner_id] = left
    return others
