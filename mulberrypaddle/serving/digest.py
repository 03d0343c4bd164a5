"""Aggregates the heartbeats of many routers into one message.

In a large fleet one router of each data centre is its relay. It sends a summary
of its data centre to the relays of the others, and a digest of the whole fleet
to the routers of its data centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.crash_attribution import latest_ages
from mulberrypaddle.dispatch.loss_reports import merge_loss_reports
from mulberrypaddle.dispatch.rank_reports import keep_largest_uses
from mulberrypaddle.dispatch.retry_budget import RetryCounts
from mulberrypaddle.serving.heartbeat import SCOPE_DATA_CENTRE, SCOPE_FLEET

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.serving.heartbeat import Heartbeat
    from mulberrypaddle.serving.peer import Peer

# Most addresses of other routers in a digest.
MAX_KNOWN_ADDRESSES = 16


def aggregate_data_centre(
    relay_heartbeat: Heartbeat, local: list[Peer], *, now_seconds: float
) -> Heartbeat:
    """Returns the summary of a data centre for the other relays.

    Args:
        relay_heartbeat: Heartbeat of the relay; it is modified.
        local: Other routers of the data centre that have not timed out.
        now_seconds: Monotonic time.
    """
    fresh = [peer.heartbeat for peer in local if peer.is_fresh(now_seconds)]
    summary = merge_heartbeats(relay_heartbeat, fresh, scope=SCOPE_DATA_CENTRE)
    _add_retry_counts(summary, (peer.heartbeat for peer in local))
    # Counts routers that just fell silent: they may have restarted.
    summary.routers = 1 + len(local)
    return summary


def aggregate_fleet(
    relay_heartbeat: Heartbeat,
    local: list[Peer],
    summaries: list[Peer],
    *,
    now_seconds: float,
) -> Heartbeat:
    """Returns the digest of the fleet for the routers of a data centre.

    Args:
        relay_heartbeat: Heartbeat of the relay; it is modified.
        local: Other routers of the data centre that have not timed out.
        summaries: Summaries of the other data centres.
        now_seconds: Monotonic time.
    """
    fresh = [peer.heartbeat for peer in local if peer.is_fresh(now_seconds)]
    others = [
        peer.heartbeat for peer in summaries if peer.is_fresh(now_seconds)
    ]
    digest = merge_heartbeats(
        relay_heartbeat, [*fresh, *others], scope=SCOPE_FLEET
    )
    _add_retry_counts(digest, (peer.heartbeat for peer in [*local, *summaries]))
    by_capacity = sorted(
        fresh, key=lambda heartbeat: (-heartbeat.capacity, heartbeat.ip)
    )
    digest.known = [
        heartbeat.ip for heartbeat in by_capacity[:MAX_KNOWN_ADDRESSES]
    ]
    candidates = [
        heartbeat.ip for heartbeat in by_capacity if heartbeat.capacity > 0
    ]
    digest.successor = candidates[0] if candidates else ""
    return digest


def _add_retry_counts(
    total: Heartbeat, heartbeats: Iterable[Heartbeat]
) -> None:
    """Adds the retry counts of all given heartbeats to an aggregate.

    Callers pass routers that recently fell silent too: their attempts still
    lie within the window of the retry budget.
    """
    for service, counts in aggregate_retry_counts(heartbeats).items():
        first_attempts, retry_attempts = total.retries.get(service, (0, 0))
        total.retries[service] = (
            first_attempts + counts.first_attempts,
            retry_attempts + counts.retry_attempts,
        )


def merge_heartbeats(
    relay_heartbeat: Heartbeat, others: Iterable[Heartbeat], *, scope: str
) -> Heartbeat:
    """Merges the heartbeats of other routers into that of the relay.

    Counts are added, and sets of observed runners are united. Retry counts are
    not merged here, nor are crashes, since the relay reports all that it knows.

    Args:
        relay_heartbeat: Heartbeat of the relay; it is modified.
        others: Last heartbeats of other routers, or aggregates of them.
        scope: Which routers the result covers.

    Returns:
        The modified heartbeat of the relay.
    """
    loads = dict(relay_heartbeat.loads)
    waiting = dict(relay_heartbeat.waiting)
    demand = dict(relay_heartbeat.demand)
    opening = dict(relay_heartbeat.opening)
    stalled = dict(relay_heartbeat.stalled)
    claims = dict(relay_heartbeat.claims)
    cleared = dict(relay_heartbeat.cleared)
    resigned = {
        process: dict(revisions)
        for process, revisions in relay_heartbeat.resigned.items()
    }
    failing = set(relay_heartbeat.failing)
    silent = set(relay_heartbeat.silent)
    losses = [relay_heartbeat.losses]
    routers = relay_heartbeat.routers
    for heartbeat in others:
        routers += heartbeat.routers
        _add_counts(loads, heartbeat.loads)
        _add_counts(waiting, heartbeat.waiting)
        for model, slots in heartbeat.demand.items():
            demand[model] = round(demand.get(model, 0.0) + slots, 3)
        _merge_minimums(opening, heartbeat.opening)
        _merge_minimums(stalled, heartbeat.stalled)
        _merge_minimums(cleared, heartbeat.cleared)
        for duty, claim in heartbeat.claims.items():
            claims.setdefault(duty, claim)
        for process, revisions in heartbeat.resigned.items():
            known = resigned.setdefault(process, {})
            for duty, revision in revisions.items():
                known[duty] = max(revision, known.get(duty, 0))
        failing.update(heartbeat.failing)
        silent.update(heartbeat.silent)
        losses.append(heartbeat.losses)
    relay_heartbeat.loads = loads
    relay_heartbeat.waiting = keep_largest_uses(waiting)
    relay_heartbeat.demand = demand
    relay_heartbeat.opening = opening
    relay_heartbeat.stalled = stalled
    relay_heartbeat.cleared = latest_ages(cleared)
    relay_heartbeat.claims = claims
    relay_heartbeat.resigned = resigned
    relay_heartbeat.failing = sorted(failing)
    relay_heartbeat.silent = sorted(silent)
    relay_heartbeat.losses = merge_loss_reports(losses)
    relay_heartbeat.routers = routers
    relay_heartbeat.scope = scope
    return relay_heartbeat


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    """Adds each count to the total under the same key."""
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


def _merge_minimums(minimums: dict[str, int], values: dict[str, int]) -> None:
    """Lowers each minimum to the value under the same key, if lower."""
    for name, value in values.items():
        minimums[name] = min(minimums.get(name, value), value)


def aggregate_retry_counts(
    heartbeats: Iterable[Heartbeat],
) -> dict[str, RetryCounts]:
    """Returns the sums of first attempts and retries, by service."""
    total: dict[str, RetryCounts] = {}
    for heartbeat in heartbeats:
        for service, (
            first_attempts,
            retry_attempts,
        ) in heartbeat.retries.items():
            counts = total.setdefault(service, RetryCounts())
            counts.add(RetryCounts(first_attempts, retry_attempts))
    return total


def subtract_local(
    total: dict[str, int], local: dict[str, int]
) -> dict[str, int]:
    """Returns the counts of all other routers, without those at zero.

    Args:
        total: Counts of all routers, from a digest.
        local: This router's counts as last sent to the relay.
    """
    others: dict[str, int] = {}
    for name, count in total.items():
        remaining = count - local.get(name, 0)
        if remaining > 0:
            others[name] = remaining
    return others
