"""The record in force at this router, and what follows from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.membership.options import HOLDERS, MANY_MEMBERS
from mulberrypaddle.controllers.membership.record import (
    members_of,
    rank_holders,
    stopped_entries,
    to_member,
)
from mulberrypaddle.peers.proto.membership_pb2 import MembershipRecord

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.values import Member
    from mulberrypaddle.peers.proto.membership_pb2 import MemberEntry


class RecordView:
    """Derives once per epoch what is asked at every step.

    Attributes:
        own: This router's entry.
        record: The record in force here.
        version: Version of its object.
        members: Its entries by member id.
        ranked: All member ids, lease holders first.
        shown_members: The members as the blackboard shows them.
        shown_departed: Members that left lately, in the same form.
    """

    def __init__(self, own: MemberEntry) -> None:
        self.own = own
        self.record = MembershipRecord()
        self.version = 0
        self.members: dict[str, MemberEntry] = {}
        self.ranked: list[str] = []
        self.shown_members: dict[str, Member] = {}
        self.shown_departed: dict[str, Member] = {}

    @property
    def epoch(self) -> int:
        """Returns the epoch in force here; zero before the first."""
        return int(self.record.epoch)

    @property
    def holders(self) -> list[str]:
        """Returns the lease holders."""
        return self.ranked[:HOLDERS]

    @property
    def is_listed(self) -> bool:
        """Returns whether this very process is a member."""
        return self.members.get(self.own.member_id) == self.own

    @property
    def is_superseded(self) -> bool:
        """Returns whether a later process has taken this router's name."""
        entry = self.members.get(self.own.member_id)
        return entry is not None and entry.incarnation > self.own.incarnation

    @property
    def is_holder(self) -> bool:
        """Returns whether this router is a lease holder."""
        return self.own.member_id in self.holders

    @property
    def has_many(self) -> bool:
        """Returns whether there are so many members that all slow down."""
        return len(self.members) > MANY_MEMBERS

    def others(self, member_ids: list[str]) -> list[str]:
        """Returns the ids without this router's."""
        return [name for name in member_ids if name != self.own.member_id]

    def take(self, record: MembershipRecord, version: int) -> None:
        """Puts a record in force."""
        self.record = record
        self.version = version
        self.members = members_of(record)
        self.ranked = rank_holders(record)
        self.shown_members = {}
        for member_id, entry in self.members.items():
            self.shown_members[member_id] = to_member(entry)
        self.shown_departed = {}
        for member_id, entry in stopped_entries(record).items():
            if member_id not in self.members:
                self.shown_departed[member_id] = to_member(entry)
