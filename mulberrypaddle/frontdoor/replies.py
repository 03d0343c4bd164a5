"""Awaits the reply of a controller or adapter that uses callbacks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

T = TypeVar("T")


def no_wake() -> None:
    """Does nothing: the controllers step at their usual interval."""


async def wait_for_reply(
    ask: Callable[[Callable[[Result[T, Problem]], None]], None],
    *,
    wake: Callable[[], None] = no_wake,
) -> Result[T, Problem]:
    """Waits for the single reply of a controller or adapter.

    Args:
        ask: Sends the question; it gets the callback for the reply.
        wake: Called if `ask` returned without a reply, to schedule the next
            step of the controllers.
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
