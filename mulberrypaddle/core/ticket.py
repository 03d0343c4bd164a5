"""Permission to send one attempt to one runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.fleet import Runner
    from mulberrypaddle.core.request import AttemptState, Request


class Ticket:
    """What a request holds while an attempt is in hand.

    Attributes:
        request: The admitted request.
        runner: Where the attempt is to be sent.
        attempt_id: Unique over all attempts; carries the incarnation.
        reserved_tokens: Worst case that is reserved at the runner.
        admitted_at_seconds: Monotonic time of admission.
    """

    __slots__ = (
        "admitted_at_seconds",
        "attempt_id",
        "request",
        "reserved_tokens",
        "runner",
    )

    def __init__(
        self,
        request: Request,
        runner: Runner,
        *,
        attempt_id: str,
        reserved_tokens: int,
        admitted_at_seconds: float,
    ) -> None:
        self.request = request
        self.runner = runner
        self.attempt_id = attempt_id
        self.reserved_tokens = reserved_tokens
        self.admitted_at_seconds = admitted_at_seconds


class AttemptOutcome:
    """How one attempt ended, for the controllers that learn from it.

    Attributes:
        ticket: The attempt's ticket.
        state: What is known about execution.
        status: HTTP status of the runner; zero if none came.
        latency_seconds: From sending to the end.
        runner_died: Whether the runner broke the connection or was lost.
        cancelled: Whether the runner confirmed that it holds it no longer.
    """

    __slots__ = (
        "cancelled",
        "latency_seconds",
        "runner_died",
        "state",
        "status",
        "ticket",
    )

    def __init__(
        self,
        ticket: Ticket,
        *,
        state: AttemptState,
        status: int,
        latency_seconds: float,
        runner_died: bool = False,
        cancelled: bool = False,
    ) -> None:
        self.ticket = ticket
        self.state = state
        self.status = status
        self.latency_seconds = latency_seconds
        self.runner_died = runner_died
        self.cancelled = cancelled
