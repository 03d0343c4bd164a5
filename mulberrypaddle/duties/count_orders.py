"""The orders of the number of runners of one service in one data centre.

The platform tells neither what was ordered nor what it has carried out. A call
without an answer may be carried out seconds later, also after newer ones, so
that the number of listed runners is compared with the ordered one.
"""

from __future__ import annotations

import collections
import math

from mulberrypaddle.duties.platform_api import CallOutcome

# Time over which the most listed runners stand for the ordered number, while
# this router has ordered none. Most silent runners are back earlier.
SEEN_SECONDS = 10.0

# Time over which runners that were listed may still count for the platform. It
# is longer than a fabric domain is usually silent.
CEILING_SECONDS = 120.0

# Time for which runners must have been observed before their number tells how
# many the platform may hold: after a restart of all routers a fabric domain may
# be silent.
LEAST_OBSERVED_SECONDS = 20.0

# Time over which the most listed runners are expected to be there still.
EXPECTED_SECONDS = 20.0

# Pause before an order that was not accepted is repeated, which doubles each
# time, and its upper limit.
RETRY_PAUSE_SECONDS = 0.3
MAX_RETRY_PAUSE_SECONDS = 2.0

# Time after a call without an answer in which the latest order is repeated, and
# the interval: the platform may carry out the call late, after newer ones.
REAFFIRM_SECONDS = 10.0
REAFFIRM_INTERVAL_SECONDS = 2.0

# Time for which more runners than ordered must be listed until their number
# counts as ordered. The entry of a runner that has left stays for 3.6 s.
SURPLUS_SECONDS = 6.0

# Time beyond the start-up of runners after which an order is repeated if some
# are missing, and the interval.
MISSING_GRACE_SECONDS = 6.0
MISSING_INTERVAL_SECONDS = 5.0


