"""Going on without a lease, with the consent of a majority.

A membership renews its leases through an outage of the object API only while
every member confirms it, so one lost router would end all granting. Credit is
used by routers alone, which tells more than the record can: an owner goes on
while a majority of its members asks it under the same epoch, and a new owner
opens no pool until a majority of the earlier members asks it under the later
epoch and what the earlier owner could grant has expired. Two majorities of
one list share a member, and no member goes back to an earlier epoch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.credits.terms import (
    GOES_ON_SECONDS,
    GRANT_SECONDS,
    MARGIN_SECONDS,
    PATIENCE_SECONDS,
    QUORUM_SECONDS,
    SILENT_SECONDS,
    Protections,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.rendezvous import Duty


def is_majority(count: int, total: int) -> bool:
    """Returns whether `count` of `total` members are more than half."""
    return 2 * count > total


class Quorum:
    """Who has asked this owner, under which epoch, and how lately."""

    __slots__ = (
        "_complete",
        "_context",
        "_earlier",
        "_heard_seconds",
        "_highest_epoch",
        "_majority_since_seconds",
        "_protections",
        "_silent",
    )

    def __init__(self, context: Context, protections: Protections) -> None:
        self._context = context
        self._protections = protections
        self._complete: dict[str, int] = {}
        self._earlier: dict[frozenset[str], float] = {}
        self._heard_seconds: dict[str, float] = {}
        self._highest_epoch = 0
        self._majority_since_seconds: dict[frozenset[str], float] = {}
        self._silent: dict[str, frozenset[str]] = {}

    def heard(
        self,
        member_id: str,
        *,
        epoch: int,
        complete: bool,
        sent_after_seconds: float,
        silent_owners: frozenset[str],
    ) -> None:
        """Takes the head of an ask.

        Args:
            member_id: Who asked.
            epoch: The asking router's epoch.
            complete: Whether it listed all that it holds of this owner.
            sent_after_seconds: Time of this router that the ask was surely
                sent after.
            silent_owners: Members that it had no answer from for long.
        """
        self._highest_epoch = max(self._highest_epoch, epoch)
        if epoch != duties.membership(self._context).epoch:
            return
        self._heard_seconds[member_id] = sent_after_seconds
        self._silent[member_id] = silent_owners
        if complete:
            self._complete[member_id] = epoch

    def distrust(self) -> None:
        """Forgets after a pause who was heard."""
        self._heard_seconds.clear()

    def follow(self, now_seconds: float) -> None:
        """Remembers earlier members and since when a majority moved on."""
        present = duties.membership(self._context)
        for past in present.unsettled:
            self._earlier.setdefault(past.member_ids, past.settled_at_seconds)
        for member_ids in list(self._earlier):
            settled_seconds = self._earlier[member_ids]
            if now_seconds > settled_seconds + 2 * PATIENCE_SECONDS:
                del self._earlier[member_ids]
                self._majority_since_seconds.pop(member_ids, None)
                continue
            if is_majority(self._reported(member_ids), len(member_ids)):
                self._majority_since_seconds.setdefault(member_ids, now_seconds)

    def all_reported(self) -> bool:
        """Returns whether every member told all that it holds."""
        present = duties.membership(self._context)
        expected = set(present.members)
        for past in present.unsettled:
            expected |= past.member_ids
        return self._reported(expected) == len(expected)

    def earlier_owners_ended(
        self, waited_seconds: float, now_seconds: float
    ) -> bool:
        """Returns whether no earlier owner's grant can be live any more.

        Args:
            waited_seconds: Time since this router may act as the owner.
            now_seconds: Monotonic time.
        """
        if waited_seconds < GRANT_SECONDS + MARGIN_SECONDS:
            return False
        if waited_seconds >= PATIENCE_SECONDS:
            return True
        for member_ids in self._earlier:
            since_seconds = self._majority_since_seconds.get(member_ids)
            if since_seconds is None:
                return False
            if now_seconds < since_seconds + SILENT_SECONDS:
                return False
        return True

    def may_go_on(self, duty: Duty, now_seconds: float) -> bool:
        """Returns whether to grant although the lease has lapsed."""
        if not self._protections.goes_on:
            return False
        present = duties.membership(self._context)
        own_id = self._context.member_id
        lapsed_seconds = now_seconds - present.lease_until_seconds
        if not 0 <= lapsed_seconds < GOES_ON_SECONDS:
            return False
        if duties.owner(self._context, duty) != own_id:
            return False
        if self._highest_epoch > present.epoch:
            return False
        for past in present.unsettled:
            if now_seconds < past.settled_at_seconds:
                return False
        health = self._context.board.entry(keys.HEALTH)
        if health is not None and health.value.isolated:
            return False
        if not self._protections.needs_majority:
            return True
        count = len(self._fresh_members(now_seconds))
        return is_majority(count, len(present.members))

    def is_silent(self, owner: str, now_seconds: float) -> bool:
        """Returns whether a majority says that an owner answers nobody."""
        present = duties.membership(self._context)
        count = 0
        for member_id in self._fresh_members(now_seconds):
            if owner in self._silent.get(member_id, ()):
                count += 1
        return is_majority(count, len(present.members))

    def _fresh_members(self, now_seconds: float) -> list[str]:
        """Returns the members heard lately, this router included."""
        found = []
        for member_id in duties.membership(self._context).members:
            heard_seconds = self._heard_seconds.get(member_id, float("-inf"))
            is_own = member_id == self._context.member_id
            if is_own or now_seconds - heard_seconds <= QUORUM_SECONDS:
                found.append(member_id)
        return found

    def _reported(self, member_ids: Collection[str]) -> int:
        epoch = duties.membership(self._context).epoch
        count = 0
        for member_id in member_ids:
            if self._complete.get(member_id) == epoch:
                count += 1
        return count
