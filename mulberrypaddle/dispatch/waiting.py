"""Requests that wait in a router until a runner has room.

Answers overload: an answer within the target is worth several late ones, and
however long a line is, runners serve equally many of it. What can still be in
time goes first; what is late goes when nothing is, for as long as its caller
waits. A line served in the order of arrival would make all late.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# Head start of each rank of urgency over the next one.
RANK_SECONDS = 1.0

# Delay for each second that a request will hold a slot: short requests first,
# and yet none waits behind newer ones for longer than this allows.
SIZE_WEIGHT = 1.5


class Waiter:
    """One waiting request.

    Attributes:
        order: Place among those in time, or among the late; the smallest
            goes first.
        on_time_until_seconds: Monotonic time until which sending it makes
            its answer come within the target.
        until_seconds: Monotonic time at which waiting ends.
        turn: Done when the request may go on: True if it may be sent,
            False if its time is up.
    """

    __slots__ = ("on_time_until_seconds", "order", "turn", "until_seconds")

    def __init__(
        self,
        order: float,
        *,
        on_time_until_seconds: float,
        until_seconds: float,
        turn: asyncio.Future[bool],
    ) -> None:
        self.order = order
        self.on_time_until_seconds = on_time_until_seconds
        self.until_seconds = until_seconds
        self.turn = turn

    def on_time(self, now_seconds: float) -> bool:
        """Returns whether its answer can still come within the target."""
        return now_seconds <= self.on_time_until_seconds


def order_of(
    *, arrived_at_seconds: float, urgency: int, busy_seconds: float
) -> float:
    """Returns the place of a request in its line.

    Args:
        arrived_at_seconds: When it came.
        urgency: Its rank, 0 first.
        busy_seconds: How long it will hold a slot.
    """
    return (
        arrived_at_seconds + urgency * RANK_SECONDS + busy_seconds * SIZE_WEIGHT
    )


class WaitingLine:
    """The waiting requests of one service and model."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Puts a request into its place."""
        bisect.insort(self._waiters, waiter, key=lambda item: item.order)

    def drop(self, waiter: Waiter) -> None:
        """Takes a request out, if it is still there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def ahead_of(
        self, order: float, *, on_time: bool, now_seconds: float
    ) -> int:
        """Returns how many requests go before a place.

        Args:
            order: The place.
            on_time: Whether it is among those in time.
            now_seconds: Monotonic time.
        """
        ahead = 0
        for waiter in self._waiters:
            waiter_on_time = waiter.on_time(now_seconds)
            if waiter_on_time == on_time:
                ahead += waiter.order < order
            elif waiter_on_time:
                ahead += 1
        return ahead

    def advance(self, room: int, *, now_seconds: float) -> None:
        """Lets requests go on while there is room, and ends overdue ones.

        Args:
            room: Requests that fit at the runners now.
            now_seconds: Monotonic time.
        """
        in_time: list[Waiter] = []
        late: list[Waiter] = []
        for waiter in self._waiters:
            if waiter.turn.done():
                continue
            if now_seconds >= waiter.until_seconds:
                waiter.turn.set_result(False)
                continue
            if waiter.on_time(now_seconds):
                in_time.append(waiter)
            else:
                late.append(waiter)
        let_go = [*in_time, *late][: max(0, room)]
        for waiter in let_go:
            waiter.turn.set_result(True)
        self._waiters = [
            waiter for waiter in self._waiters if not waiter.turn.done()
        ]


def share_of_room(
    room: int, *, own_waiting: int, others_waiting: int, chance: float
) -> int:
    """Returns how much of the room one router takes for its line.

    Routers see the same room; if each took all of it, the runners would get
    many times what they hold.

    Args:
        room: Requests that fit at the runners now.
        own_waiting: Requests that wait in this router.
        others_waiting: Requests that wait in the others, as they told.
        chance: A random number from 0 to 1; it settles the part of a place.
    """
    if own_waiting <= 0:
        return 0
    share = room * own_waiting / (own_waiting + others_waiting)
    whole = int(share)
    return whole + (chance < share - whole)
