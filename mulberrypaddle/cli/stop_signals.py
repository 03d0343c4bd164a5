"""Handles the signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop_signal() -> None:
    """Waits for the first stop signal.

    Afterwards the default handlers are restored, so that a second signal
    terminates the process at once.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
