"""Runs one router in its own process, to measure its memory and time.

Run as `python -m benchmarks.router_child SETTINGS [--unbounded]`. With
`--unbounded` there is no backpressure: answers are buffered without limits, as
in the first version of the relay. If the environment sets ROUTER_PROFILE=FILE,
a cProfile profile is written there at exit.
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


def _always_true(*_: object, **__: object) -> bool:
    return True


def _remove_bounds() -> None:
    """Disables the reader window and the memory budget, for the baseline."""
    AnswerStream.fits = _always_true  # type: ignore[method-assign]
    StreamMemory._allows = _always_true  # type: ignore[method-assign]


async def _serve(path: str, *, unbounded: bool) -> None:
    """Runs a router with a settings file until SIGTERM."""
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
    """Runs the router until SIGTERM, optionally under a profiler."""
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
