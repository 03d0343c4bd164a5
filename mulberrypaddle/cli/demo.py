"""The demonstration: a small fleet on embedded stand-ins."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.observe import configure_logging
from mulberrypaddle.router import Router
from mulberrypaddle.settings import RouterSettings
from mulberrypaddle.standins.engine import EngineState, serve_engine
from mulberrypaddle.standins.memory_store import MemoryStore
from mulberrypaddle.standins.object_api import serve_object_api
from mulberrypaddle.standins.web import LOOPBACK, LocalServer, free_port

if TYPE_CHECKING:
    import tornado.httpclient

CALLER_KEY = "demo-key-of-the-card-museum"
READY_ATTEMPTS = 200


def _contract() -> str:
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    return (
        "organisation: card-museum\n"
        f"key_sha256: ['{digest}']\n"
        "services:\n"
        "- {service: card-writer, in_flight_requests: 8, urgency: high,"
        " deadline_seconds: 10}\n"
    )


def _fill(store: MemoryStore, engine_address: str) -> None:
    documents = {
        "config/contracts/card-museum": _contract(),
        "config/services/card-writer": "service: card-writer\nkind: engine\n",
        "config/data-centres/south": "data_centre: south\nstate: in\n",
        "runners/card-writer-1": json.dumps(
            {
                "service": "card-writer",
                "kind": "engine",
                "address": engine_address,
                "data_centre": "south",
            }
        ),
    }
    for key, text in documents.items():
        store.write(key, text.encode(), expected_version=0)


async def wait_until_ready(
    client: tornado.httpclient.AsyncHTTPClient, address: str
) -> None:
    """Waits until a router answers that it is ready.

    Args:
        client: Client to ask with.
        address: `host:port` of the router's front door.

    Raises:
        TimeoutError: If it does not become ready.
    """
    for _ in range(READY_ATTEMPTS):
        response = await client.fetch(
            f"http://{address}/readyz", raise_error=False
        )
        if response.code == 200:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"the router at {address} did not become ready")


async def run_demo() -> None:
    """Starts the fleet, sends requests and prints what came back."""
    configure_logging()
    store = MemoryStore()
    servers: list[LocalServer] = [serve_object_api(store)]
    servers.append(serve_engine(EngineState("card-writer-1")))
    _fill(store, servers[1].address)
    address = f"{LOOPBACK}:{free_port()}"
    router = Router(
        RouterSettings(
            member_id="router-1",
            data_centre="south",
            region="tx-central",
            caller_address=address,
            peer_address=f"{LOOPBACK}:{free_port()}",
            object_api_address=servers[0].address,
            peer_plaintext=True,
        )
    )
    router.start()
    client = make_client()
    await wait_until_ready(client, address)
    print(await _call(client, address, CALLER_KEY))
    print(await _call(client, address, "a key that nobody was given"))
    await router.stop()
    for server in servers:
        await server.close()


async def _call(
    client: tornado.httpclient.AsyncHTTPClient, address: str, key: str
) -> str:
    response = await client.fetch(
        f"http://{address}/services/card-writer/v1/completions",
        method="POST",
        headers={"Authorization": f"Bearer {key}"},
        body=json.dumps(
            {"prompt": "a blurb for a card", "max_tokens": 4, "stream": True}
        ),
        raise_error=False,
    )
    return f"{response.code} {response.body.decode()}"
