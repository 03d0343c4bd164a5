"""Calls the object API within the call budget."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from returns.result import Failure, Result

from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mulberrypaddle.backends.base import ObjectStore
    from mulberrypaddle.backends.call_budget import CallBudget
    from mulberrypaddle.blackboard import Priority, StoredObject

T = TypeVar("T")

MAX_WAIT_SECONDS = 2.0
MAX_WAITING_CALLS = 256

_UNANSWERED = frozenset(
    {ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN}
)


class BudgetedStore:
    """Lets each call wait for its turn, or refuses it unsent.

    Attributes:
        budget: The budget that all calls share.
    """

    def __init__(self, store: ObjectStore, budget: CallBudget) -> None:
        self.budget = budget
        self._store = store
        self._waiting_calls = 0

    async def read(
        self, key: str, *, priority: Priority
    ) -> Result[StoredObject, Problem]:
        """Returns one object; an absent one has version zero."""
        return await self._call(priority, lambda: self._store.read(key))

    async def list(
        self, prefix: str, *, after_version: int, priority: Priority
    ) -> Result[list[StoredObject], Problem]:
        """Returns the objects below a prefix that are later than a version."""
        return await self._call(
            priority,
            lambda: self._store.list(prefix, after_version=after_version),
        )

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        priority: Priority,
    ) -> Result[StoredObject, Problem]:
        """Replaces an object if its version is as expected."""
        return await self._call(
            priority,
            lambda: self._store.write(
                key, value, expected_version=expected_version
            ),
        )

    async def delete(
        self, key: str, *, expected_version: int, priority: Priority
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is as expected."""
        return await self._call(
            priority,
            lambda: self._store.delete(key, expected_version=expected_version),
        )

    async def _call(
        self,
        priority: Priority,
        start: Callable[[], Awaitable[Result[T, Problem]]],
    ) -> Result[T, Problem]:
        if not self.budget.admits(priority):
            return _unsent("closed after failures")
        if not await self._take_turn(priority):
            return _unsent("spent")
        result = await start()
        kind = result.swap().map(lambda problem: problem.kind).value_or(None)
        self.budget.record(answered=kind not in _UNANSWERED)
        return result

    async def _take_turn(self, priority: Priority) -> bool:
        if self.budget.try_take(priority):
            return True
        if self._waiting_calls >= MAX_WAITING_CALLS:
            return False
        self._waiting_calls += 1
        try:
            return await self._wait(priority)
        finally:
            self._waiting_calls -= 1

    async def _wait(self, priority: Priority) -> bool:
        waited_seconds = 0.0
        while waited_seconds < MAX_WAIT_SECONDS:
            wait_seconds = max(0.005, self.budget.wait_seconds(priority))
            await asyncio.sleep(wait_seconds)
            waited_seconds += wait_seconds
            if self.budget.try_take(priority):
                return True
        return False


def _unsent(reason: str) -> Failure[Problem]:
    return Failure(
        Problem(
            ErrorKind.STORE_UNAVAILABLE,
            f"the call budget of the object API is {reason}",
        )
    )
