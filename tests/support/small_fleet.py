"""Routers and stand-ins on loopback, for end-to-end tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from mulberrypaddle.standins.local_fleet import LocalFleet, key_digest

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

CALLER_KEY = "caller-key"
CONTRACT = f"""
organisation: museum
key_sha256: ['{key_digest(CALLER_KEY)}']
services:
- service: card-writer
  in_flight_requests: 8
  in_flight_tokens: 1000000
  urgency: high
  deadline_seconds: 20
- service: shop-counter
  in_flight_requests: 8
  urgency: normal
  deadline_seconds: 20
  never_twice: ['POST /orders']
"""


class SmallFleet(LocalFleet):
    """An object API, engines, a plain service and routers (by default one).

    Attributes:
        card_writers: Engines of the service `card-writer`.
        engine: The first of these engines.
        plain: Plain service `shop-counter`.
    """

    def __init__(
        self,
        *,
        router_count: int = 1,
        engine_count: int = 1,
        **router_settings: Any,
    ) -> None:
        super().__init__(router_count=router_count, **router_settings)
        self.card_writers = []
        for number in range(1, engine_count + 1):
            engine = self.add_engine(
                f"card-writer-{number}",
                service="card-writer",
                data_centre="south",
            )
            self.card_writers.append(engine)
        self.engine = self.card_writers[0]
        self.plain = self.add_plain_service(
            "shop-counter-1", service="shop-counter", data_centre="south"
        )
        self.put("config/contracts/museum", CONTRACT)

    async def __aenter__(self) -> SmallFleet:
        await self.start()
        return self

    async def call(
        self,
        service: str,
        path: str,
        body: Any,
        *,
        key: str = CALLER_KEY,
        router: int = 0,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
        """Sends one POST request, by default with the museum's key."""
        return await super().call(
            service, path, body, key=key, router=router, headers=headers
        )
