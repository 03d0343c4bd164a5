"""Records what runners say about themselves in the headers of their answers.

Any answer may announce that the runner is leaving, and a 503 may ask for a
pause. Both concern the lifetime of the runner that answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.decision_log import log_state_change

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry
    from mulberrypaddle.fleet.announcement import RunnerAnnouncement
    from mulberrypaddle.serving.blackboard import Blackboard


def record_announcement(
    board: Blackboard, entry: RunnerEntry, announcement: RunnerAnnouncement
) -> None:
    """Records what an answer of a runner says about the runner.

    Args:
        board: Shared state of the router.
        entry: Entry of the addressed runner, as it was when the request was
            sent.
        announcement: What the answer says.
    """
    if announcement.leaving:
        _record_leaving(board, entry, announcement)
    if announcement.pause_seconds <= 0:
        return
    begins = board.pauses.record(
        entry.incarnation, announcement.pause_seconds, board.now()
    )
    if begins:
        log_state_change(
            "runner_paused",
            runner=entry.runner_id,
            started_at_ms=entry.started_at_ms,
            seconds=round(announcement.pause_seconds, 3),
            problem=announcement.pause_problem,
        )


def _record_leaving(
    board: Blackboard, entry: RunnerEntry, announcement: RunnerAnnouncement
) -> None:
    """Records that the runner that answered is leaving.

    If another runner answered at the address of the addressed one, that one is
    gone, and all entries with the address are recorded: the others are gone
    too, or are of the one that answered.
    """
    leaving = {entry.incarnation}
    if announcement.other_runner:
        for other in board.view:
            if other.address == entry.address:
                leaving.add(other.incarnation)
    for incarnation in leaving:
        record_leaving(board, incarnation, source="answer")


def record_leaving(
    board: Blackboard, incarnation: tuple[str, int | None], *, source: str
) -> None:
    """Records that a runner is leaving, and logs the first report of it.

    Args:
        board: Shared state of the router.
        incarnation: Lifetime of the runner.
        source: Where it was learned: `answer` or `router`.
    """
    if not board.view.record_leaving(incarnation, board.now()):
        return
    log_state_change(
        "runner_leaving",
        runner=incarnation[0],
        started_at_ms=incarnation[1],
        source=source,
    )
