"""Commands that run stand-ins of the outside systems as processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulberrypaddle.cli.stopping import until_signalled
from mulberrypaddle.standins.engine import EngineState, serve_engine
from mulberrypaddle.standins.memory_store import MemoryStore
from mulberrypaddle.standins.object_api import serve_object_api
from mulberrypaddle.standins.plain_service import PlainState, serve_plain

if TYPE_CHECKING:
    from mulberrypaddle.standins.web import LocalServer


async def _serve(server: LocalServer) -> None:
    print(f"listening on {server.address}", flush=True)
    await until_signalled()
    await server.close()


class StandinCommands:
    """Stand-ins on the loopback address, for trying things out."""

    def object_api(self, *, port: int = 0) -> None:
        """Runs the stand-in of the platform's object API.

        Args:
            port: TCP port; zero takes a free one, which is printed.
        """

        async def work() -> None:
            await _serve(serve_object_api(MemoryStore(), port=port))

        asyncio.run(work())

    def engine(self, name: str, *, port: int = 0) -> None:
        """Runs the stand-in of a model engine.

        Args:
            name: Name of the runner.
            port: TCP port; zero takes a free one, which is printed.
        """

        async def work() -> None:
            await _serve(serve_engine(EngineState(str(name)), port=port))

        asyncio.run(work())

    def plain(self, name: str, *, port: int = 0) -> None:
        """Runs the stand-in of a plain service.

        Args:
            name: Name of the runner.
            port: TCP port; zero takes a free one, which is printed.
        """

        async def work() -> None:
            await _serve(serve_plain(PlainState(str(name)), port=port))

        asyncio.run(work())
