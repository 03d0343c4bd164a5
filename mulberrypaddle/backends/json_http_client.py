"""HTTP client that sends and receives JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.curl import CurlClient, make_client, proves_unsent
from mulberrypaddle.backends.parsing import convert, decode_json
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

T = TypeVar("T")

# Kind of problem by HTTP status; other statuses leave the outcome unknown.
_KIND_BY_STATUS = {
    409: ErrorKind.RUNNER_REFUSED,
    429: ErrorKind.LIMIT_REACHED,
    503: ErrorKind.STORE_UNAVAILABLE,
}


class JsonHttpClient:
    """HTTP client for JSON interfaces of VMs and the platform."""

    def __init__(self, *, timeout_seconds: float) -> None:
        self._timeout_seconds = timeout_seconds
        self._client: CurlClient = make_client()

    async def call(
        self,
        method: str,
        url: str,
        body: Mapping[str, Any] | None = None,
    ) -> Result[Any, Problem]:
        """Sends one request.

        Args:
            method: HTTP method.
            url: Complete URL, with an IP address.
            body: Value that is sent as JSON, or None for no body.

        Returns:
            The parsed JSON value; RUNNER_UNREACHABLE if the request was not
            sent; OUTCOME_UNKNOWN if no valid response was received;
            otherwise the kind in `_KIND_BY_STATUS`.
        """
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=None if body is None else json.dumps(body),
            connect_timeout=self._timeout_seconds,
            request_timeout=self._timeout_seconds,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            kind = ErrorKind.OUTCOME_UNKNOWN
            if proves_unsent(error):
                kind = ErrorKind.RUNNER_UNREACHABLE
            return Failure(Problem(kind, f"{method} {url}: {error}"))
        decoded = decode_json(
            response.body,
            kind=ErrorKind.OUTCOME_UNKNOWN,
            subject=f"{method} {url}",
        )
        if response.code == 200 or not isinstance(decoded, Success):
            return decoded
        kind = _KIND_BY_STATUS.get(response.code, ErrorKind.OUTCOME_UNKNOWN)
        return Failure(Problem(kind, f"{method} {url}: {response.code}"))

    async def call_and_convert(
        self,
        method: str,
        url: str,
        body: Mapping[str, Any] | None = None,
        *,
        parse: Callable[[Any], T],
    ) -> Result[T, Problem]:
        """Sends one request and converts the value of the answer.

        Args:
            method: HTTP method.
            url: Complete URL, with an IP address.
            body: Value that is sent as JSON, or None for no body.
            parse: Returns the converted value; may raise `PARSE_ERRORS`.

        Returns:
            The converted value, or OUTCOME_UNKNOWN if it has another form;
            otherwise the failures of `call`.
        """
        return convert(
            await self.call(method, url, body),
            parse,
            kind=ErrorKind.OUTCOME_UNKNOWN,
            subject=f"{method} {url}",
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()
