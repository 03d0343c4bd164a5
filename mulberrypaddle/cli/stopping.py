"""Waits for the signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def until_signalled() -> None:
    """Returns when the process is asked to stop for the first time."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    # A second signal ends the process at once, by the default handling.
    for number in SIGNALS:
        loop.remove_signal_handler(number)
