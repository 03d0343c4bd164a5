"""Calls the operators' part of a router's front door."""

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

ROUTER_VARIABLE = "MULBERRYPADDLE_ROUTER"
KEY_VARIABLE = "MULBERRYPADDLE_OPERATOR_KEY"
TIMEOUT_SECONDS = 30.0


class OperatorClient:
    """Speaks to one or several routers with an operator's key.

    Attributes:
        addresses: `host:port` of the routers, by IP number.
    """

    __slots__ = ("_key", "addresses")

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        self.addresses = addresses
        self._key = key

    def get(self, path: str, *, address: str = "") -> Result[Any, Problem]:
        """Reads a JSON value below `/operator`."""
        return asyncio.run(self._fetch("GET", path, address=address))

    def put(
        self, path: str, text: str, *, expected_version: int
    ) -> Result[Any, Problem]:
        """Writes a document whose present version is as expected."""
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
        target = address or self.addresses[0]
        request = tornado.httpclient.HTTPRequest(
            f"http://{target}/operator/{urllib.parse.quote(path, safe='/?=')}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._key}", **(headers or {})},
            request_timeout=TIMEOUT_SECONDS,
        )
        client = make_client()
        try:
            response = await client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_unanswered(method, target, error))
        finally:
            client.close()
        return _parse(response)


def _unanswered(method: str, target: str, error: Exception) -> Problem:
    detail = f"router {target}: {error}"
    if method == "GET":
        return Problem(ErrorKind.PEER_UNREACHABLE, detail)
    return Problem(
        ErrorKind.PEER_UNREACHABLE,
        f"{detail}; whether the change was accepted is unknown, read it back",
        ran=Ran.UNKNOWN,
    )


def _parse(response: tornado.httpclient.HTTPResponse) -> Result[Any, Problem]:
    try:
        value = json.loads(response.body or b"null")
    except ValueError:
        value = None
    if response.code == 200:
        return Success(value)
    if not isinstance(value, dict) or "title" not in value:
        return Failure(
            Problem(ErrorKind.INTERNAL, f"router answered {response.code}")
        )
    return Failure(
        Problem(
            ErrorKind(value["title"]), value["detail"], ran=Ran(value["ran"])
        )
    )


def make_operator_client(router: str) -> Result[OperatorClient, Problem]:
    """Returns a client for the routers named by option or environment.

    Args:
        router: `host:port`, several separated by commas; empty takes the
            environment variable MULBERRYPADDLE_ROUTER.
    """
    named = router or os.environ.get(ROUTER_VARIABLE, "")
    addresses = tuple(part for part in named.split(",") if part)
    if not addresses:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"got no router, allowed is --router=HOST:PORT or "
                f"{ROUTER_VARIABLE}",
            )
        )
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        return Failure(
            Problem(
                ErrorKind.UNAUTHENTICATED,
                f"got no operator's key, allowed is one in {KEY_VARIABLE}",
            )
        )
    return Success(OperatorClient(addresses, key))
