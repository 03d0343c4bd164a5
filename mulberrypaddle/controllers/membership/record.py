"""The membership record as a value: parsing, changing, looking back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf import json_format

from mulberrypaddle.blackboard.values import Member
from mulberrypaddle.core.rendezvous import Duty, rank_members
from mulberrypaddle.peers.proto.membership_pb2 import (
    MemberEntry,
    MembershipChange,
    MembershipRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

# Changes that are kept even when all earlier leases have lapsed.
MIN_CHANGES = 8
_HOLDERS_DUTY = Duty("membership", "holders")


class PastEpoch:
    """Who could own duties at an earlier epoch.

    Attributes:
        epoch: Which epoch.
        members: By member id; those that had stopped acting left out.
    """

    __slots__ = ("epoch", "members")

    def __init__(self, epoch: int, members: dict[str, MemberEntry]) -> None:
        self.epoch = epoch
        self.members = members


def parse_record(value: bytes) -> MembershipRecord:
    """Returns the record in an object's value; empty for an absent one.

    Raises:
        json_format.ParseError: If the value is no record.
    """
    if not value:
        return MembershipRecord()
    return json_format.Parse(
        value, MembershipRecord(), ignore_unknown_fields=True
    )


def format_record(record: MembershipRecord) -> bytes:
    """Returns the value to store for a record."""
    text = json_format.MessageToJson(
        record, preserving_proto_field_name=True, indent=None
    )
    return text.encode()


def members_of(record: MembershipRecord) -> dict[str, MemberEntry]:
    """Returns the entries of a record by member id."""
    return {entry.member_id: entry for entry in record.members}


def change_record(
    record: MembershipRecord,
    *,
    added: Iterable[MemberEntry] = (),
    removed: Iterable[MemberEntry] = (),
    stopped: bool = False,
    write_id: str,
    oldest_unsettled_epoch: int,
) -> MembershipRecord:
    """Returns the record of the next epoch.

    Args:
        record: The present record.
        added: New entries.
        removed: Entries that go.
        stopped: Whether those that go have stopped acting.
        write_id: Names this write.
        oldest_unsettled_epoch: Earliest epoch whose owners may still act;
            changes from it on are kept for those that join later.
    """
    members = members_of(record)
    change = MembershipChange(
        epoch=record.epoch + 1,
        added=added,
        removed=removed,
        stopped=stopped,
    )
    for entry in change.removed:
        members.pop(entry.member_id, None)
    for entry in change.added:
        members[entry.member_id] = entry
    changes = []
    for index, old in enumerate(record.changes):
        recent = index >= len(record.changes) - MIN_CHANGES
        if recent or old.epoch > oldest_unsettled_epoch:
            changes.append(old)
    changes.append(change)
    return MembershipRecord(
        epoch=change.epoch,
        members=[members[member_id] for member_id in sorted(members)],
        changes=changes,
        write_id=write_id,
    )


def past_epochs(record: MembershipRecord) -> list[PastEpoch]:
    """Returns the earlier epochs that the record tells of, latest first."""
    members = members_of(record)
    past = []
    for change in reversed(record.changes):
        members = dict(members)
        for entry in change.added:
            members.pop(entry.member_id, None)
        if not change.stopped:
            for entry in change.removed:
                members[entry.member_id] = entry
        past.append(PastEpoch(change.epoch - 1, members))
    return past


def stopped_entries(record: MembershipRecord) -> dict[str, MemberEntry]:
    """Returns the latest entry of each member that left after stopping."""
    stopped = {}
    for change in record.changes:
        if not change.stopped:
            continue
        for entry in change.removed:
            stopped[entry.member_id] = entry
    return stopped


def rank_holders(record: MembershipRecord) -> list[str]:
    """Returns all member ids, those that should hold leases first."""
    return rank_members(_HOLDERS_DUTY, members_of(record))


def to_member(entry: MemberEntry) -> Member:
    """Returns an entry in the form that the blackboard shows."""
    return Member(
        entry.member_id,
        incarnation=entry.incarnation,
        address=entry.address,
        data_centre=entry.data_centre,
    )
