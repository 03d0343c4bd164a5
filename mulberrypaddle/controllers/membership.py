"""Membership of the routers."""

from __future__ import annotations

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.tables import Health, Member, Membership
from mulberrypaddle.controllers.base import Context, Controller

LEASE_SECONDS = 6.0


class SoloMembership(Controller):
    """A membership of this router alone."""

    name = "membership"

    def __init__(self, context: Context, *, peer_address: str) -> None:
        super().__init__(context)
        self._member = Member(
            context.member_id,
            incarnation=context.incarnation,
            address=peer_address,
            data_centre=context.data_centre,
        )
        self._stopping = False

    def step(self, now_seconds: float) -> None:
        """Renews the membership."""
        self.context.board.write(
            keys.MEMBERSHIP,
            Membership(
                epoch=1,
                members={self._member.member_id: self._member},
                lease_until_seconds=now_seconds + LEASE_SECONDS,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )
        self.context.board.write(
            keys.HEALTH,
            Health(
                store_reachable=True,
                peers_reachable=0,
                stopping=self._stopping,
                isolated=False,
            ),
            writer=self.name,
            now_seconds=now_seconds,
        )

    def stop(self, now_seconds: float) -> None:
        """Shows on the blackboard that this router stops."""
        self._stopping = True
