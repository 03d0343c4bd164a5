"""The platform's rate-limited weight store over HTTP."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING

from mulberrypaddle.backends.json_calls import JsonCalls

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

TIMEOUT_SECONDS = 2.0


class HttpWeightStore:
    """Reserves and releases loads."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._calls = JsonCalls(timeout_seconds=TIMEOUT_SECONDS)

    async def reserve(
        self, load_id: str, *, model: str
    ) -> Result[float, Problem]:
        """Returns the seconds that a load may take, or LIMIT_REACHED."""
        result = await self._calls.call(
            "POST", self._url(load_id), {"model": model}
        )
        return result.map(lambda value: float(value["expires_seconds"]))

    async def release(self, load_id: str) -> None:
        """Ends a reservation; a lost call is made good by its expiry."""
        await self._calls.call("DELETE", self._url(load_id))

    def close(self) -> None:
        """Closes the client."""
        self._calls.close()

    def _url(self, load_id: str) -> str:
        return f"http://{self._address}/loads/{urllib.parse.quote(load_id)}"
