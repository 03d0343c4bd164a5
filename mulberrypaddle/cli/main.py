"""Entry point of the command line."""

from __future__ import annotations

import asyncio
import signal
import sys

import fire
from returns.result import Success

from mulberrypaddle.cli.demo import run_demo
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.router import Router
from mulberrypaddle.settings import load_settings

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2


async def _run_router(settings_path: str) -> None:
    loaded = load_settings(settings_path)
    if not isinstance(loaded, Success):
        print(loaded.failure().detail, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    configure_logging()
    router = Router(loaded.unwrap())
    router.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await router.stop()


class Commands:
    """mulberrypaddle: routers, contracts and data centres."""

    def router(self, settings: str) -> None:
        """Runs one router until it is told to stop.

        Args:
            settings: Path of the settings file.
        """
        asyncio.run(_run_router(settings))

    def demo(self) -> None:
        """Runs a small fleet on embedded stand-ins and shows what it does."""
        asyncio.run(run_demo())


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(Commands, name="mulberrypaddle")
