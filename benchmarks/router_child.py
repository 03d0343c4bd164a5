"""One router in a process of its own, so that its memory can be measured.

Run as `python -m benchmarks.router_child SETTINGS [--unbounded]`. With
`--unbounded` nothing holds a sender back: the relay of the first version.
With ROUTER_PROFILE=FILE in the environment a profile is written at the end.
"""

from __future__ import annotations

import asyncio
import cProfile
import logging
import os
import signal
import sys

from mulberrypaddle.controllers.stream_memory import AnswerStream, StreamMemory
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.router import Router
from mulberrypaddle.settings import load_settings

UNBOUNDED_BYTES = 1 << 50


def _always(*_: object, **__: object) -> bool:
    return True


def _remove_bounds() -> None:
    """Takes window and budget away, for the baseline."""
    AnswerStream.fits = _always  # type: ignore[method-assign]
    StreamMemory._allows = _always  # type: ignore[method-assign]


async def _serve(path: str, *, unbounded: bool) -> None:
    settings = load_settings(path).unwrap()
    router = Router(settings)
    if unbounded:
        router.memory.budget_bytes = UNBOUNDED_BYTES
    router.start()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await router.stop()


def main() -> None:
    """Serves until SIGTERM."""
    unbounded = "--unbounded" in sys.argv
    if unbounded:
        _remove_bounds()
    configure_logging(level=logging.WARNING)
    profile_file = os.environ.get("ROUTER_PROFILE", "")
    profiler = cProfile.Profile()
    if profile_file:
        profiler.enable()
    asyncio.run(_serve(sys.argv[1], unbounded=unbounded))
    if profile_file:
        profiler.dump_stats(profile_file)


if __name__ == "__main__":
    main()
