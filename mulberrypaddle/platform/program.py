"""Assembles and runs one router process on the platform."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.observe.dropping_pipe import DroppingPipe
from mulberrypaddle.observe.logs import configure_logging
from mulberrypaddle.platform.decoder import PlatformDecoder
from mulberrypaddle.platform.headers import PlatformHeaderCodec
from mulberrypaddle.platform.hedge_ratio import read_hedge_ratio
from mulberrypaddle.platform.node_file import load_node_file, node_file_path
from mulberrypaddle.platform.platform_api import HttpPlatformApi
from mulberrypaddle.platform.runner_control import PlatformRunnerControl
from mulberrypaddle.platform.store import PlatformStore
from mulberrypaddle.serving.router import ServingRouter

if TYPE_CHECKING:
    from mulberrypaddle.fleet import NodeSettings

# Exit status for invalid settings; the command line uses the same one.
EXIT_BAD_INPUT = 2

# Thresholds of the garbage collector's generations. They make full collections
# rare, since one pauses the streams of a busy router for some milliseconds.
GC_THRESHOLDS = (5_000, 20, 50)


async def _run_router(settings: NodeSettings) -> None:
    """Runs a router with the platform's adapters until it stops.

    The process then exits at once: all connections are closed, log lines
    aren't buffered, and the teardown of the interpreter could outlast the
    grace period.
    """
    platform_api = None
    if settings.platform_api is not None:
        platform_api = HttpPlatformApi(settings.platform_api.address)
    router = ServingRouter(
        settings,
        store=PlatformStore(settings.store_address),
        decoder=PlatformDecoder(),
        header_codec=PlatformHeaderCodec(),
        control=PlatformRunnerControl(),
        platform_api=platform_api,
    )
    await router.run()
    sys.stderr.flush()
    os._exit(0)


def run(path: str = "") -> None:
    """Runs one router until a signal stops it.

    Exits with `EXIT_BAD_INPUT` if the settings are invalid.

    Args:
        path: Path of the settings file; if empty, the path comes from the
            environment or is the default one.
    """
    loaded = load_node_file(path or node_file_path())
    if not isinstance(loaded, Success):
        print(f"invalid settings: {loaded.failure().detail}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    settings = loaded.unwrap()
    hedge_ratio = read_hedge_ratio()
    if not isinstance(hedge_ratio, Success):
        print(
            f"invalid settings: {hedge_ratio.failure().detail}", file=sys.stderr
        )
        sys.exit(EXIT_BAD_INPUT)
    settings.hedge_ratio = hedge_ratio.unwrap()
    pipe = DroppingPipe(sys.stdout.fileno())
    configure_logging(
        stream=pipe,  # type: ignore[arg-type]
        router=settings.node,
    )
    logging.getLogger("tornado").setLevel(logging.WARNING)
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_run_router(settings))
