"""Who was heard lately, and which epoch each member has moved on to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.membership.options import (
    DEAD_MAJORITY_SECONDS,
    DEAD_SECONDS,
    MANY_MEMBERS,
    REACHABLE_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.peers.proto.membership_pb2 import MemberEntry


class Liveness:
    """What this router has heard from the listed members."""

    def __init__(self, own: MemberEntry) -> None:
        self._own = own
        self._known_since: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._epochs: dict[tuple[str, int], int] = {}
        self._suspects: dict[str, frozenset[str]] = {}

    def track(
        self, members: dict[str, MemberEntry], now_seconds: float
    ) -> None:
        """Takes the members to listen for; new ones count as heard now."""
        known = {}
        for member_id in members:
            known[member_id] = self._known_since.get(member_id, now_seconds)
        self._known_since = known
        for table in (self._heard, self._suspects):
            for member_id in list(table):
                if member_id not in members:
                    del table[member_id]
        for member_id, incarnation in list(self._epochs):
            entry = members.get(member_id)
            if entry is None or entry.incarnation != incarnation:
                del self._epochs[member_id, incarnation]

    def reset(self, now_seconds: float) -> None:
        """Gives every member a fresh start, since this router was deaf."""
        for member_id in self._known_since:
            self._known_since[member_id] = now_seconds
        self._suspects.clear()

    def heard(
        self,
        sender: MemberEntry,
        *,
        epoch: int,
        now_seconds: float,
    ) -> None:
        """Takes note of a message from a listed member."""
        self._heard[sender.member_id] = now_seconds
        key = (sender.member_id, sender.incarnation)
        self._epochs[key] = max(epoch, self._epochs.get(key, 0))

    def set_suspects(self, member_id: str, suspects: Iterable[str]) -> None:
        """Takes the members that another holder has not heard from."""
        self._suspects[member_id] = frozenset(suspects)

    def silence_seconds(self, member_id: str, now_seconds: float) -> float:
        """Returns how long a member has not been heard."""
        heard_seconds = max(
            self._heard.get(member_id, float("-inf")),
            self._known_since.get(member_id, now_seconds),
        )
        return now_seconds - heard_seconds

    def is_silent(
        self, member_id: str, now_seconds: float, *, grace_seconds: float = 0.0
    ) -> bool:
        """Returns whether a member has been silent for too long."""
        many = len(self._known_since) > MANY_MEMBERS
        patience_seconds = DEAD_SECONDS * (1 + many) + grace_seconds
        return self.silence_seconds(member_id, now_seconds) > patience_seconds

    def suspects(self, now_seconds: float) -> list[str]:
        """Returns the members that have been silent for too long."""
        silent = []
        for member_id in sorted(self._known_since):
            if member_id == self._own.member_id:
                continue
            if self.is_silent(member_id, now_seconds):
                silent.append(member_id)
        return silent

    def dead(self, holders: list[str], now_seconds: float) -> list[str]:
        """Returns the members that every holder agrees to remove.

        Args:
            holders: Ids of the lease holders.
            now_seconds: Monotonic time.
        """
        suspects = self.suspects(now_seconds)
        if 2 * len(suspects) >= len(self._known_since):
            suspects = [
                member_id
                for member_id in suspects
                if self.silence_seconds(member_id, now_seconds)
                > DEAD_MAJORITY_SECONDS
            ]
        agreed = []
        for member_id in suspects:
            if self._all_suspect(member_id, holders, suspects):
                agreed.append(member_id)
        return agreed

    def reachable(self, now_seconds: float) -> int:
        """Returns how many listed peers were heard lately."""
        count = 0
        for heard_seconds in self._heard.values():
            if now_seconds - heard_seconds <= REACHABLE_SECONDS:
                count += 1
        return count

    def moved_on(self, entries: Iterable[MemberEntry], epoch: int) -> bool:
        """Returns whether all these routers are known to be at `epoch`."""
        for entry in entries:
            if entry == self._own:
                continue
            key = (entry.member_id, entry.incarnation)
            if self._epochs.get(key, 0) < epoch:
                return False
        return True

    def _all_suspect(
        self, member_id: str, holders: list[str], suspects: list[str]
    ) -> bool:
        for holder in holders:
            if holder in (self._own.member_id, member_id) or holder in suspects:
                continue
            if member_id not in self._suspects.get(holder, frozenset()):
                return False
        return True
