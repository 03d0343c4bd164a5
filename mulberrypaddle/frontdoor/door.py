"""What the handlers of the front door share."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.observe import metrics

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.stream_memory import StreamMemory
    from mulberrypaddle.frontdoor.pipeline import Pipeline
    from mulberrypaddle.settings import RouterSettings

# Bodies of the largest size that are held at once.
UPLOADS_HELD = 16


class FrontDoor:
    """What the handlers share.

    Attributes:
        context: The router's context, with its blackboard.
        memory: Budget of answer bytes.
        pipeline: Answers checked requests.
        settings: Bounds of this process.
        in_hand: Requests that are neither answered nor cut.
        stopping: Whether a graceful stop has begun.
    """

    __slots__ = (
        "_idle",
        "_numbers",
        "_upload_bytes",
        "context",
        "in_hand",
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
        self.in_hand = 0
        self.stopping = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._upload_bytes = 0
        self._numbers = itertools.count(1)

    def next_request_id(self) -> str:
        """Returns an id that no other request of the fleet has."""
        context = self.context
        number = next(self._numbers)
        return f"r-{context.member_id}-{context.incarnation}-{number}"

    def why_closed(self) -> Problem | None:
        """Returns why no new request is taken, or None."""
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

    def begin_request(self) -> None:
        """Notes that a request is in hand."""
        self.in_hand += 1
        self._idle.clear()
        metrics.IN_FLIGHT.inc()

    def end_request(self) -> None:
        """Notes that a request was answered or cut."""
        self.in_hand -= 1
        metrics.IN_FLIGHT.dec()
        if self.in_hand == 0:
            self._idle.set()

    def hold_upload(self, size_bytes: int) -> Problem | None:
        """Charges received bytes of a body.

        Returns:
            OVERLOADED if all uploads together would hold too much.
        """
        limit_bytes = UPLOADS_HELD * self.settings.body_bytes
        if self._upload_bytes + size_bytes > limit_bytes:
            return Problem(
                ErrorKind.OVERLOADED, "the memory for request bodies is in use"
            )
        self._upload_bytes += size_bytes
        return None

    def drop_upload(self, size_bytes: int) -> None:
        """Gives back the bytes of a body."""
        self._upload_bytes -= size_bytes

    def begin_stop(self) -> None:
        """Refuses new requests; those in hand go on."""
        self.stopping = True

    async def wait_until_idle(self, *, timeout_seconds: float) -> None:
        """Waits until nothing is in hand, and says what was cut if not.

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
                reason=f"{self.in_hand} requests in hand after "
                f"{timeout_seconds} s",
            )
        invariants.check(
            self.in_hand == 0,
            invariants.Invariant.GRACEFUL_STOP,
            f"{self.in_hand} requests are cut off by a stop",
        )
