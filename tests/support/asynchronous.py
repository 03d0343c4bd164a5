"""Runs a coroutine of a test in a new event loop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, TypeVar
from unittest import mock

from mulberrypaddle.backends.curl import CurlClient

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

T = TypeVar("T")

TEST_TIMEOUT_SECONDS = 60


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine and returns its result.

    Curl clients that it leaves open are closed.

    Raises:
        TimeoutError: If it takes longer than `TEST_TIMEOUT_SECONDS`.
    """

    async def bounded() -> T:
        with _closed_clients():
            return await asyncio.wait_for(work, TEST_TIMEOUT_SECONDS)

    return asyncio.run(bounded())


@contextlib.contextmanager
def _closed_clients() -> Iterator[None]:
    """Closes the curl clients that are made meanwhile and left open.

    A client that outlives its event loop raises an error when it is collected,
    which may be in any later test.
    """
    clients: list[CurlClient] = []
    initialize = CurlClient.initialize

    def record(client: CurlClient, *args: Any, **options: Any) -> None:
        initialize(client, *args, **options)
        clients.append(client)

    with mock.patch.object(CurlClient, "initialize", record):
        try:
            yield
        finally:
            for client in clients:
                if not client._closed:
                    client.close()