class CountOrders:
    """What was seen and ordered of the runners of one data centre."""

    __slots__ = (
        "_attempts",
        "_called_at_seconds",
        "_confirmed",
        "_doubtful",
        "_due_at_seconds",
        "_established",
        "_in_flight",
        "_missing_since_seconds",
        "_observed_since_seconds",
        "_present",
        "_reaffirm_until_seconds",
        "_seen",
        "_surplus",
        "_wanted",
    )

    def __init__(self) -> None:
        # Times and counts of listed runners. Each count is higher than all
        # later ones, as only those decide on maxima.
        self._seen: collections.deque[tuple[float, int]] = collections.deque()
        self._observed_since_seconds: float | None = None
        self._present = 0
        # Number that this router has ordered or is to order; None before.
        self._wanted: int | None = None
        # Most runners that were listed under that order.
        self._established = 0
        self._confirmed = False
        # Numbers of calls without an answer, and when they ended.
        self._doubtful: list[tuple[float, int]] = []
        self._in_flight = False
        self._attempts = 0
        self._due_at_seconds = 0.0
        self._called_at_seconds = -math.inf
        self._reaffirm_until_seconds = -math.inf
        # Since when runners are missing; None while none is.
        self._missing_since_seconds: float | None = None
        # Since when more runners than ordered are listed, and the least of
        # their counts; None while that is not so.
        self._surplus: tuple[float, int] | None = None

    def observe(self, present: int, now_seconds: float) -> None:
        """Records how many runners are listed and not leaving."""
        if self._observed_since_seconds is None:
            self._observed_since_seconds = now_seconds
        self._present = present
        while self._seen and self._seen[-1][1] <= present:
            self._seen.pop()
        self._seen.append((now_seconds, present))
        while self._seen[0][0] < now_seconds - CEILING_SECONDS:
            self._seen.popleft()
        if self._wanted is None:
            return
        self._established = min(self._wanted, max(self._established, present))
        if present >= self._wanted:
            self._missing_since_seconds = None
        elif self._missing_since_seconds is None:
            self._missing_since_seconds = now_seconds
        if present <= self._wanted or self._in_flight or not self._confirmed:
            self._surplus = None
            return
        if self._surplus is None:
            self._surplus = (now_seconds, present)
        since_seconds, least = self._surplus
        least = min(least, present)
        self._surplus = (since_seconds, least)
        if now_seconds - since_seconds >= SURPLUS_SECONDS:
            # An earlier order was carried out late; it is lowered again as any
            # other number.
            self._wanted = least
            self._surplus = None

    def forget_orders(self) -> None:
        """Forgets what this router has ordered, as another one may order."""
        self._wanted = None
        self._confirmed = False
        self._attempts = 0
        self._surplus = None
        self._missing_since_seconds = None
        self._reaffirm_until_seconds = -math.inf

    def ordered(self, now_seconds: float) -> int:
        """Returns the number that counts as ordered."""
        if self._wanted is not None:
            return self._wanted
        return self._most_seen(now_seconds - SEEN_SECONDS)

    def expected(self, now_seconds: float) -> int:
        """Returns how many runners should be listed."""
        if self._wanted is not None:
            return self._established
        return self._most_seen(now_seconds - EXPECTED_SECONDS)

    def ceiling(
        self, now_seconds: float, *, is_holder: bool, max_runners: int
    ) -> int:
        """Returns how many runners the platform may hold.

        Args:
            now_seconds: Monotonic time.
            is_holder: Whether this router may order numbers.
            max_runners: Greatest number that may have been ordered.
        """
        if self._wanted is not None or not is_holder:
            return self.ordered(now_seconds)
        most = self._most_seen(now_seconds - CEILING_SECONDS)
        since_seconds = self._observed_since_seconds
        if (
            since_seconds is None
            or now_seconds - since_seconds < LEAST_OBSERVED_SECONDS
        ):
            return max(most, max_runners)
        return most

    def want(
        self, count: int, now_seconds: float, *, startup_seconds: float
    ) -> None:
        """Sets the number that the data centre is to have.

        Args:
            count: The number.
            now_seconds: Monotonic time.
            startup_seconds: Time from an order until a new runner serves.
        """
        if count != self.ordered(now_seconds):
            if self._wanted is None:
                self._established = self.expected(now_seconds)
            self._wanted = count
            self._established = min(self._established, count)
            self._confirmed = False
            self._attempts = 0
            self._due_at_seconds = now_seconds
            self._missing_since_seconds = None
            self._surplus = None
            return
        if self._wanted is None or not self._confirmed:
            return
        since_call_seconds = now_seconds - self._called_at_seconds
        if (
            now_seconds < self._reaffirm_until_seconds
            and since_call_seconds >= REAFFIRM_INTERVAL_SECONDS
        ):
            self._confirmed = False
            self._due_at_seconds = now_seconds
        since_seconds = self._missing_since_seconds
        if (
            since_seconds is not None
            and now_seconds - since_seconds
            >= startup_seconds + MISSING_GRACE_SECONDS
            and since_call_seconds >= MISSING_INTERVAL_SECONDS
        ):
            self._confirmed = False
            self._due_at_seconds = now_seconds

    def is_due(self, now_seconds: float) -> bool:
        """Returns whether the order is to be sent now."""
        return (
            self._wanted is not None
            and not self._confirmed
            and not self._in_flight
            and now_seconds >= self._due_at_seconds
        )

    def begin_call(self) -> tuple[int, int]:
        """Records that the order is sent.

        Returns:
            The number to order, and how often it has been sent with this call.
        """
        assert self._wanted is not None
        self._in_flight = True
        self._attempts += 1
        return (self._wanted, self._attempts)

    def end_call(
        self, count: int, outcome: CallOutcome | None, now_seconds: float
    ) -> None:
        """Records the outcome of a call.

        Args:
            count: The number that it ordered.
            outcome: How it ended; None if it was broken off.
            now_seconds: Monotonic time.
        """
        self._in_flight = False
        self._called_at_seconds = now_seconds
        if outcome in (None, CallOutcome.UNKNOWN):
            self._reaffirm_until_seconds = now_seconds + REAFFIRM_SECONDS
            self._doubtful.append((now_seconds, count))
        if count != self._wanted:
            return
        if outcome is CallOutcome.ACCEPTED:
            self._confirmed = True
            self._attempts = 0
            return
        self._due_at_seconds = now_seconds + min(
            MAX_RETRY_PAUSE_SECONDS,
            RETRY_PAUSE_SECONDS * 2 ** min(10, self._attempts - 1),
        )

    def lowest_doubtful(self, now_seconds: float) -> int | None:
        """Returns the lowest number that a call may still bring about.

        None if no call of the last `REAFFIRM_SECONDS` was left unanswered.
        """
        self._doubtful = [
            (at_seconds, count)
            for at_seconds, count in self._doubtful
            if now_seconds - at_seconds < REAFFIRM_SECONDS
        ]
        return min((count for _, count in self._doubtful), default=None)

    def _most_seen(self, since_seconds: float) -> int:
        """Returns the most runners that were listed since a time."""
        for at_seconds, count in self._seen:
            if at_seconds >= since_seconds:
                return count
        return self._present
