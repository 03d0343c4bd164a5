"""Runs a coroutine of a test in a new event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")

TEST_TIMEOUT_SECONDS = 60


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine and returns its result.

    Raises:
        TimeoutError: If it takes longer than `TEST_TIMEOUT_SECONDS`.
    """

    async def bounded() -> T:
        return await asyncio.wait_for(work, TEST_TIMEOUT_SECONDS)

    return asyncio.run(bounded())
