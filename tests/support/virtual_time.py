"""An event loop on virtual time, which advances without waiting."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time instead of blocking until a timeout.

    Attributes:
        now_seconds: Current virtual time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready events; if none, advances by the timeout."""
        events = super().select(0)
        if not events and timeout is not None:
            self.now_seconds += max(0.0, timeout)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, for coroutines without real I/O."""

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
