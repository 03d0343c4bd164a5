"""The stand-in for the platform's object API, over HTTP."""

from __future__ import annotations

import asyncio
import base64
import contextlib
from typing import TYPE_CHECKING, Any

import tornado.web
from returns.result import Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.standins.web import JsonHandler, LocalServer

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.intents import StoredObject
    from mulberrypaddle.standins.memory_store import MemoryStore


def object_to_json(stored: StoredObject) -> dict[str, Any]:
    """Returns an object in the form that goes over the wire."""
    return {
        "key": stored.key,
        "version": stored.version,
        "value": base64.b64encode(stored.value).decode(),
    }


class _StoreHandler(JsonHandler):
    """Maps results of the store to HTTP statuses."""

    def initialize(self, store: MemoryStore) -> None:
        """Takes the store to serve."""
        self.store = store

    def send_result(self, result: Result[StoredObject, Problem]) -> None:
        """Ends the request with an object or a problem."""
        if isinstance(result, Success):
            self.send_json(200, object_to_json(result.unwrap()))
            return
        self.send_problem(result.failure())

    def send_problem(self, problem: Problem) -> None:
        """Ends the request with a problem, or cuts it for a lost answer."""
        if problem.kind is ErrorKind.OUTCOME_UNKNOWN:
            connection = self.request.connection
            if connection is not None:
                connection.stream.close()  # type: ignore[attr-defined]
            return
        self.send_json(problem.answer.status, {"detail": problem.detail})


class _ObjectHandler(_StoreHandler):
    """Reads, writes and deletes one object."""

    def get(self, key: str) -> None:
        """Answers with one object; version zero means absent."""
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
    """Lists objects, at once or after a change."""

    async def get(self) -> None:
        """Answers with the objects below `prefix`.

        With `since`, waits until the store's version is higher or
        `timeout_seconds` have passed.
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
        changed = asyncio.Event()
        self.store.add_write_listener(changed.set)
        if self.store.version > since_version:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), timeout_seconds)


class _FaultHandler(_StoreHandler):
    """Tells the stand-in to fail."""

    def post(self) -> None:
        """Sets `down` and `lose_answers` from the body."""
        value = self.parse_json_body()
        self.store.down = bool(value.get("down", self.store.down))
        self.store.lose_answers = int(
            value.get("lose_answers", self.store.lose_answers)
        )
        self.send_json(200, {"down": self.store.down})


def serve_object_api(store: MemoryStore, *, port: int = 0) -> LocalServer:
    """Starts the stand-in on the loopback address.

    Args:
        store: The objects to serve.
        port: TCP port; zero takes a free one.
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
