"""One router over loopback with its stand-ins, for end-to-end tests."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.cli.demo import wait_until_ready
from mulberrypaddle.router import Router
from mulberrypaddle.settings import RouterSettings
from mulberrypaddle.standins.engine import EngineState, serve_engine
from mulberrypaddle.standins.memory_store import MemoryStore
from mulberrypaddle.standins.object_api import serve_object_api
from mulberrypaddle.standins.plain_service import PlainState, serve_plain
from mulberrypaddle.standins.web import LOOPBACK, free_port

KEY = "caller-key"
CONTRACT = f"""
organisation: museum
key_sha256: ['{hashlib.sha256(KEY.encode()).hexdigest()}']
services:
- service: card-writer
  in_flight_requests: 8
  urgency: high
  deadline_seconds: 20
- service: shop-counter
  in_flight_requests: 8
  urgency: normal
  deadline_seconds: 20
  never_twice: ['POST /orders']
"""


class SmallFleet:
    """An object API, an engine, a plain service and one router."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.engine = EngineState("card-writer-1")
        self.plain = PlainState("shop-counter-1")
        self._servers = [
            serve_object_api(self.store),
            serve_engine(self.engine),
            serve_plain(self.plain),
        ]
        self._fill()
        self.address = f"{LOOPBACK}:{free_port()}"
        self.router = Router(
            RouterSettings(
                member_id="router-1",
                data_centre="south",
                region="tx-central",
                caller_address=self.address,
                peer_address=f"{LOOPBACK}:{free_port()}",
                object_api_address=self._servers[0].address,
                peer_plaintext=True,
            )
        )
        self.client = make_client()

    async def __aenter__(self) -> SmallFleet:
        self.router.start()
        await wait_until_ready(self.client, self.address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        await self.router.stop()
        for server in self._servers:
            await server.close()

    async def call(
        self,
        service: str,
        path: str,
        body: Any,
        *,
        key: str = KEY,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Sends one POST; a cut answer comes back with status 599."""
        request = HTTPRequest(
            f"http://{self.address}/services/{service}{path}",
            method="POST",
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            body=json.dumps(body),
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except HTTPClientError:
            return HTTPResponse(request, 599)

    def _fill(self) -> None:
        documents = {
            "config/contracts/museum": CONTRACT,
            "config/services/card-writer": (
                "service: card-writer\nkind: engine\n"
            ),
            "config/services/shop-counter": (
                "service: shop-counter\nkind: plain\n"
            ),
            "config/data-centres/south": "data_centre: south\nstate: in\n",
        }
        for index, service, kind in (
            (1, "card-writer", "engine"),
            (2, "shop-counter", "plain"),
        ):
            documents[f"runners/{service}-1"] = json.dumps(
                {
                    "service": service,
                    "kind": kind,
                    "address": self._servers[index].address,
                    "data_centre": "south",
                }
            )
        for key, text in documents.items():
            self.store.write(key, text.encode(), expected_version=0)
