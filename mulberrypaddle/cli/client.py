"""HTTP client of the operator API of the routers."""

from __future__ import annotations

import asyncio
import json
import os
import urllib.parse
from typing import Any

import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.curl import make_client
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran

ROUTER_ENV_VAR = "MULBERRYPADDLE_ROUTER"
OPERATOR_KEY_ENV_VAR = "MULBERRYPADDLE_OPERATOR_KEY"
REQUEST_TIMEOUT_SECONDS = 30.0


class OperatorClient:
    """Sends requests to the operator API, authenticated by an operator's key.

    Attributes:
        addresses: `host:port` of the routers, with IP addresses as hosts.
    """

    __slots__ = ("_key", "addresses")

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        self.addresses = addresses
        self._key = key

    def get(self, path: str, *, address: str = "") -> Result[Any, Problem]:
        """Sends a GET request and returns the JSON response.

        Args:
            path: Path below `/operator/`.
            address: Router to ask; empty for the first one.
        """
        return asyncio.run(self._fetch("GET", path, address=address))

    def put(
        self, path: str, text: str, *, expected_version: int
    ) -> Result[Any, Problem]:
        """Writes a document if its current version is `expected_version`.

        Args:
            path: Path below `/operator/`, with its query.
            text: The document.
            expected_version: Zero for a document that doesn't exist yet.
        """
        return asyncio.run(
            self._fetch(
                "PUT",
                path,
                body=text,
                headers={"If-Match": str(expected_version)},
            )
        )

    async def _fetch(
        self,
        method: str,
        path: str,
        *,
        address: str = "",
        body: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Any, Problem]:
        """Sends one request to a router, by default to the first one."""
        target = address or self.addresses[0]
        request = tornado.httpclient.HTTPRequest(
            f"http://{target}/operator/{urllib.parse.quote(path, safe='/?=')}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._key}", **(headers or {})},
            request_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        client = make_client()
        try:
            response = await client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_no_response_problem(method, target, error))
        finally:
            client.close()
        return _parse_response(response)


def _no_response_problem(method: str, target: str, error: Exception) -> Problem:
    """Returns the problem for a request that got no response.

    A write may have been executed all the same; its outcome is unknown.
    """
    detail = f"router {target}: {error}"
    if method == "GET":
        return Problem(ErrorKind.PEER_UNREACHABLE, detail)
    return Problem(
        ErrorKind.PEER_UNREACHABLE,
        f"{detail}; the change may or may not have been accepted, "
        "read the document to find out",
        ran=Ran.UNKNOWN,
    )


def _parse_response(
    response: tornado.httpclient.HTTPResponse,
) -> Result[Any, Problem]:
    """Returns the JSON value of a response, or the problem in its body."""
    try:
        value = json.loads(response.body or b"null")
    except ValueError:
        value = None
    if response.code == 200:
        return Success(value)
    if not isinstance(value, dict) or "title" not in value:
        return Failure(
            Problem(
                ErrorKind.INTERNAL,
                f"unexpected status {response.code} from the router",
            )
        )
    return Failure(
        Problem(
            ErrorKind(value["title"]), value["detail"], ran=Ran(value["ran"])
        )
    )


def make_operator_client(router: str) -> Result[OperatorClient, Problem]:
    """Returns a client for the routers given by an option or the environment.

    Args:
        router: Comma-separated list of `host:port`; if empty, the
            environment variable MULBERRYPADDLE_ROUTER is used.

    Returns:
        The client, BAD_REQUEST if no router is given, or UNAUTHENTICATED if
        MULBERRYPADDLE_OPERATOR_KEY is not set.
    """
    named = router or os.environ.get(ROUTER_ENV_VAR, "")
    addresses = tuple(part for part in named.split(",") if part)
    if not addresses:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"no router given: use --router=HOST:PORT or set "
                f"{ROUTER_ENV_VAR}",
            )
        )
    key = os.environ.get(OPERATOR_KEY_ENV_VAR, "")
    if not key:
        return Failure(
            Problem(
                ErrorKind.UNAUTHENTICATED,
                f"no operator key given: set {OPERATOR_KEY_ENV_VAR}",
            )
        )
    return Success(OperatorClient(addresses, key))
