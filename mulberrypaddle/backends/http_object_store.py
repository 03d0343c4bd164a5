"""HTTP client of the platform's object API."""

from __future__ import annotations

import base64
import urllib.parse
from typing import TYPE_CHECKING, Any, TypeVar

import tornado.httpclient
from returns.result import Failure, Result

from mulberrypaddle.backends.base import ObjectStore
from mulberrypaddle.backends.curl import make_client, proves_unsent
from mulberrypaddle.backends.parsing import convert, decode_json
from mulberrypaddle.blackboard import StoredObject
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.value_checks import require_int, require_name, shorten

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

T = TypeVar("T")

_READ_METHODS = frozenset({"GET"})


class HttpObjectStore(ObjectStore):
    """Client of the object API at one address."""

    def __init__(self, address: str, *, timeout_seconds: float = 2.0) -> None:
        self._base_url = f"http://{address}"
        self._timeout_seconds = timeout_seconds
        self._client = make_client()

    async def read(self, key: str) -> Result[StoredObject, Problem]:
        """Returns one object; an absent object has version zero."""
        result = await self._call("GET", _object_path(key))
        return _convert("GET", result, _parse_object)

    async def list(
        self, prefix: str, *, after_version: int = 0
    ) -> Result[list[StoredObject], Problem]:
        """Returns the objects with a prefix written after a store version."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after_version": after_version}
        )
        result = await self._call("GET", f"/objects?{query}")
        return _convert(
            "GET",
            result,
            lambda value: [_parse_object(item) for item in value["objects"]],
        )

    async def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Replaces an object if its version is `expected_version`."""
        result = await self._call(
            "PUT",
            _object_path(key),
            body=value,
            expected_version=expected_version,
        )
        return _convert("PUT", result, _parse_object)

    async def delete(
        self, key: str, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is `expected_version`."""
        result = await self._call(
            "DELETE", _object_path(key), expected_version=expected_version
        )
        return _convert("DELETE", result, _parse_object)

    def close(self) -> None:
        """Closes the HTTP client."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        expected_version: int | None = None,
    ) -> Result[Any, Problem]:
        """Sends one request and returns the parsed JSON of its response."""
        headers = {}
        if expected_version is not None:
            headers["If-Match"] = str(expected_version)
        request = tornado.httpclient.HTTPRequest(
            self._base_url + path,
            method=method,
            body=body,
            headers=headers,
            request_timeout=self._timeout_seconds,
            connect_timeout=self._timeout_seconds,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            return Failure(_problem_of_error(method, error))
        return _parse_response(method, response)


def _object_path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key)


def _parse_object(value: dict[str, Any]) -> StoredObject:
    """Parses an object, whose content is base64 on the wire."""
    return StoredObject(
        require_name(value["key"]),
        base64.b64decode(value["value"]),
        require_int(value["version"]),
    )


def _convert(
    method: str, result: Result[Any, Problem], parse: Callable[[Any], T]
) -> Result[T, Problem]:
    """Converts the JSON of a response; a failure stays as it is."""
    return convert(
        result, parse, kind=_unreadable_kind(method), subject="object API"
    )


def _unreadable_kind(method: str) -> ErrorKind:
    """Returns the kind of problem of a response that can't be read."""
    if method in _READ_METHODS:
        return ErrorKind.STORE_UNAVAILABLE
    return ErrorKind.OUTCOME_UNKNOWN


def _problem_of_error(method: str, error: BaseException) -> Problem:
    """Returns the problem of a call without a response.

    A write whose request may have been sent has an unknown outcome.
    """
    detail = f"object API: {error}"
    if method in _READ_METHODS or proves_unsent(error):
        return Problem(ErrorKind.STORE_UNAVAILABLE, detail)
    return Problem(ErrorKind.OUTCOME_UNKNOWN, detail)


def _parse_response(
    method: str, response: HTTPResponse
) -> Result[Any, Problem]:
    """Returns the JSON of a response, or the problem of its status."""
    decoded = decode_json(
        response.body, kind=_unreadable_kind(method), subject="object API"
    )
    if response.code == 200:
        return decoded
    value = decoded.value_or(None)
    detail = f"object API: {response.code}"
    if isinstance(value, dict) and "detail" in value:
        detail = f"object API: {shorten(value['detail'])}"
    if response.code == 409:
        return Failure(Problem(ErrorKind.CONFLICT, detail))
    if response.code == 413:
        return Failure(Problem(ErrorKind.TOO_LARGE, detail))
    if response.code in (429, 503) or method in _READ_METHODS:
        return Failure(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
    return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail))
