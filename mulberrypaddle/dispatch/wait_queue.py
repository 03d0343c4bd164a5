"""Queue of requests that wait in a router for a free slot at a runner.

Guards against overload. An answer within the target is worth several late ones,
and the runners serve the same number of requests however long the queue is.
Requests that can still meet their target therefore have priority. Late requests
are sent when no other waits, for as long as their callers wait. First-in,
first-out order would make all requests late.
"""

from __future__ import annotations

import bisect
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Advantage of each urgency rank over the next one, in seconds of arrival time.
URGENCY_RANK_SECONDS = 1.0

# Delay for each second that a request will hold a slot. Short requests are
# served first; the delay limits how long newer ones can overtake a long one.
DURATION_WEIGHT = 1.5


class Waiter:
    """One waiting request.

    Attributes:
        sort_key: Priority among the requests that can meet their target, or
            among the late ones; the smallest is sent first.
            See `queue_sort_key`.
        on_time_until_seconds: Latest monotonic time at which the request can be
            sent and still meet its target.
        until_seconds: Monotonic time at which waiting ends.
        wait_result: Future that resolves to True when the request may be sent,
            or to False when its waiting time is over.
        rank: Rank among the urgency ranks of the service, from 0.
        organisation: Name of the organisation; empty if none.
        promoted_at_seconds: Monotonic time from which it competes with the most
            urgent requests, whatever its rank.
    """

    __slots__ = (
        "on_time_until_seconds",
        "organisation",
        "promoted_at_seconds",
        "rank",
        "sort_key",
        "wait_result",
        "until_seconds",
    )

    def __init__(
        self,
        sort_key: float,
        *,
        on_time_until_seconds: float,
        until_seconds: float,
        wait_result: asyncio.Future[bool],
        rank: int = 0,
        organisation: str = "",
        promoted_at_seconds: float = math.inf,
    ) -> None:
        self.sort_key = sort_key
        self.on_time_until_seconds = on_time_until_seconds
        self.until_seconds = until_seconds
        self.wait_result = wait_result
        self.rank = rank
        self.organisation = organisation
        self.promoted_at_seconds = promoted_at_seconds

    def on_time(self, now_seconds: float) -> bool:
        """Returns whether the request can still meet its target."""
        return now_seconds <= self.on_time_until_seconds


def queue_name(service: str, model: str) -> str:
    """Returns the name of a queue in messages between routers."""
    return model or service


def queue_sort_key(
    *, arrived_at_seconds: float, urgency: int, busy_seconds: float
) -> float:
    """Returns the sort key of a request in its queue, the smallest first.

    Args:
        arrived_at_seconds: Monotonic time at which the request arrived.
        urgency: Urgency rank; 0 is the most urgent.
        busy_seconds: Expected time for which it holds a slot.
    """
    return (
        arrived_at_seconds
        + urgency * URGENCY_RANK_SECONDS
        + busy_seconds * DURATION_WEIGHT
    )


class WaitQueue:
    """Priority queue of the waiting requests of one service and model."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a request to the queue, in the order of the sort keys."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.sort_key)

    def drop(self, waiter: Waiter) -> None:
        """Removes a request, if it is still queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def count_ahead(
        self, sort_key: float, *, on_time: bool, now_seconds: float
    ) -> int:
        """Returns how many queued requests have priority over another one.

        Args:
            sort_key: Sort key of the other request.
            on_time: Whether it can still meet its target.
            now_seconds: Monotonic time.
        """
        ahead = 0
        for waiter in self._waiters:
            waiter_on_time = waiter.on_time(now_seconds)
            if waiter_on_time == on_time:
                ahead += waiter.sort_key < sort_key
            elif waiter_on_time:
                ahead += 1
        return ahead

    def end_waits_before(self, until_seconds: float) -> None:
        """Ends the waits that end before any slot can be free.

        Args:
            until_seconds: Monotonic time from which slots may be free.
        """
        for waiter in self._waiters:
            if waiter.wait_result.done():
                continue
            if waiter.until_seconds < until_seconds:
                waiter.wait_result.set_result(False)
        self._waiters = [
            waiter for waiter in self._waiters if not waiter.wait_result.done()
        ]

    def admit_waiting(self, free_slots: int, *, now_seconds: float) -> None:
        """Assigns free slots to requests, and ends the wait of expired ones.

        Resolves the `wait_result` of these requests, and removes them from the
        queue.

        Args:
            free_slots: Number of requests that can be sent to runners now.
            now_seconds: Monotonic time.
        """
        on_time_waiters: list[Waiter] = []
        late_waiters: list[Waiter] = []
        for waiter in self._waiters:
            if waiter.wait_result.done():
                continue
            if now_seconds >= waiter.until_seconds:
                waiter.wait_result.set_result(False)
                continue
            if waiter.on_time(now_seconds):
                on_time_waiters.append(waiter)
            else:
                late_waiters.append(waiter)
        admitted = [*on_time_waiters, *late_waiters][: max(0, free_slots)]
        self.admit(admitted)

    def pending(self) -> list[Waiter]:
        """Returns the requests that wait, in the order of the sort keys."""
        return [
            waiter for waiter in self._waiters if not waiter.wait_result.done()
        ]

    def admit(self, admitted: list[Waiter]) -> None:
        """Ends the wait of requests that are sent, and removes them."""
        for waiter in admitted:
            waiter.wait_result.set_result(True)
        self._waiters = self.pending()

    def end_expired_waits(self, now_seconds: float) -> None:
        """Ends the waits whose time is over."""
        for waiter in self.pending():
            if now_seconds >= waiter.until_seconds:
                waiter.wait_result.set_result(False)
        self._waiters = self.pending()


def share_of_free_slots(
    free_slots: int, *, local_waiting: int, peers_waiting: int, chance: float
) -> int:
    """Returns how many of the free slots one router uses for its queue.

    All routers see the same free slots. If each used all of them, the runners
    would receive many times their capacity.

    Args:
        free_slots: Number of requests that can be sent to runners now.
        local_waiting: Number of requests in the queue of this router.
        peers_waiting: Number of requests in the queues of the other routers,
            as they report it.
        chance: A random number from 0 to 1, used to round the share at random.
    """
    if local_waiting <= 0:
        return 0
    share = free_slots * local_waiting / (local_waiting + peers_waiting)
    rounded_down = int(share)
    return rounded_down + (chance < share - rounded_down)
