"""Requests that wait in a router until a runner has room."""

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
        order: Place in the line; the smallest goes first.
        until_seconds: Monotonic time at which waiting ends.
        turn: Done when the request may go on: True if it may be sent,
            False if its time is up.
    """

    __slots__ = ("order", "turn", "until_seconds")

    def __init__(
        self, order: float, *, until_seconds: float, turn: asyncio.Future[bool]
    ) -> None:
        self.order = order
        self.until_seconds = until_seconds
        self.turn = turn


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

    def ahead_of(self, order: float) -> int:
        """Returns how many requests go before a place."""
        return bisect.bisect_left(
            self._waiters, order, key=lambda item: item.order
        )

    def advance(self, room: int, *, now_seconds: float) -> None:
        """Lets requests go on while there is room, and ends late ones.

        Args:
            room: Requests that fit at the runners now.
            now_seconds: Monotonic time.
        """
        let_go = 0
        kept: list[Waiter] = []
        for waiter in self._waiters:
            if waiter.turn.done():
                continue
            if now_seconds >= waiter.until_seconds:
                waiter.turn.set_result(False)
                continue
            if let_go < room:
                waiter.turn.set_result(True)
                let_go += 1
                continue
            kept.append(waiter)
        self._waiters = kept
