"""The platform's store, over HTTP, as the users' pages describe it."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.parse
from typing import Any


def _without_sequence(spec: Any) -> Any:
    """Returns a spec without the field that every heartbeat changes."""
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "sequence"}


class Store:
    """Objects by kind and name, with one revision counter.

    Attributes:
        revision: Revision of the last change.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.revision = 10

    async def start(self) -> None:
        """Starts to listen."""
        host, port = self._address
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Creates or replaces an object without a condition."""
        old = self._objects.get(kind, {}).get(name)
        if old is not None:
            if kind == "servers" and _without_sequence(
                old["spec"]
            ) == _without_sequence(spec):
                # A heartbeat that changes only its count is no change.
                old["spec"] = spec
                return old
            if old["spec"] == spec:
                return old
        self.revision += 1
        created = old["metadata"]["createdRev"] if old else self.revision
        content = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = content
        self._record_change(kind, content, removed=False)
        return content

    def remove(self, kind: str, name: str) -> None:
        """Removes an object, if it is there."""
        content = self._objects.get(kind, {}).pop(name, None)
        if content is None:
            return
        self.revision += 1
        content["metadata"]["revision"] = self.revision
        self._record_change(kind, content, removed=True)

    def _record_change(
        self, kind: str, content: dict[str, Any], *, removed: bool
    ) -> None:
        copied = json.loads(json.dumps(content))
        self._history.append((self.revision, kind, copied, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                length = 0
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                method, target, _ = lines[0].split(" ")
                status, value = await self._answer(method, target, body)
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} Answer\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, Any]:
        """Carries out one call; returns the status and the JSON value."""
        url = urllib.parse.urlsplit(target)
        parts = [
            urllib.parse.unquote(p) for p in url.path.strip("/").split("/")
        ]
        query = dict(urllib.parse.parse_qsl(url.query))
        if len(parts) < 2 or parts[0] != "objects":
            return 404, None
        kind, name = parts[1], parts[2] if len(parts) > 2 else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            found = self._objects.get(kind, {}).get(name)
            return (200, found) if found else (404, None)
        if method == "GET":
            items = sorted(
                self._objects.get(kind, {}).values(),
                key=lambda content: content["metadata"]["name"],
            )
            return 200, {
                "items": items,
                "hasMore": False,
                "storeRevision": self.revision,
            }
        if method == "DELETE":
            self.remove(kind, name)
            return 200, None
        return self._write(method, kind, name, json.loads(body))

    def _write(
        self, method: str, kind: str, name: str, body: dict[str, Any]
    ) -> tuple[int, Any]:
        name = name or body["metadata"]["name"]
        old = self._objects.get(kind, {}).get(name)
        if method == "POST" and old is not None:
            return 409, old
        if method == "PUT":
            if old is None:
                return 404, None
            wanted = body.get("metadata", {}).get("revision")
            if wanted not in (None, old["metadata"]["revision"]):
                return 409, old
        return 200, self.put(kind, name, body["spec"])

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Waits for changes of a kind after a revision."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                {"object": content, "removed": removed}
                for revision, changed_kind, content, removed in self._history
                if changed_kind == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
