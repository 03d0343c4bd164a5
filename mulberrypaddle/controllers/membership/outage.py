"""Going on through an outage of the object API, by everyone's consent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.membership.options import (
    LEASE_SECONDS,
    OUTAGE_MAX_SECONDS,
)
from mulberrypaddle.peers.proto.membership_pb2 import ConfirmOutage

if TYPE_CHECKING:
    from mulberrypaddle.peers.proto.membership_pb2 import (
        MemberEntry,
        MembershipRecord,
        OutageConfirmed,
    )

_ROUND_SECONDS = 1.0
_GIVE_UP_SECONDS = 3.0
_RESEND_SECONDS = 0.5


class OutageRound:
    """Asks every listed member once whether it sees the outage too.

    A round in which all confirm is worth one lease from its start, since a
    member that had moved on to a later epoch would not have confirmed.
    """

    def __init__(self, own: MemberEntry) -> None:
        self._own = own
        self._number = 0
        self._epoch = 0
        self._missing: dict[str, int] = {}
        self._started_seconds = float("-inf")
        self._next_send_seconds = 0.0
        self._open = False

    def reset(self) -> None:
        """Drops the round; answers to it count no more."""
        self._open = False

    def step(
        self, record: MembershipRecord, now_seconds: float
    ) -> list[tuple[str, ConfirmOutage]]:
        """Returns the questions to send now, by member id."""
        age_seconds = now_seconds - self._started_seconds
        if self._open and (
            age_seconds > _GIVE_UP_SECONDS or record.epoch != self._epoch
        ):
            self._open = False
        if not self._open:
            if age_seconds < _ROUND_SECONDS:
                return []
            self._begin(record, now_seconds)
        if now_seconds < self._next_send_seconds:
            return []
        self._next_send_seconds = now_seconds + _RESEND_SECONDS
        question = ConfirmOutage(
            number=self._number,
            epoch=self._epoch,
            incarnation=self._own.incarnation,
        )
        return [(member_id, question) for member_id in sorted(self._missing)]

    def take(self, sender: str, answer: OutageConfirmed) -> None:
        """Takes one answer; a refusal ends the round."""
        if not self._open or answer.number != self._number:
            return
        if sender not in self._missing:
            return
        if not answer.confirmed or answer.epoch != self._epoch:
            self._open = False
            return
        if answer.incarnation == self._missing[sender]:
            del self._missing[sender]

    def lease_until_seconds(self, proved_at_seconds: float) -> float:
        """Returns the end of the lease if all confirmed, and closes the round.

        Args:
            proved_at_seconds: When the object API last confirmed the epoch.
        """
        if not self._open or self._missing:
            return float("-inf")
        self._open = False
        return min(
            self._started_seconds + LEASE_SECONDS,
            proved_at_seconds + OUTAGE_MAX_SECONDS,
        )

    def _begin(self, record: MembershipRecord, now_seconds: float) -> None:
        self._number += 1
        self._epoch = record.epoch
        self._open = True
        self._started_seconds = now_seconds
        self._next_send_seconds = now_seconds
        self._missing = {}
        for entry in record.members:
            if entry.member_id != self._own.member_id:
                self._missing[entry.member_id] = entry.incarnation
