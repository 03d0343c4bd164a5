"""A loop whose time passes as fast as its work is done."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _VirtualSelector(selectors.SelectSelector):
    """Lets time pass instead of waiting for it.

    Attributes:
        now_seconds: Time of the loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now; else lets the timeout pass."""
        events = super().select(0)
        if not events and timeout is not None:
            self.now_seconds += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time; for work without I/O."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_seconds


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
