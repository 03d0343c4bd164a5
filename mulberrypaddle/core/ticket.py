"""Tickets, which permit one attempt at one runner, and outcomes of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.fleet import Runner
    from mulberrypaddle.core.request import AttemptState, Request


class Ticket:
    """Permission to send one attempt, with the capacity reserved for it.

    Attributes:
        request: The admitted request.
        runner: Runner that the attempt is sent to.
        attempt_id: Id that is unique over all attempts; it contains the
            incarnation of the router.
        reserved_tokens: Tokens reserved at the runner: the maximum that the
            request can occupy.
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
    """Result of an attempt, which is reported to the controllers.

    Attributes:
        ticket: Ticket of the attempt.
        state: What is known about its execution.
        status: HTTP status of the runner; zero if none was received.
        latency_seconds: Time from sending the attempt to its result.
        runner_died: Whether the runner closed the connection or was lost.
        cancelled: Whether the runner confirmed that it no longer executes
            the attempt.
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
