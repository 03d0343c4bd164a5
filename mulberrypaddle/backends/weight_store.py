"""HTTP client of the platform's rate-limited weight store."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING

from mulberrypaddle.backends.json_http_client import JsonHttpClient
from mulberrypaddle.core.value_checks import require_number

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem

TIMEOUT_SECONDS = 2.0

# Longest time that a reservation may have left: a day.
MAX_EXPIRY_SECONDS = 86_400.0


class HttpWeightStore:
    """Reserves and releases loads of model weights."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._http_client = JsonHttpClient(timeout_seconds=TIMEOUT_SECONDS)

    async def reserve(
        self, load_id: str, *, model: str
    ) -> Result[float, Problem]:
        """Reserves a load under an idempotent id.

        Args:
            load_id: Id of the load; a repeated call reserves it only once.
            model: Model whose weights are loaded.

        Returns:
            The seconds until the reservation expires, or LIMIT_REACHED.
        """
        return await self._http_client.call_and_convert(
            "POST",
            self._url(load_id),
            {"model": model},
            parse=lambda value: require_number(
                value["expires_seconds"], maximum=MAX_EXPIRY_SECONDS
            ),
        )

    async def release(self, load_id: str) -> None:
        """Releases a reservation; if the call is lost, it expires later."""
        await self._http_client.call("DELETE", self._url(load_id))

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http_client.close()

    def _url(self, load_id: str) -> str:
        """Returns the URL of a load's reservation."""
        return f"http://{self._address}/loads/{urllib.parse.quote(load_id)}"
