"""Runs a coroutine in a test with an event loop of its own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")

TEST_TIMEOUT_SECONDS = 60


def run(work: Coroutine[Any, Any, T]) -> T:
    """Returns what `work` returns; a hang ends as a TimeoutError."""

    async def bounded() -> T:
        return await asyncio.wait_for(work, TEST_TIMEOUT_SECONDS)

    return asyncio.run(bounded())
