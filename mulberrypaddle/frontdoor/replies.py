"""Waits for the one reply of a controller or adapter."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

T = TypeVar("T")


def no_wake() -> None:
    """Leaves the controllers to their own pace."""


async def reply_of(
    ask: Callable[[Callable[[Result[T, Problem]], None]], None],
    *,
    wake: Callable[[], None] = no_wake,
) -> Result[T, Problem]:
    """Waits for the one reply of a controller or adapter.

    Args:
        ask: Asks it, with the function that takes the reply.
        wake: Called when the reply does not come at once.
    """
    future: asyncio.Future[Result[T, Problem]] = (
        asyncio.get_running_loop().create_future()
    )

    def reply(result: Result[T, Problem]) -> None:
        if not future.done():
            future.set_result(result)

    ask(reply)
    if not future.done():
        wake()
    return await future
