"""This router's lease by its own monotonic clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.membership.options import LEASE_SECONDS

if TYPE_CHECKING:
    from mulberrypaddle.controllers.membership.options import MembershipOptions
    from mulberrypaddle.peers.proto.membership_pb2 import LeaseRenewed

_NEVER = float("-inf")
# Renewals whose sending time is remembered.
_MAX_ASKED = 32


class Lease:
    """Until when this router may act, and on the strength of what.

    Attributes:
        proved_at_seconds: When the call or question was sent whose answer
            last traced back to the object API.
    """

    def __init__(self, options: MembershipOptions) -> None:
        self.proved_at_seconds = _NEVER
        self._options = options
        self._proved_until_seconds = _NEVER
        self._outage_until_seconds = _NEVER
        self._trusted_since_seconds = _NEVER
        self._asked: dict[int, float] = {}
        self._number = 0

    @property
    def until_seconds(self) -> float:
        """Returns the monotonic time at which the lease lapses."""
        return max(self._proved_until_seconds, self._outage_until_seconds)

    @property
    def stands_on_outage(self) -> bool:
        """Returns whether the lease's end comes from confirmations."""
        return self._outage_until_seconds > self._proved_until_seconds

    def ask(self, now_seconds: float) -> int:
        """Returns a number for a renewal that is sent now."""
        self._number += 1
        self._asked[self._number] = now_seconds
        self._asked.pop(self._number - _MAX_ASKED, None)
        return self._number

    def prove(
        self, sent_seconds: float, term_seconds: float, now_seconds: float
    ) -> None:
        """Extends the lease by a proof that was asked for at a time.

        Args:
            sent_seconds: When the question was sent.
            term_seconds: What the proof is worth from then on.
            now_seconds: When the answer came.
        """
        if not self._options.lease_from_send:
            sent_seconds = now_seconds
        if sent_seconds < self._trusted_since_seconds:
            return
        self.proved_at_seconds = max(self.proved_at_seconds, sent_seconds)
        self._proved_until_seconds = max(
            self._proved_until_seconds, sent_seconds + term_seconds
        )

    def renewed(self, answer: LeaseRenewed, now_seconds: float) -> None:
        """Takes a lease holder's answer."""
        sent_seconds = self._asked.get(answer.number)
        term_seconds = min(answer.remaining_seconds, LEASE_SECONDS)
        if sent_seconds is None or term_seconds <= 0:
            return
        if not answer.during_outage:
            self.prove(sent_seconds, term_seconds, now_seconds)
            return
        if sent_seconds >= self._trusted_since_seconds:
            self.extend_through_outage(sent_seconds + term_seconds)

    def extend_through_outage(self, until_seconds: float) -> None:
        """Extends the lease by every listed member's confirmation."""
        self._outage_until_seconds = max(
            self._outage_until_seconds, until_seconds
        )

    def drop_outage(self) -> None:
        """Ends what confirmations gave, since they hold for one epoch."""
        self._outage_until_seconds = _NEVER

    def void(self, now_seconds: float) -> None:
        """Ends the lease; answers to earlier questions renew it no more."""
        self._trusted_since_seconds = now_seconds
        self._proved_until_seconds = _NEVER
        self._outage_until_seconds = _NEVER
