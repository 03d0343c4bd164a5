"""Logs and counts the answers that miss the target of their route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.lateness import RequestTimeline, late_cause
from mulberrypaddle.serving.decision_log import log_request
from mulberrypaddle.serving.metrics import LATE_ANSWERS

if TYPE_CHECKING:
    from mulberrypaddle.fleet import Route


class LatenessRecorder:
    """Collects how long the stages of one request take.

    Attributes:
        timeline: Durations of the stages so far.
    """

    __slots__ = ("timeline",)

    def __init__(self) -> None:
        self.timeline = RequestTimeline()

    def record_wait(self, seconds: float, *, healthy_runners: int) -> None:
        """Adds a wait in the queue before the first byte."""
        self.timeline.queued_seconds += seconds
        if not healthy_runners:
            self.timeline.without_runner_seconds += seconds

    def record_attempt(self, seconds: float, *, answer_begun: bool) -> None:
        """Adds an attempt that has ended.

        Args:
            seconds: How long it took.
            answer_begun: Whether the caller has received a part of the answer.
        """
        self.timeline.sends += 1
        if not answer_begun:
            self.timeline.failed_attempts_seconds += seconds

    def log_if_late(
        self,
        *,
        route: Route,
        first_byte_seconds: float,
        longest_pause_seconds: float,
        request_id: str,
        runner_id: str,
        service: str,
        model: str,
    ) -> None:
        """Logs and counts an answer if it missed its target, with the cause.

        Args:
            route: Route of the request, which sets the target.
            first_byte_seconds: From the arrival to the first byte.
            longest_pause_seconds: Longest pause between two events.
            request_id: Id of the request.
            runner_id: Runner that completed the answer.
            service: Name of the service.
            model: Name of the model; empty for plain services.
        """
        timeline = self.timeline
        timeline.first_byte_seconds = first_byte_seconds
        timeline.longest_pause_seconds = longest_pause_seconds
        cause = late_cause(
            timeline,
            target_seconds=route.target_seconds,
            pause_seconds=route.pause_seconds,
        )
        if cause is None:
            return
        LATE_ANSWERS.labels(service, cause.value).inc()
        log_request(
            "late",
            request_id=request_id,
            runner=runner_id,
            cause=cause.value,
            service=service,
            model=model,
            sends=timeline.sends,
            first_byte=round(first_byte_seconds, 3),
            queued=round(timeline.queued_seconds, 3),
            pause=round(longest_pause_seconds, 3),
            target=route.target_seconds,
        )
