"""Callers that send on over their connections until a router is gone."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from tests.support.crashing_parts import FIRST_PART, make_prompt
from tests.support.kept_callers import SentRequest, read_answer
from tests.support.simulated_deployment import request_bytes

if TYPE_CHECKING:
    from tests.support.simulated_deployment import (
        Caller,
        Router,
        SimulatedDeployment,
    )


class PersistentCallers:
    """Sends requests over kept connections, in sequence on each of them.

    A caller goes on after any answer on the same connection, also after one
    that announces the close of the connection, and connects again only after
    the connection has been closed.

    Attributes:
        requests: All requests that have ended.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        caller: Caller,
        *,
        limit_seconds: float,
        name: str = "p",
    ) -> None:
        """Creates callers that have sent nothing yet.

        Args:
            deployment: Deployment whose runners serve the requests.
            caller: Checks the answers.
            limit_seconds: Time limit of the requests.
            name: First part of the ids of the requests.
        """
        self._deployment = deployment
        self._caller = caller
        self._limit_seconds = limit_seconds
        self._name = name
        self._numbers = itertools.count(1)
        self.requests: list[SentRequest] = []

    async def send_until_gone(
        self, router: Router, kind: str, *, pause_seconds: float
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
                while await self._send(router, kind, reader, writer):
                    await asyncio.sleep(pause_seconds)
            finally:
                writer.close()

    async def _send(
        self,
        router: Router,
        kind: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a request; returns whether a complete answer was received."""
        request_id = f"{self._name}-{kind}-{next(self._numbers)}"
        self._deployment.record_caller(request_id, router)
        request = SentRequest(request_id, kind, router, self._limit_seconds)
        answer = bytearray()
        is_complete = False
        try:
            writer.write(
                request_bytes(
                    kind,
                    request_id,
                    prompt=make_prompt((FIRST_PART,), request_id),
                    deadline_seconds=self._limit_seconds,
                )
            )
            is_complete = await read_answer(reader, answer)
        except OSError:
            request.was_reset = True
        request.ended_at_seconds = time.monotonic()
        request.outcome = self._caller.check_answer(
            kind, request_id, bytes(answer)
        )
        self.requests.append(request)
        return is_complete
