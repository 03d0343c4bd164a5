"""Callers that keep their connections to a router until its process is gone."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from tests.support.simulated_deployment import API_KEY

if TYPE_CHECKING:
    from tests.support.simulated_deployment import Router, SimulatedDeployment

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class SentRequest:
    """One request of a caller and how it ended.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request: `safe`, `pay` or `write`.
        sent_at: Monotonic time at which it was sent.
        ended_at: Monotonic time at which its answer or its connection ended.
        status: HTTP status of the answer; 0 before it is received.
        complete: Whether a complete answer was received.
        may_close: Whether the answer announced the end of the connection.
    """

    __slots__ = (
        "complete",
        "ended_at",
        "kind",
        "may_close",
        "request_id",
        "sent_at",
        "status",
    )

    def __init__(self, request_id: str, *, kind: str) -> None:
        self.request_id = request_id
        self.kind = kind
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        self.complete = False
        self.may_close = False


class KeptCallers:
    """Sends requests over kept connections, in sequence on each of them.

    A caller goes on after any answer on the same connection, also after one
    that announces the end of the connection, and connects again only after the
    connection has been closed.

    Attributes:
        requests: All requests that were sent, in order.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        *,
        deadline_seconds: float,
        name: str = "k",
    ) -> None:
        """Creates callers that have sent nothing yet.

        Args:
            deployment: Deployment whose runners serve the requests.
            deadline_seconds: Time that each caller grants for an answer.
            name: First part of the ids of their requests.
        """
        self._name = name
        self._deployment = deployment
        self._deadline_seconds = deadline_seconds
        self._numbers = itertools.count(1)
        self.requests: list[SentRequest] = []

    async def send_until_gone(
        self, router: Router, kind: str, *, pause_seconds: float = 0.0
    ) -> None:
        """Sends requests of one kind until the router doesn't listen."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    router.ip, self._deployment.caller_port
                )
            except OSError:
                return
            try:
                while await self._send(reader, writer, kind):
                    await asyncio.sleep(pause_seconds)
            finally:
                writer.close()

    async def send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: str,
    ) -> SentRequest:
        """Sends one request over an open connection."""
        await self._send(reader, writer, kind)
        return self.requests[-1]

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kind: str,
    ) -> bool:
        """Sends a request; returns whether a complete answer was received."""
        number = next(self._numbers)
        request = SentRequest(f"{self._name}-{kind}{number}", kind=kind)
        self.requests.append(request)
        method = "GET" if kind == "safe" else "POST"
        lines = (
            f"{method} /{kind}/1 HTTP/1.1",
            "Host: shop.example",
            f"X-Request-Id: {request.request_id}",
            f"X-Api-Key: {API_KEY}",
            f"X-Deadline-Ms: {int(self._deadline_seconds * 1000)}",
            "X-Model: small",
            "X-Token-Counts: 100,60",
            f"X-Prompt-Prefix: p{number}:100",
            "Content-Length: 0",
        )
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode())
            await _read_answer(reader, request)
        except (OSError, asyncio.IncompleteReadError):
            pass
        request.ended_at = time.monotonic()
        if request.complete and request.status in NOT_RUN_STATUSES:
            self._deployment.record_refusal(request.request_id)
        return request.complete

    def cut_requests(self) -> list[SentRequest]:
        """Returns the requests that ran and got no complete answer."""
        return [
            request
            for request in self.requests
            if request.ended_at
            and not request.complete
            and self._deployment.run_counts.get(request.request_id)
        ]

    def dropped_requests(self, slack_seconds: float) -> list[SentRequest]:
        """Returns requests that did not run and waited for nothing.

        That is, those whose connection ended without an answer later than
        `slack_seconds` after they were sent.
        """
        return [
            request
            for request in self.requests
            if request.ended_at
            and not request.complete
            and not self._deployment.run_counts.get(request.request_id)
            and request.ended_at - request.sent_at > slack_seconds
        ]


async def _read_answer(
    reader: asyncio.StreamReader, request: SentRequest
) -> None:
    """Reads the answer to a request.

    Raises:
        IncompleteReadError: If the connection ends before the answer does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    request.status = int(head.split(" ")[1])
    request.may_close = "connection: close" in head
    if "transfer-encoding: chunked" in head:
        size_bytes = 1
        while size_bytes:
            line = await reader.readuntil(b"\r\n")
            size_bytes = int(line, 16)
            await reader.readexactly(size_bytes + 2)
    else:
        length = head.partition("content-length:")[2]
        await reader.readexactly(int(length.split("\r\n")[0]))
    request.complete = True
