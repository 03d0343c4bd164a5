"""Which routers hold credit of which runner.

Each runner names its holders by rendezvous hashing over the members, those
of its own data centre first, so that a change of members moves little and
no runner is left without a holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.core.rendezvous import Duty, rank_members

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.blackboard.values import Membership
    from mulberrypaddle.core.fleet import Runner

HOLDERS_PER_RUNNER = 6
# Of these at most so many stand in the runner's own data centre.
NEAR_HOLDERS = 4
# A router has about so many runners of each service at least.
RUNNERS_PER_SERVICE = 4


def holder_count(member_count: int, runner_count: int) -> int:
    """Returns how many routers hold credit of one runner of a service."""
    if runner_count == 0:
        return 0
    needed = -(-member_count * RUNNERS_PER_SERVICE // runner_count)
    return min(max(HOLDERS_PER_RUNNER, needed), member_count)


def holders_of(runner: Runner, present: Membership, count: int) -> list[str]:
    """Returns the members that hold credit of a runner."""
    ranked = rank_members(Duty("holder", runner.runner_id), present.members)
    if count >= len(ranked):
        return ranked
    chosen: list[str] = []
    for member_id in ranked:
        member = present.members[member_id]
        if len(chosen) >= min(NEAR_HOLDERS, count):
            break
        if member.data_centre == runner.data_centre:
            chosen.append(member_id)
    for member_id in ranked:
        if len(chosen) >= count:
            break
        if member_id not in chosen:
            chosen.append(member_id)
    return chosen


def held_runners(
    member_id: str, present: Membership, runners: Iterable[Runner]
) -> list[Runner]:
    """Returns the runners of one service that a router may send to."""
    listed = list(runners)
    count = holder_count(len(present.members), len(listed))
    if count >= len(present.members):
        return listed
    held = []
    for runner in listed:
        if member_id in holders_of(runner, present, count):
            held.append(runner)
    return held
