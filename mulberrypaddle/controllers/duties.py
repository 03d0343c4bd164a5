"""Which router owns a duty now, and whether this router may act on it."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import Membership
from mulberrypaddle.core.rendezvous import Duty, owner_of

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context

_MAX_CACHED_OWNERS = 65_536
_NOBODY = Membership(epoch=0, members={}, lease_until_seconds=float("-inf"))


@functools.lru_cache(maxsize=_MAX_CACHED_OWNERS)
def _owner(kind: str, name: str, member_ids: frozenset[str]) -> str | None:
    """Returns the owner, hashed once per duty and set of members."""
    return owner_of(Duty(kind, name), member_ids)


def membership(context: Context) -> Membership:
    """Returns the membership, empty and lapsed before the first one."""
    return context.board.latest(keys.MEMBERSHIP, _NOBODY)


def owner(context: Context, duty: Duty) -> str | None:
    """Returns the member that owns a duty by the present membership."""
    member_ids = membership(context).member_ids
    return _owner(duty.kind, duty.name, member_ids)


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
    own_id = context.member_id
    if _owner(duty.kind, duty.name, present.member_ids) != own_id:
        return False
    for past in present.unsettled:
        if now_seconds >= past.settled_at_seconds:
            continue
        if _owner(duty.kind, duty.name, past.member_ids) != own_id:
            return False
    return True
