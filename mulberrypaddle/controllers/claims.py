"""Claims: a request that must run at most once is claimed before it is sent."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import Priority, StoredObject, WriteObject
from mulberrypaddle.controllers.base import Controller
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from mulberrypaddle.core.request import AttemptState, Request


class ClaimStart(enum.Enum):
    """What a claim allows."""

    RUN = "run"


class KeptAnswer:
    """An answer kept for a resend of the same request.

    Attributes:
        status: HTTP status.
        content_type: Media type.
        body: Whole body, bounded by the keeper.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


ClaimReply = Callable[[Result["ClaimStart | KeptAnswer", Problem]], None]


class Claims(Controller):
    """Claims unrepeatable requests in the platform's object API."""

    name = "claims"

    def step(self, now_seconds: float) -> None:
        """Has nothing batched to write."""

    def begin(self, request: Request, reply: ClaimReply) -> None:
        """Claims a request before its first byte is sent.

        Args:
            request: A request that is not idempotent.
            reply: Called once: with RUN if it was never sent before, with
                the kept answer if it ran, or with the problem.
        """
        if not request.idempotency_key:
            reply(
                Failure(
                    Problem(
                        ErrorKind.KEY_REQUIRED,
                        "got no Idempotency-Key header, this call needs one",
                    )
                )
            )
            return

        def written(result: Result[StoredObject, Problem]) -> None:
            if isinstance(result, Success):
                reply(Success(ClaimStart.RUN))
                return
            problem = result.failure()
            if problem.kind is ErrorKind.CONFLICT:
                problem = Problem(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "this Idempotency-Key was claimed before",
                )
            reply(Failure(problem))

        self.context.board.intents.append(
            WriteObject(
                f"claims/{request.organisation}/{request.idempotency_key}",
                json.dumps({"request_id": request.request_id}).encode(),
                expected_version=0,
                priority=Priority.CLAIM,
                reply=written,
            )
        )

    def finish(
        self, request: Request, state: AttemptState, answer: KeptAnswer | None
    ) -> None:
        """Records how a claimed request ended.

        Args:
            request: The request.
            state: What is known about execution.
            answer: The answer to keep, if it is small enough.
        """
