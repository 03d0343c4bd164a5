"""Access to the object API within the call budget."""

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

# A call that gets no token within this time is refused.
MAX_WAIT_SECONDS = 2.0
MAX_WAITING_CALLS = 256

# Failures that count as no answer from the object API.
_UNAVAILABLE_KINDS = frozenset(
    {ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN}
)


class BudgetedStore:
    """Object store whose calls are rate limited by a shared budget.

    A call waits for a token of the budget. It is refused unsent if the
    budget has tripped, too many calls wait or the wait takes too long.

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
        """Returns one object; an absent object has version zero."""
        return await self._call_within_budget(
            priority, lambda: self._store.read(key)
        )

    async def list(
        self, prefix: str, *, after_version: int, priority: Priority
    ) -> Result[list[StoredObject], Problem]:
        """Returns the objects with a prefix written after a store version."""
        return await self._call_within_budget(
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
        """Replaces an object if its version is `expected_version`."""
        return await self._call_within_budget(
            priority,
            lambda: self._store.write(
                key, value, expected_version=expected_version
            ),
        )

    async def delete(
        self, key: str, *, expected_version: int, priority: Priority
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is `expected_version`."""
        return await self._call_within_budget(
            priority,
            lambda: self._store.delete(key, expected_version=expected_version),
        )

    async def _call_within_budget(
        self,
        priority: Priority,
        send_call: Callable[[], Awaitable[Result[T, Problem]]],
    ) -> Result[T, Problem]:
        """Sends a call when the budget allows it, and records its outcome."""
        if not self.budget.admit(priority):
            return _budget_refusal("closed after failures")
        if not await self._acquire(priority):
            return _budget_refusal("spent")
        result = await send_call()
        kind = result.swap().map(lambda problem: problem.kind).value_or(None)
        self.budget.record(answered=kind not in _UNAVAILABLE_KINDS)
        return result

    async def _acquire(self, priority: Priority) -> bool:
        """Acquires a token, waiting if necessary; returns whether it did."""
        if self.budget.try_acquire(priority):
            return True
        if self._waiting_calls >= MAX_WAITING_CALLS:
            return False
        self._waiting_calls += 1
        try:
            return await self._wait_and_acquire(priority)
        finally:
            self._waiting_calls -= 1

    async def _wait_and_acquire(self, priority: Priority) -> bool:
        """Retries for up to MAX_WAIT_SECONDS to acquire a token."""
        waited_seconds = 0.0
        while waited_seconds < MAX_WAIT_SECONDS:
            wait_seconds = max(0.005, self.budget.wait_seconds(priority))
            await asyncio.sleep(wait_seconds)
            waited_seconds += wait_seconds
            if self.budget.try_acquire(priority):
                return True
        return False


def _budget_refusal(reason: str) -> Failure[Problem]:
    """Returns the failure of a call that the budget refused unsent."""
    return Failure(
        Problem(
            ErrorKind.STORE_UNAVAILABLE,
            f"the call budget of the object API is {reason}",
        )
    )
