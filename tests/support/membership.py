"""A membership that tests set by hand."""

from __future__ import annotations

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.values import (
    EarlierMembership,
    Member,
    Membership,
)
from mulberrypaddle.controllers import Context, Controller


class FixedMembership(Controller):
    """Writes the member ids that it was told, with a lease always fresh."""

    name = "membership"

    def __init__(
        self,
        context: Context,
        member_ids: list[str],
        *,
        lease_seconds: float = 6.0,
        epoch: int = 1,
        unsettled: tuple[EarlierMembership, ...] = (),
    ) -> None:
        super().__init__(context)
        self.epoch = epoch
        self.lease_seconds = lease_seconds
        self.renews = True
        self._lease_until_seconds = 0.0
        self._member_ids = list(member_ids)
        self._unsettled = unsettled

    def change(self, member_ids: list[str]) -> None:
        """Changes the members; the old ones settle after a lease."""
        settled_at_seconds = self.context.now_seconds() + self.lease_seconds
        past = EarlierMembership(
            frozenset(self._member_ids), settled_at_seconds
        )
        self._unsettled = (*self._unsettled, past)
        self._member_ids = list(member_ids)
        self.epoch += 1

    def adopt(
        self,
        member_ids: list[str],
        *,
        epoch: int,
        unsettled: tuple[EarlierMembership, ...],
    ) -> None:
        """Takes over a membership that others agreed on meanwhile."""
        self._member_ids = list(member_ids)
        self.epoch = epoch
        self._unsettled = unsettled

    def step(self, now_seconds: float) -> None:
        if self.renews:
            self._lease_until_seconds = now_seconds + self.lease_seconds
        members = {}
        for member_id in self._member_ids:
            members[member_id] = Member(
                member_id, incarnation=1, address="", data_centre="a"
            )
        self.context.board.write(
            keys.MEMBERSHIP,
            Membership(
                epoch=self.epoch,
                members=members,
                lease_until_seconds=self._lease_until_seconds,
                unsettled=self._unsettled,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )
