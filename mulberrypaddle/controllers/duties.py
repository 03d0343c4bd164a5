"""Which router owns a duty now, and whether this router may act on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.tables import Membership
from mulberrypaddle.core.ownership import owner_of

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.ownership import Duty


def membership(context: Context) -> Membership:
    """Returns the membership, empty and lapsed before the first one."""
    return context.board.latest(
        keys.MEMBERSHIP,
        Membership(epoch=0, members={}, lease_until_seconds=float("-inf")),
    )


def owner(context: Context, duty: Duty) -> str | None:
    """Returns the member that owns a duty by the present membership."""
    return owner_of(duty, membership(context).members)


def may_act(context: Context, duty: Duty, now_seconds: float) -> bool:
    """Returns whether this router may act as the duty's owner.

    Ask directly before each act: the lease may have lapsed since. Within
    an unsettled earlier membership another owner may still act, so a duty
    that changed hands rests until that membership has settled.

    Args:
        context: This router's context.
        duty: The duty.
        now_seconds: Monotonic time of the act.
    """
    present = membership(context)
    if now_seconds >= present.lease_until_seconds:
        return False
    if owner_of(duty, present.members) != context.member_id:
        return False
    for past in present.unsettled:
        if now_seconds >= past.settled_at_seconds:
            continue
        if owner_of(duty, past.member_ids) != context.member_id:
            return False
    return True
