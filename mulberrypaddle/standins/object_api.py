"""HTTP stand-in for the platform's object API."""

from __future__ import annotations

import asyncio
import base64
import contextlib
from typing import TYPE_CHECKING, Any

import tornado.web
from returns.result import Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.standins.local_server import JsonHandler, LocalServer

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.intents import StoredObject
    from mulberrypaddle.standins.memory_store import MemoryStore


def object_to_json(stored: StoredObject) -> dict[str, Any]:
    """Returns the JSON form of an object, with its value in base64."""
    return {
        "key": stored.key,
        "version": stored.version,
        "value": base64.b64encode(stored.value).decode(),
    }


class _StoreHandler(JsonHandler):
    """Base of the handlers; maps results of the store to HTTP responses."""

    def initialize(self, store: MemoryStore) -> None:
        """Sets the store to serve; called by tornado for each request."""
        self.store = store

    def send_result(self, result: Result[StoredObject, Problem]) -> None:
        """Sends an object, or the problem in its place."""
        if isinstance(result, Success):
            self.send_json(200, object_to_json(result.unwrap()))
            return
        self.send_problem(result.failure())

    def send_problem(self, problem: Problem) -> None:
        """Sends a problem, or aborts the connection for a lost response."""
        if problem.kind is ErrorKind.OUTCOME_UNKNOWN:
            connection = self.request.connection
            if connection is not None:
                connection.stream.close()  # type: ignore[attr-defined]
            return
        self.send_json(problem.answer.status, {"detail": problem.detail})


class _ObjectHandler(_StoreHandler):
    """Reads, writes and deletes one object."""

    def get(self, key: str) -> None:
        """Returns one object; version zero means that it doesn't exist."""
        self.send_result(self.store.read(key))

    def put(self, key: str) -> None:
        """Writes an object if its version is that of `If-Match`."""
        expected_version = int(self.request.headers.get("If-Match", "0"))
        self.send_result(
            self.store.write(
                key, self.request.body, expected_version=expected_version
            )
        )

    def delete(self, key: str) -> None:
        """Deletes an object if its version is that of `If-Match`."""
        expected_version = int(self.request.headers.get("If-Match", "0"))
        self.send_result(
            self.store.delete(key, expected_version=expected_version)
        )


class _ListHandler(_StoreHandler):
    """Lists objects, at once or after the next change (long polling)."""

    async def get(self) -> None:
        """Returns the objects below `prefix`.

        With `since`, first waits until the store's version is higher than
        that or `timeout_seconds` have passed. With `after_version`, only
        objects of a higher version are returned.
        """
        prefix = self.get_query_argument("prefix", "")
        since = self.get_query_argument("since", "")
        if since:
            await self._wait_for_change(
                int(since),
                float(self.get_query_argument("timeout_seconds", "10")),
            )
        after_version = int(self.get_query_argument("after_version", "0"))
        result = self.store.list(prefix, after_version=after_version)
        if not isinstance(result, Success):
            self.send_problem(result.failure())
            return
        objects = [object_to_json(stored) for stored in result.unwrap()]
        self.send_json(200, {"version": self.store.version, "objects": objects})

    async def _wait_for_change(
        self, since_version: int, timeout_seconds: float
    ) -> None:
        """Waits for a version above `since_version` or the timeout."""
        changed = asyncio.Event()
        self.store.add_write_listener(changed.set)
        if self.store.version > since_version:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), timeout_seconds)


class _FaultHandler(_StoreHandler):
    """Injects faults into the store."""

    def post(self) -> None:
        """Sets the faults of the store from the JSON body."""
        value = self.parse_json_body()
        self.store.down = bool(value.get("down", self.store.down))
        self.store.lost_responses_remaining = int(
            value.get("lose_answers", self.store.lost_responses_remaining)
        )
        self.send_json(200, {"down": self.store.down})


def serve_object_api(store: MemoryStore, *, port: int = 0) -> LocalServer:
    """Starts the object API's HTTP server on the loopback address.

    Args:
        store: Store to serve.
        port: TCP port; zero for a free one.
    """
    arguments = {"store": store}
    application = tornado.web.Application(
        [
            (r"/objects/(.+)", _ObjectHandler, arguments),
            (r"/objects", _ListHandler, arguments),
            (r"/faults", _FaultHandler, arguments),
        ]
    )
    return LocalServer(application, port=port)
