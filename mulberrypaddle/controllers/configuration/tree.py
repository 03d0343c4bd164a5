"""The tree along which an update passes through the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.core.rendezvous import Duty, rank_members

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.values import Membership

# Children of each router; seven routers are one level deep.
FANOUT = 6
_TREE_DUTY = Duty("configuration", "tree")


class SpreadTree:
    """Same order of the members at every router of one epoch."""

    def __init__(self) -> None:
        self._epoch = -1
        self._order: list[str] = []

    def children(
        self, membership: Membership, *, origin: str, member_id: str
    ) -> list[str]:
        """Returns to whom a router passes an update on.

        Args:
            membership: The present members.
            origin: Root of the tree.
            member_id: The router.
        """
        if membership.epoch != self._epoch:
            self._epoch = membership.epoch
            self._order = rank_members(_TREE_DUTY, membership.members)
        order = [origin]
        for other_id in self._order:
            if other_id != origin:
                order.append(other_id)
        if member_id not in order:
            return []
        first = FANOUT * order.index(member_id) + 1
        return order[first : first + FANOUT]
