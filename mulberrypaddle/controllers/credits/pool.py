"""The owner's account of one pool: what every holder may have in use.

Levels are absolute, so that a lost, late or repeated message does no harm.
A level that was granted stays counted until its holder acknowledges a later
grant; silence frees nothing by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.terms import (
    FLIGHT_SECONDS,
    GRANT_SECONDS,
    MARGIN_SECONDS,
    Protections,
)
from mulberrypaddle.core.invariants import Invariant, check

if TYPE_CHECKING:
    from mulberrypaddle.core.rendezvous import Duty

# Key of credit whose holder gave it up without knowing the end.
DOUBTFUL = "doubtful"
EXHAUSTED_SHARE = 0.8
# Shortest time between two recalls of one holder.
RECALL_SECONDS = 0.5


class IssuedGrant:
    """A level that a holder may have applied."""

    __slots__ = ("amount", "sequence")

    def __init__(self, sequence: int, amount: Amount) -> None:
        self.sequence = sequence
        self.amount = amount


class HolderRecord:
    """What the owner knows of one holder.

    Attributes:
        incarnation: The holder's process.
        ask_sequence: Its latest ask.
        completed: Its count of successful completions; -1 before the first.
        in_use: As last reported.
        wanted: As last reported, what is in use included.
        spare: Idle credit beyond that, as last reported.
        recalled_at_seconds: When it was last told to lower its level.
        grants: Levels that may be in force at the holder.
        expires_at_seconds: When the last of them is over, by this clock.
        began_at_seconds: When the holder was last heard.
    """

    __slots__ = (
        "ask_sequence",
        "began_at_seconds",
        "completed",
        "expires_at_seconds",
        "grants",
        "in_use",
        "incarnation",
        "recalled_at_seconds",
        "spare",
        "wanted",
    )

    def __init__(self, incarnation: int, now_seconds: float) -> None:
        self.incarnation = incarnation
        self.ask_sequence = 0
        self.completed = -1
        self.in_use = NOTHING
        self.wanted = NOTHING
        self.spare = NOTHING
        self.recalled_at_seconds = float("-inf")
        self.grants: list[IssuedGrant] = []
        self.expires_at_seconds = now_seconds
        self.began_at_seconds = now_seconds

    def held(self) -> Amount:
        """Returns the most that the holder can have in use."""
        most = self.in_use
        for grant in self.grants:
            most = most.at_least(grant.amount)
        return most

    def acknowledge(self, sequence: int) -> None:
        """Forgets levels that a later one has replaced at the holder."""
        kept = []
        for grant in self.grants:
            if grant.sequence >= sequence:
                kept.append(grant)
        self.grants = kept

    def settle(self, most: Amount) -> None:
        """Takes `most` as all that a silent holder still has in use."""
        self.in_use = self.held().at_most(most)
        self.wanted = NOTHING
        self.spare = NOTHING
        self.grants = []


class Pool:
    """Credit of one runner or one organisation.

    Attributes:
        duty: What the pool stands for.
        capacity: What may be in use now over all routers.
        one_sender: Whether only one holder may have credit.
        holders: Records by holder, departed and doubtful ones included.
        is_open: Whether the owner may grant.
        quiet_since_seconds: When no earlier owner's grant was live any
            more, or None.
        created_at_seconds: When this router became the owner.
    """

    __slots__ = (
        "_bound",
        "_protections",
        "capacity",
        "created_at_seconds",
        "duty",
        "holders",
        "is_open",
        "one_sender",
        "quiet_since_seconds",
    )

    def __init__(
        self, duty: Duty, now_seconds: float, protections: Protections
    ) -> None:
        self.duty = duty
        self.capacity = NOTHING
        self.one_sender = False
        self.holders: dict[str, HolderRecord] = {}
        self.is_open = False
        self.quiet_since_seconds: float | None = None
        self.created_at_seconds = now_seconds
        self._bound = NOTHING
        self._protections = protections

    def open(self) -> None:
        """Begins to grant; what earlier owners granted is in use already."""
        self.is_open = True
        self._bound = self._bound.at_least(self.held())

    def set_capacity(self, capacity: Amount, *, one_sender: bool) -> None:
        """Takes what may be in use from now on."""
        self.capacity = capacity
        self.one_sender = one_sender
        if capacity.covers(self.held()):
            self._bound = capacity
        else:
            self._bound = self._bound.at_least(capacity)

    def held(self, *, without: str = "") -> Amount:
        """Returns the most that can be in use, but for one holder."""
        total = NOTHING
        for key, record in self.holders.items():
            if key != without:
                total = total.plus(record.held())
        return total

    def in_use(self) -> Amount:
        """Returns what holders reported to be in use."""
        total = NOTHING
        for record in self.holders.values():
            total = total.plus(record.in_use)
        return total

    def is_exhausted(self) -> bool:
        """Returns whether nearly all that is allowed is really in use."""
        used = self.in_use()
        if used.requests >= EXHAUSTED_SHARE * self.capacity.requests:
            return True
        return used.tokens >= EXHAUSTED_SHARE * max(self.capacity.tokens, 1)

    def take_demand(
        self,
        member_id: str,
        incarnation: int,
        ask_sequence: int,
        *,
        in_use: Amount,
        wanted: Amount,
        spare: Amount,
        seen_grant: int,
        now_seconds: float,
    ) -> bool:
        """Takes a holder's report.

        Returns:
            Whether it is news; a late or repeated ask is not.
        """
        record = self._record(member_id, incarnation, now_seconds)
        if record is None or ask_sequence <= record.ask_sequence:
            return False
        if record.ask_sequence == 0:
            # Earlier owners granted what it has in use already.
            self._bound = self._bound.plus(in_use)
        record.ask_sequence = ask_sequence
        record.began_at_seconds = now_seconds
        record.in_use = in_use
        record.wanted = wanted
        record.spare = spare
        record.acknowledge(seen_grant)
        if self.is_open:
            self._check_in_use()
        return True

    def grant(
        self, member_id: str, sequence: int, now_seconds: float
    ) -> Amount:
        """Returns the level that a holder may have in use from now on."""
        record = self.holders[member_id]
        level = self._level(member_id, record)
        total = level.plus(self.held(without=member_id))
        check(
            level == NOTHING or self.capacity.covers(total),
            Invariant.CREDITS_WITHIN_CAPACITY,
            f"{self.duty}: granted {total}, allowed {self.capacity}",
        )
        record.grants.append(IssuedGrant(sequence, level))
        record.expires_at_seconds = now_seconds + GRANT_SECONDS + MARGIN_SECONDS
        return level

    def recalls(
        self, member_id: str, now_seconds: float
    ) -> list[tuple[str, Amount]]:
        """Returns the levels that other holders must fall to.

        Idle credit goes first. If a holder still gets nothing, because more
        want credit than there is, the largest other holder gives up one.

        Args:
            member_id: The holder that may need more than it was granted.
            now_seconds: Monotonic time.
        """
        asking = self.holders[member_id]
        granted = asking.grants[-1].amount if asking.grants else NOTHING
        if granted.covers(asking.wanted):
            return []
        recalled = []
        largest = ""
        for key, record in self.holders.items():
            if key == member_id or not record.grants:
                continue
            if now_seconds - record.recalled_at_seconds < RECALL_SECONDS:
                continue
            share = record.wanted.at_most(self._fair_share(record))
            level = record.in_use.at_least(share)
            if not level.covers(record.held()):
                recalled.append((key, level))
                continue
            if not largest or self._holds_more(record, largest):
                largest = key
        is_starved = asking.held() == NOTHING and not self.one_sender
        if is_starved and not recalled and largest:
            held = self.holders[largest].held()
            recalled.append((largest, held.minus(Amount(1, 0))))
        for key, _ in recalled:
            self.holders[key].recalled_at_seconds = now_seconds
        return recalled

    def note_lowered(
        self, member_id: str, sequence: int, level: Amount
    ) -> None:
        """Remembers a level that a holder was told to fall to.

        The holder keeps at most this much once it has acknowledged it.
        """
        self.holders[member_id].grants.append(IssuedGrant(sequence, level))

    def _holds_more(self, record: HolderRecord, key: str) -> bool:
        return record.held().requests > self.holders[key].held().requests

    def add_doubtful(self, amount: Amount, now_seconds: float) -> None:
        """Counts credit whose end at the runner is not known."""
        record = self.holders.setdefault(DOUBTFUL, HolderRecord(0, now_seconds))
        record.in_use = record.in_use.plus(amount)
        record.expires_at_seconds = now_seconds
        record.began_at_seconds = now_seconds

    def settle_silent(self, reported: Amount, as_of_seconds: float) -> None:
        """Bounds silent holders by what the runner says it has in hand.

        A holder whose grants were over before the report can have sent
        nothing since, so it has at most all that the runner has.
        """
        for record in self.holders.values():
            if as_of_seconds < record.expires_at_seconds + FLIGHT_SECONDS:
                continue
            record.settle(reported)

    def take_unknown(self, excess: Amount, now_seconds: float) -> None:
        """Counts work at the runner that no known holder accounts for."""
        if excess == NOTHING:
            return
        record = self.holders.setdefault(DOUBTFUL, HolderRecord(0, now_seconds))
        record.in_use = record.in_use.at_least(excess)
        record.expires_at_seconds = now_seconds
        record.began_at_seconds = now_seconds

    def bound(self) -> Amount:
        """Returns the most that may be in use, a shrinking pool included."""
        return self._bound

    def drop_silent(self, now_seconds: float, *, after_seconds: float) -> None:
        """Forgets holders that have been silent for long enough."""
        for key in list(self.holders):
            expired_at_seconds = self.holders[key].expires_at_seconds
            if now_seconds >= expired_at_seconds + after_seconds:
                del self.holders[key]

    def drop_empty(self, now_seconds: float) -> None:
        """Forgets records that hold nothing and ask for nothing."""
        for key in list(self.holders):
            record = self.holders[key]
            if now_seconds < record.expires_at_seconds:
                continue
            is_empty = record.held() == NOTHING and record.wanted == NOTHING
            is_silent = bool(record.grants)
            if is_silent and not self._protections.counts_silent_holders:
                is_empty = True
            if is_empty:
                del self.holders[key]

    def _record(
        self, member_id: str, incarnation: int, now_seconds: float
    ) -> HolderRecord | None:
        """Returns the holder's record; an older process's one is set apart."""
        record = self.holders.get(member_id)
        if record is not None and record.incarnation > incarnation:
            return None
        if record is not None and record.incarnation < incarnation:
            self.holders[f"{member_id}#{record.incarnation}"] = record
            record.wanted = NOTHING
            record = None
        if record is None:
            record = HolderRecord(incarnation, now_seconds)
            self.holders[member_id] = record
        return record

    def _level(self, member_id: str, record: HolderRecord) -> Amount:
        others = self.held(without=member_id)
        if self.one_sender and others.requests > 0:
            return NOTHING
        level = record.wanted.plus(record.spare)
        if self._contended(member_id):
            level = record.wanted.at_most(self._part(member_id, record))
        level = level.at_most(self.capacity.minus(others))
        return level if level.requests > 0 else NOTHING

    def _part(self, member_id: str, record: HolderRecord) -> Amount:
        """Returns a holder's part of what is short.

        Each gets its fair share or what the others' shares leave.
        """
        share = self._fair_share(record)
        reserved = NOTHING
        for key, other in self.holders.items():
            if key != member_id:
                due = share.at_most(other.wanted)
                reserved = reserved.plus(other.held().at_least(due))
        left = self.capacity.minus(reserved)
        return record.in_use.at_least(share).at_least(left)

    def _fair_share(self, asking: HolderRecord) -> Amount:
        """Returns an equal part for each holder that needs credit."""
        count = 0
        for record in self.holders.values():
            if record is asking or record.wanted.requests > 0:
                count += 1
        return Amount(
            max(self.capacity.requests // count, 1),
            self.capacity.tokens // count,
        )

    def _contended(self, member_id: str) -> bool:
        """Returns whether another holder has less than it needs."""
        for key, record in self.holders.items():
            if key != member_id and not record.held().covers(record.wanted):
                return True
        return False

    def _check_in_use(self) -> None:
        used = NOTHING
        for key, record in self.holders.items():
            if key != DOUBTFUL:
                used = used.plus(record.in_use)
        invariant = Invariant.CREDITS_WITHIN_CAPACITY
        if self.one_sender:
            invariant = Invariant.COLD_LIMIT
        check(
            self._bound.covers(used),
            invariant,
            f"{self.duty}: in use {used}, allowed {self._bound}",
        )
