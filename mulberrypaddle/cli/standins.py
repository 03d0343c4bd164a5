"""Commands that run stand-ins of external systems as processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mulberrypaddle.cli.folders import load_document_folder
from mulberrypaddle.cli.stop_signals import wait_for_stop_signal
from mulberrypaddle.core.fleet import ServiceKind
from mulberrypaddle.operators.documents import DocumentKind
from mulberrypaddle.settings import parse_service
from mulberrypaddle.standins.engine import EngineState, serve_engine
from mulberrypaddle.standins.local_fleet import LocalFleet
from mulberrypaddle.standins.memory_store import MemoryStore
from mulberrypaddle.standins.object_api import serve_object_api
from mulberrypaddle.standins.plain_service import (
    PlainServiceState,
    serve_plain_service,
)

if TYPE_CHECKING:
    from mulberrypaddle.standins.local_server import LocalServer


async def _serve(server: LocalServer) -> None:
    """Prints the server's address and serves until a stop signal."""
    print(f"listening on {server.address}", flush=True)
    await wait_for_stop_signal()
    await server.close()


class StandinCommands:
    """Runs stand-ins of external systems on the loopback address."""

    def object_api(self, *, port: int = 0) -> None:
        """Runs the stand-in of the platform's object API.

        Args:
            port: TCP port; zero for a free one, which is printed.
        """

        async def run_until_stopped() -> None:
            await _serve(serve_object_api(MemoryStore(), port=port))

        asyncio.run(run_until_stopped())

    def engine(self, name: str, *, port: int = 0) -> None:
        """Runs the stand-in of a model engine.

        Args:
            name: Name of the runner.
            port: TCP port; zero for a free one, which is printed.
        """

        async def run_until_stopped() -> None:
            await _serve(serve_engine(EngineState(str(name)), port=port))

        asyncio.run(run_until_stopped())

    def plain(self, name: str, *, port: int = 0) -> None:
        """Runs the stand-in of a plain service.

        Args:
            name: Name of the runner.
            port: TCP port; zero for a free one, which is printed.
        """

        async def run_until_stopped() -> None:
            await _serve(
                serve_plain_service(PlainServiceState(str(name)), port=port)
            )

        asyncio.run(run_until_stopped())

    def fleet(self, folder: str, *, routers: int = 3) -> None:
        """Runs routers and stand-ins with the documents of a folder.

        Prints the routers' addresses. The operator's key is `operator-key`.

        Args:
            folder: Folder laid out like examples/kryss.
            routers: How many routers to run.
        """
        asyncio.run(_serve_fleet(str(folder), routers))


async def _serve_fleet(folder: str, router_count: int) -> None:
    """Runs a fleet with a folder's documents until a stop signal."""
    documents = load_document_folder(folder)
    data_centres = documents.names(DocumentKind.DATA_CENTRE)
    fleet = LocalFleet(router_count=router_count, data_centres=data_centres)
    for name, text in documents.documents_of(DocumentKind.SERVICE):
        _add_runners(fleet, name, text, data_centres)
        fleet.put(DocumentKind.SERVICE.key_of(name), text)
    for name, text in documents.documents_of(DocumentKind.CONTRACT):
        fleet.put(DocumentKind.CONTRACT.key_of(name), text)
    async with fleet:
        print(f"routers {','.join(fleet.addresses)}", flush=True)
        await wait_for_stop_signal()


def _add_runners(
    fleet: LocalFleet, service: str, text: str, data_centres: list[str]
) -> None:
    """Starts one runner of a service in each data centre."""
    plain = parse_service(text, source=service).unwrap().kind
    for data_centre in data_centres:
        runner_id = f"{service}-{data_centre}"
        if plain is ServiceKind.PLAIN:
            fleet.add_plain_service(
                runner_id, service=service, data_centre=data_centre
            )
            continue
        fleet.add_engine(runner_id, service=service, data_centre=data_centre)
