"""How often one router may send requests once more.

All routers share a bound of `ratio` times the requests plus a slack, in a
sliding window. Each has a share of its own for which it need not ask: the ratio
over its own requests, and the slack parted by the routers alive. What the fleet
as a whole leaves unused is lent to all in equal parts, from counts that the
routers tell one another: losses hit some routers much harder than others.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Part of the bound that the routers' own shares make up.
OWN_PART = 0.4

# Part of the bound up to which the fleet lends; the rest is left for own shares
# that have not been used yet.
LENDING_PART = 0.6

# Part of what is unused that is lent at a time. Counts are told every 0.1 or
# 0.2 s and arrive one interval later: two loans may be out at once.
LENT_PART = 0.25


class RetryCounts:
    """First sendings and repeats for one service in the window.

    Attributes:
        firsts: Requests that were sent for the first time.
        repeats: Sendings beyond the first.
    """

    __slots__ = ("firsts", "repeats")

    def __init__(self, firsts: int = 0, repeats: int = 0) -> None:
        self.firsts = firsts
        self.repeats = repeats

    def add(self, other: RetryCounts) -> None:
        """Adds the counts of another router."""
        self.firsts += other.firsts
        self.repeats += other.repeats


class _Window:
    """Sliding sum of events of one service."""

    __slots__ = ("firsts", "repeats")

    def __init__(self) -> None:
        self.firsts: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def drop_before(self, oldest_seconds: float) -> None:
        """Forgets events that left the window."""
        for events in (self.firsts, self.repeats):
            while events and events[0] < oldest_seconds:
                events.popleft()


class RetryBudget:
    """Share of one router in the bound on repeats, for each service."""

    __slots__ = (
        "_lent",
        "_random",
        "_ratio",
        "_slack",
        "_started_at_seconds",
        "_window_seconds",
        "_windows",
    )

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at_seconds: float,
        rng: random.Random,
    ) -> None:
        self._random = rng
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._started_at_seconds = started_at_seconds
        self._windows: dict[str, _Window] = {}
        # Repeats lent from what the fleet leaves unused, by service.
        self._lent: dict[str, int] = {}

    def sent_first(self, service: str, now_seconds: float) -> None:
        """Counts the first sending of a request."""
        self._window(service, now_seconds).firsts.append(now_seconds)

    def take(self, service: str, *, routers: int, now_seconds: float) -> bool:
        """Takes one repeat from the budget.

        Args:
            service: Service that the request goes to.
            routers: Routers that may be alive, this one counted.
            now_seconds: Monotonic time.

        Returns:
            Whether the repeat is allowed; it is counted if so.
        """
        window = self._window(service, now_seconds)
        allowed = self._ratio * len(window.firsts)
        if self._has_slack(now_seconds):
            allowed += self._slack / max(1, routers)
        if len(window.repeats) + 1 > allowed * OWN_PART:
            lent = self._lent.get(service, 0)
            if lent < 1:
                return False
            self._lent[service] = lent - 1
        window.repeats.append(now_seconds)
        return True

    def counts(self, now_seconds: float) -> dict[str, RetryCounts]:
        """Returns the own counts by service."""
        found: dict[str, RetryCounts] = {}
        for service in self._windows:
            window = self._window(service, now_seconds)
            found[service] = RetryCounts(
                len(window.firsts), len(window.repeats)
            )
        return found

    def lend(
        self,
        others: dict[str, RetryCounts],
        *,
        routers: int,
        now_seconds: float,
    ) -> None:
        """Renews what is lent, in place of what was left of it.

        Args:
            others: Counts of the other routers, those that ended within the
                window too, by service.
            routers: Routers that may be alive, this one counted.
            now_seconds: Monotonic time.
        """
        self._lent.clear()
        for service, counts in self.counts(now_seconds).items():
            counts.add(others.get(service, RetryCounts()))
            allowed = self._ratio * counts.firsts
            if self._has_slack(now_seconds):
                allowed += self._slack
            unused = max(0.0, allowed * LENDING_PART - counts.repeats)
            part = unused * LENT_PART / max(1, routers)
            whole = int(part)
            # Many routers get less than one each; some of them get one.
            self._lent[service] = whole + (self._random.random() < part - whole)

    def _has_slack(self, now_seconds: float) -> bool:
        """Returns whether no life before this one used the window's slack."""
        return now_seconds - self._started_at_seconds > self._window_seconds

    def _window(self, service: str, now_seconds: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(now_seconds - self._window_seconds)
        return window
