"""Builds the heartbeat of this router from its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.heartbeat import SCOPE_ROUTER, Heartbeat
from mulberrypaddle.serving.peer import PEER_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.peer import DutyStatus

# Most leaving runners that a heartbeat reports. Their entries soon say that
# they are draining, or are removed; then they aren't reported any more.
MAX_REPORTED_LEAVING = 64


def make_local_heartbeat(
    board: Blackboard,
    *,
    duty_status: DutyStatus,
    incarnation: str,
    capacity: int,
    revisions: dict[str, int],
    known: list[str],
    relays: dict[str, str],
    now_seconds: float,
) -> Heartbeat:
    """Returns a heartbeat that covers only this router.

    Args:
        board: Shared state of this router.
        duty_status: Duties that it holds, and whether it can reach the store.
        incarnation: Id of this process.
        capacity: Capacity for duties; 0 if it should hold none.
        revisions: Revision of the last change of each collection, by its name.
        known: Addresses of some other routers.
        relays: Address of the relay of each data centre.
        now_seconds: Loop time in seconds.
    """
    settings = board.settings
    retries = board.retries.counts(now_seconds)
    suspects = board.runner_health.recently_suspected(
        now_seconds, within_seconds=PEER_TIMEOUT_SECONDS
    )
    return Heartbeat(
        node=settings.node,
        incarnation=incarnation,
        ip=settings.ip,
        data_centre=settings.data_centre,
        capacity=capacity,
        revisions=revisions,
        loads=board.loads.local_counts,
        failing=board.runner_health.locally_ejected(now_seconds),
        silent=board.runner_health.locally_unreachable(now_seconds),
        stalled={
            runner_id: int(age_seconds * 1000)
            for runner_id, age_seconds in suspects.items()
        },
        losses=board.crashes.loss_reports(now_seconds),
        crashes={
            report.name: (int(report.age_seconds * 1000), sorted(report.parts))
            for report in board.crash_attribution.crash_reports(now_seconds)
        },
        cleared={
            name: int(age_seconds * 1000)
            for name, age_seconds in (
                board.crash_attribution.cleared_ages(now_seconds)
                | board.crashes.answered_ages(now_seconds)
            ).items()
        },
        waiting=board.waiting(),
        retries={
            service: (counts.first_attempts, counts.retry_attempts)
            for service, counts in retries.items()
        },
        demand={
            model: round(slots, 3)
            for model, slots in board.demand.local_slots(now_seconds).items()
        },
        known=known,
        opening=duty_status.opening,
        claims=duty_status.claims,
        resigned={incarnation: duty_status.resigned}
        if duty_status.resigned
        else {},
        watches=duty_status.watches_store,
        store_sight=duty_status.store_sight,
        store_sight_age_ms=duty_status.store_sight_age_ms,
        asks_for_store=duty_status.asks_for_store,
        scope=SCOPE_ROUTER,
        routers=1,
        fleet=board.live_routers,
        relays=relays,
        successor="",
        changes={},
        stopping=board.stopping,
        leaving=board.view.leaving_to_report(MAX_REPORTED_LEAVING),
    )
