"""The holder's account of one pool: what this router may have in use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.terms import IDLE_SECONDS

if TYPE_CHECKING:
    from mulberrypaddle.core.rendezvous import Duty

# One idle credit is kept for so many in use, so that the next request need
# not wait for an ask.
IN_USE_PER_SPARE = 4
_MEAN_WEIGHT = 0.2


class Account:
    """Credit of one pool at this router.

    Attributes:
        duty: What the pool stands for.
        level: What the owner allows in use.
        valid_until_seconds: Monotonic end of the level.
        in_use: What requests in hand hold.
        doubtful: Given up without knowing the end, not yet told the owner.
        extra: What queued requests want beyond what is in use.
        completed: Successful completions.
        recalled: Whether the owner wants to hear of a lowered level.
        suspect: Whether a connection to the runner broke.
        owner: Member that granted the level.
        owner_incarnation: That member's process.
        seen_grant: Sequence of the last grant applied.
        answered_at_seconds: When the ask was sent that the owner answered
            last.
        next_ask_at_seconds: Earliest time of the next urgent ask.
        exhausted: Whether nearly all of the pool was in use then.
        generation: Group generation that the owner saw confirmed.
        runner_incarnation: Start of the runner that the level is for.
        borne_requests: What the runner bore when the level was granted.
        load_requests: What all routers had in hand then.
        used_at_seconds: Last time that a request wanted it.
    """

    __slots__ = (
        "_mean_tokens",
        "answered_at_seconds",
        "borne_requests",
        "completed",
        "doubtful",
        "duty",
        "exhausted",
        "extra",
        "generation",
        "in_use",
        "level",
        "load_requests",
        "next_ask_at_seconds",
        "owner",
        "owner_incarnation",
        "recalled",
        "runner_incarnation",
        "seen_grant",
        "suspect",
        "used_at_seconds",
        "valid_until_seconds",
    )

    def __init__(self, duty: Duty) -> None:
        self.duty = duty
        self.level = NOTHING
        self.valid_until_seconds = float("-inf")
        self.in_use = NOTHING
        self.doubtful = NOTHING
        self.extra = NOTHING
        self.completed = 0
        self.suspect = False
        self.recalled = False
        self.owner = ""
        self.owner_incarnation = 0
        self.seen_grant = 0
        self.answered_at_seconds = float("-inf")
        self.next_ask_at_seconds = float("-inf")
        self.exhausted = False
        self.generation = 0
        self.runner_incarnation = ""
        self.borne_requests = 0
        self.load_requests = 0
        self.used_at_seconds = float("-inf")
        self._mean_tokens = 0.0

    def available(self) -> Amount:
        """Returns what the level leaves, whatever its age."""
        return self.level.minus(self.in_use.plus(self.doubtful))

    def wanted(self) -> Amount:
        """Returns the level that the requests in hand and queued need."""
        return self.in_use.plus(self.extra)

    def spare(self, now_seconds: float) -> Amount:
        """Returns the idle credit that would save an ask."""
        if now_seconds - self.used_at_seconds > IDLE_SECONDS:
            return NOTHING
        requests = 1 + self.in_use.requests // IN_USE_PER_SPARE
        return Amount(requests, int(requests * self._mean_tokens))

    def is_short(self, now_seconds: float) -> bool:
        """Returns whether queued requests find no credit."""
        if self.extra == NOTHING:
            return False
        if now_seconds >= self.valid_until_seconds:
            return True
        return not self.available().covers(self.extra)

    def is_active(self, now_seconds: float) -> bool:
        """Returns whether the owner has to hear of this account."""
        if self.in_use != NOTHING or self.doubtful != NOTHING:
            return True
        if self.level != NOTHING and now_seconds < self.valid_until_seconds:
            return True
        return now_seconds - self.used_at_seconds <= IDLE_SECONDS

    def touch(self, tokens: int, now_seconds: float) -> None:
        """Notes that a request wanted this pool."""
        self.used_at_seconds = now_seconds
        self._mean_tokens += _MEAN_WEIGHT * (tokens - self._mean_tokens)
