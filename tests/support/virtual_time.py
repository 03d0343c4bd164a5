"""An event loop on virtual time, which advances without waiting."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from typing import TYPE_CHECKING, Any
from unittest import mock

from mulberrypaddle.serving import duty, duty_manager

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator


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


@contextlib.contextmanager
def virtual_lease_clock() -> Iterator[None]:
    """Lets leases run on the time of the running loop meanwhile."""
    loop = asyncio.get_running_loop()

    def clock() -> float:
        # 0 stands for "never" in a duty manager.
        return 100.0 + loop.time()

    with (
        mock.patch.object(duty, "boottime_seconds", clock),
        mock.patch.object(duty_manager, "boottime_seconds", clock),
    ):
        yield
