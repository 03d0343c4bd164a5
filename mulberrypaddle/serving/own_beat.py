"""What a router tells the others of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.beat import SCOPE_ROUTER, Beat
from mulberrypaddle.serving.peer import SILENT_SECONDS

if TYPE_CHECKING:
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.peer import Claim

# Time for which losses of runners are told again.
TELL_LOSSES_SECONDS = 3.0


def make_own_beat(
    board: ServingBoard,
    *,
    claim: Claim,
    incarnation: str,
    capacity: int,
    revisions: dict[str, int],
    known: list[str],
    relays: dict[str, str],
    now_seconds: float,
) -> Beat:
    """Returns a beat of this router alone.

    Args:
        board: What its parts read and write.
        claim: What it says of its duties and of the store.
        incarnation: Id of this process.
        capacity: Fitness for duties; 0 if it should have none.
        revisions: Revision of each of its feeds, by collection.
        known: Addresses of some other routers.
        relays: Address of the relay of each data centre.
        now_seconds: Loop time in seconds.
    """
    settings = board.settings
    retries = board.retries.counts(now_seconds)
    suspects = board.soundness.suspects(
        now_seconds, within_seconds=SILENT_SECONDS
    )
    return Beat(
        node=settings.node,
        incarnation=incarnation,
        ip=settings.ip,
        data_centre=settings.data_centre,
        capacity=capacity,
        revisions=revisions,
        loads=board.loads.own,
        failing=board.soundness.own_failing(now_seconds),
        silent=board.soundness.own_silent(now_seconds),
        stalled={
            runner_id: int(age_seconds * 1000)
            for runner_id, age_seconds in suspects.items()
        },
        losses=board.crashes.recent(
            now_seconds, since_seconds=TELL_LOSSES_SECONDS
        ),
        waiting=board.waiting(),
        retries={
            service: (counts.firsts, counts.repeats)
            for service, counts in retries.items()
        },
        demand={
            model: round(slots, 3)
            for model, slots in board.demand.own_slots(now_seconds).items()
        },
        known=known,
        opening=claim.opening,
        claims=claim.claims,
        resigned={incarnation: claim.resigned} if claim.resigned else {},
        watches=claim.reads,
        store_sight=claim.store_sight,
        store_sight_age_ms=claim.store_sight_age_ms,
        asks_for_store=claim.asks_for_store,
        scope=SCOPE_ROUTER,
        routers=1,
        fleet=board.live_routers,
        relays=relays,
        successor="",
        changes={},
        stopping=board.stopping,
    )
