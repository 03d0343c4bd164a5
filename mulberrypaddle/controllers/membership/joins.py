"""Routers that asked a lease holder to be added to the record."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.controllers.membership.view import RecordView
    from mulberrypaddle.peers.proto.membership_pb2 import MemberEntry

# A router that still wants to join asks again sooner than this.
_WISH_SECONDS = 5.0


class Joins:
    """Keeps each wish until the record lists the router or it is old."""

    def __init__(self, view: RecordView) -> None:
        self._view = view
        self._entries: dict[str, MemberEntry] = {}
        self._asked_seconds: dict[str, float] = {}

    def take(self, sender: str, entry: MemberEntry, now_seconds: float) -> None:
        """Takes one wish; a router asks for itself only."""
        if entry.member_id != sender or self._is_listed(entry):
            return
        self._entries[sender] = entry
        self._asked_seconds[sender] = now_seconds

    def pending(self, now_seconds: float) -> list[MemberEntry]:
        """Returns the routers to be added."""
        for member_id, entry in list(self._entries.items()):
            age_seconds = now_seconds - self._asked_seconds[member_id]
            if age_seconds > _WISH_SECONDS or self._is_listed(entry):
                del self._entries[member_id]
                del self._asked_seconds[member_id]
        return list(self._entries.values())

    def _is_listed(self, entry: MemberEntry) -> bool:
        known = self._view.members.get(entry.member_id)
        return known is not None and known.incarnation >= entry.incarnation
