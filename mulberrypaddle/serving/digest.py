"""One message for many routers in place of one from each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.retry_budget import RetryCounts
from mulberrypaddle.serving.beat import SCOPE_DATA_CENTRE, SCOPE_FLEET

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.serving.beat import Beat
    from mulberrypaddle.serving.peer import Peer

# Addresses of other routers in a message.
MOST_KNOWN = 16


def sum_data_centre(
    own: Beat, local: list[Peer], *, now_seconds: float
) -> Beat:
    """Returns what a relay tells the other relays of its data centre.

    Args:
        own: Beat of the relay; it is changed.
        local: Routers of the data centre that it remembers.
        now_seconds: Monotonic time.
    """
    heard = [peer.beat for peer in local if peer.is_fresh(now_seconds)]
    summary = merge_into(own, heard, scope=SCOPE_DATA_CENTRE)
    _count_all_retries(summary, (peer.beat for peer in local))
    # Those that just fell silent may have restarted, and send again.
    summary.routers = 1 + len(local)
    return summary


def sum_fleet(
    own: Beat,
    local: list[Peer],
    summaries: list[Peer],
    *,
    now_seconds: float,
) -> Beat:
    """Returns what a relay tells the routers of its data centre of all.

    Args:
        own: Beat of the relay; it is changed.
        local: Routers of the data centre that it remembers.
        summaries: Sums of the other data centres.
        now_seconds: Monotonic time.
    """
    heard = [peer.beat for peer in local if peer.is_fresh(now_seconds)]
    others = [peer.beat for peer in summaries if peer.is_fresh(now_seconds)]
    digest = merge_into(own, [*heard, *others], scope=SCOPE_FLEET)
    _count_all_retries(digest, (peer.beat for peer in [*local, *summaries]))
    fittest = sorted(heard, key=lambda beat: (-beat.capacity, beat.ip))
    digest.known = [beat.ip for beat in fittest[:MOST_KNOWN]]
    fit = [beat.ip for beat in fittest if beat.capacity > 0]
    digest.successor = fit[0] if fit else ""
    return digest


def _count_all_retries(total: Beat, beats: Iterable[Beat]) -> None:
    """Adds what others sent, those that lately fell silent counted too."""
    for service, counts in sum_retries(beats).items():
        firsts, repeats = total.retries.get(service, (0, 0))
        total.retries[service] = (
            firsts + counts.firsts,
            repeats + counts.repeats,
        )


def merge_into(own: Beat, others: Iterable[Beat], *, scope: str) -> Beat:
    """Makes a router's own beat the sum of many.

    Args:
        own: Beat of the relay; it is changed.
        others: Last beats of the routers that it hears, or sums of them.
        scope: Whom the sum speaks for.

    Returns:
        The sum: counts are added, sightings joined.
    """
    loads = dict(own.loads)
    waiting = dict(own.waiting)
    demand = dict(own.demand)
    opening = dict(own.opening)
    stalled = dict(own.stalled)
    claims = dict(own.claims)
    resigned = {process: dict(up_to) for process, up_to in own.resigned.items()}
    failing = set(own.failing)
    silent = set(own.silent)
    losses = {mark: set(runners) for mark, runners in own.losses.items()}
    routers = own.routers
    for beat in others:
        routers += beat.routers
        _add(loads, beat.loads)
        _add(waiting, beat.waiting)
        for model, slots in beat.demand.items():
            demand[model] = round(demand.get(model, 0.0) + slots, 3)
        _take_least(opening, beat.opening)
        _take_least(stalled, beat.stalled)
        for duty, claim in beat.claims.items():
            claims.setdefault(duty, claim)
        for process, up_to in beat.resigned.items():
            known = resigned.setdefault(process, {})
            for duty, revision in up_to.items():
                known[duty] = max(revision, known.get(duty, 0))
        failing.update(beat.failing)
        silent.update(beat.silent)
        for mark, runners in beat.losses.items():
            losses.setdefault(mark, set()).update(runners)
    own.loads = loads
    own.waiting = waiting
    own.demand = demand
    own.opening = opening
    own.stalled = stalled
    own.claims = claims
    own.resigned = resigned
    own.failing = sorted(failing)
    own.silent = sorted(silent)
    own.losses = {mark: sorted(runners) for mark, runners in losses.items()}
    own.routers = routers
    own.scope = scope
    return own


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


def _take_least(known: dict[str, int], told: dict[str, int]) -> None:
    for name, value in told.items():
        known[name] = min(known.get(name, value), value)


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
        told: Own counts as they were last told to the relay.
    """
    others: dict[str, int] = {}
    for name, count in total.items():
        left = count - told.get(name, 0)
        if left > 0:
            others[name] = left
    return others
