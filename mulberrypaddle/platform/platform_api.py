"""HTTP client of the platform's API for duties."""

from __future__ import annotations

import json
import logging
from typing import Any

import pycurl
import tornado.httpclient

from mulberrypaddle.backends.curl import limit_answer_size, make_client
from mulberrypaddle.duties.platform_api import CallOutcome, PlatformApi

_LOGGER = logging.getLogger("mulberrypaddle.duties")

# Timeout of a call. The lease under which it is made lasts at least as long, so
# that calls in flight arrive while it is valid.
CALL_TIMEOUT_SECONDS = 0.6

MAX_ANSWER_BYTES = 65_536

_OUTDATED_STATUS = 409


class HttpPlatformApi(PlatformApi):
    """Makes calls to the platform's API over HTTP."""

    def __init__(self, address: str) -> None:
        """Creates a client.

        Args:
            address: Address of the API, as host:port.
        """
        self._address = address
        self._client = make_client()

    async def report_usage(
        self, window: int, counts: dict[str, int], *, holder: str, fence: int
    ) -> CallOutcome:
        """Reports how many requests began in a window; see `PlatformApi`."""
        body = {"windowIndex": window, "counts": counts}
        return await self._post("/usage", body, holder=holder, fence=fence)

    async def set_runner_count(
        self,
        service: str,
        data_centre: str,
        count: int,
        *,
        holder: str,
        fence: int,
    ) -> CallOutcome:
        """Orders the number of runners of a service; see `PlatformApi`."""
        body = {"service": service, "zone": data_centre, "desiredCount": count}
        return await self._post("/scale", body, holder=holder, fence=fence)

    async def _post(
        self, path: str, body: dict[str, Any], *, holder: str, fence: int
    ) -> CallOutcome:
        """Sends one call and returns how it ended.

        Each call has a connection of its own: one that was kept may have gone
        silent, and curl repeats a request on a kept connection that is reset.
        """
        request = tornado.httpclient.HTTPRequest(
            f"http://{self._address}{path}",
            method="POST",
            headers={
                "X-Duty-Holder": holder,
                "X-Fencing-Token": str(fence),
                "Content-Type": "application/json",
            },
            body=json.dumps(body, sort_keys=True),
            connect_timeout=CALL_TIMEOUT_SECONDS,
            request_timeout=CALL_TIMEOUT_SECONDS,
            follow_redirects=False,
            prepare_curl_callback=_configure,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            _LOGGER.warning(
                "platform_call_unanswered",
                extra={"path": path, "fence": fence, "reason": str(error)},
            )
            return CallOutcome.UNKNOWN
        if response.code == _OUTDATED_STATUS:
            return CallOutcome.OUTDATED
        if 200 <= response.code < 300:
            return CallOutcome.ACCEPTED
        if 400 <= response.code < 599:
            return CallOutcome.REJECTED
        # Tornado reports a call without an answer as status 599.
        return CallOutcome.UNKNOWN


def _configure(curl: pycurl.Curl) -> None:
    """Sets the curl options of a call."""
    limit_answer_size(MAX_ANSWER_BYTES)(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
