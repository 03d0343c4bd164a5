"""State that the HTTP handlers share, and admission of new requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.observe import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.stream_memory import StreamMemory
    from mulberrypaddle.frontdoor.pipeline import Pipeline
    from mulberrypaddle.settings import RouterSettings

# The buffered request bodies may use as much memory as this many bodies of
# the largest allowed size.
MAX_BUFFERED_UPLOADS = 16

# Time for writing the last answers after a stop has timed out.
END_SECONDS = 1.0


class FrontDoorState:
    """State that the HTTP handlers share.

    It counts requests in flight, limits the memory of uploads, and decides
    whether new requests are accepted.

    Attributes:
        context: The router's context, with its blackboard.
        memory: Memory budget for answers on their way to callers.
        pipeline: Runs validated requests.
        settings: The router's settings, with the size limits.
        in_flight: Number of requests that are neither answered nor aborted.
        stopping: Whether a graceful stop has started.
    """

    __slots__ = (
        "_end_callbacks",
        "_idle",
        "_request_numbers",
        "_upload_bytes",
        "context",
        "in_flight",
        "memory",
        "pipeline",
        "settings",
        "stopping",
    )

    def __init__(
        self,
        *,
        context: Context,
        memory: StreamMemory,
        pipeline: Pipeline,
        settings: RouterSettings,
    ) -> None:
        self.context = context
        self.memory = memory
        self.pipeline = pipeline
        self.settings = settings
        self.in_flight = 0
        self.stopping = False
        self._end_callbacks: set[Callable[[], None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._upload_bytes = 0
        self._request_numbers = itertools.count(1)

    def next_request_id(self) -> str:
        """Returns a request id that is unique in the fleet."""
        context = self.context
        number = next(self._request_numbers)
        return f"r-{context.member_id}-{context.incarnation}-{number}"

    def refusal_reason(self) -> Problem | None:
        """Returns why new requests are refused; None if they are accepted."""
        health = self.context.board.entry(keys.HEALTH)
        if self.stopping or (health is not None and health.value.stopping):
            return Problem(
                ErrorKind.SHUTTING_DOWN, "this router finishes and stops"
            )
        if health is not None and health.value.isolated:
            return Problem(
                ErrorKind.ISOLATED,
                "this router reaches neither the object API nor a peer",
            )
        return None

    def begin_request(self, end: Callable[[], None]) -> None:
        """Counts a request as in flight.

        Args:
            end: Called when a stop times out, to answer or abort the request.
        """
        self._end_callbacks.add(end)
        self.in_flight += 1
        self._idle.clear()
        metrics.IN_FLIGHT.inc()

    def end_request(self, end: Callable[[], None]) -> None:
        """Counts a request as answered or aborted.

        Args:
            end: The callback that was passed to `begin_request`.
        """
        self._end_callbacks.discard(end)
        self.in_flight -= 1
        metrics.IN_FLIGHT.dec()
        if self.in_flight == 0:
            self._idle.set()

    def reserve_upload(self, size_bytes: int) -> Problem | None:
        """Charges received body bytes against the limit for all uploads.

        Returns:
            OVERLOADED if all uploads together would exceed it, else None.
        """
        limit_bytes = MAX_BUFFERED_UPLOADS * self.settings.body_bytes
        if self._upload_bytes + size_bytes > limit_bytes:
            return Problem(
                ErrorKind.OVERLOADED,
                "the memory for request bodies is in use",
            )
        self._upload_bytes += size_bytes
        return None

    def release_upload(self, size_bytes: int) -> None:
        """Releases bytes that `reserve_upload` charged."""
        self._upload_bytes -= size_bytes

    def stop_accepting(self) -> None:
        """Refuses new requests from now on; those in flight continue."""
        self.stopping = True

    async def wait_until_idle(self, *, timeout_seconds: float) -> None:
        """Waits until no request is in flight.

        Requests that remain after the timeout are logged, break the invariant
        of a graceful stop, and are ended: what has not begun is answered with
        an error, an answer that has begun is aborted.

        Args:
            timeout_seconds: Longest wait.
        """
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_seconds)
        except TimeoutError:
            self.context.decide(
                "stop",
                subject=self.context.member_id,
                outcome="cut",
                reason=f"{self.in_flight} requests in hand after "
                f"{timeout_seconds} s",
            )
        remaining = self.in_flight
        if remaining:
            for end in list(self._end_callbacks):
                end()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._idle.wait(), END_SECONDS)
        invariants.check(
            remaining == 0,
            invariants.Invariant.GRACEFUL_STOP,
            f"{remaining} requests are cut off by a stop",
        )
