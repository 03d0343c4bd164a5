"""Attributes a late answer to the stage that delayed it most."""

from __future__ import annotations

import enum


class LateCause(enum.Enum):
    """What delayed an answer beyond its target.

    Attributes:
        NO_GROUP: It waited in this router while no runner served its model.
        QUEUED: It waited in this router for a free slot.
        RETRIED: Earlier attempts failed before the first byte.
        SLOW_START: Its runner took long to the first byte: the request waited
            there, or the runner is slow.
        STALLED: The stream paused too long and was resumed at another runner.
        PAUSED: The stream paused too long at one runner.
    """

    NO_GROUP = "no_group"
    QUEUED = "queued"
    RETRIED = "retried"
    SLOW_START = "slow_start"
    STALLED = "stalled"
    PAUSED = "paused"


class RequestTimeline:
    """How long the stages of one request took; all durations in seconds.

    Attributes:
        queued_seconds: Waiting in this router's queue before the first byte.
        without_runner_seconds: The part of it while no runner served.
        failed_attempts_seconds: Attempts that ended before the first byte.
        first_byte_seconds: From the arrival to the first byte of the answer.
        longest_pause_seconds: Longest pause between two events of a stream.
        sends: Number of attempts.
    """

    __slots__ = (
        "failed_attempts_seconds",
        "first_byte_seconds",
        "longest_pause_seconds",
        "queued_seconds",
        "sends",
        "without_runner_seconds",
    )

    def __init__(self) -> None:
        self.queued_seconds = 0.0
        self.without_runner_seconds = 0.0
        self.failed_attempts_seconds = 0.0
        self.first_byte_seconds = 0.0
        self.longest_pause_seconds = 0.0
        self.sends = 0


def late_cause(
    timeline: RequestTimeline, *, target_seconds: float, pause_seconds: float
) -> LateCause | None:
    """Returns what made an answer late, or None if it was on time.

    Args:
        timeline: Durations of the stages of the request.
        target_seconds: Time within which the first byte was due.
        pause_seconds: Longest pause of a stream that is on time; 0 for none.
    """
    if timeline.first_byte_seconds > target_seconds:
        at_runner_seconds = (
            timeline.first_byte_seconds
            - timeline.queued_seconds
            - timeline.failed_attempts_seconds
        )
        causes = {
            LateCause.QUEUED: (
                timeline.queued_seconds - timeline.without_runner_seconds
            ),
            LateCause.NO_GROUP: timeline.without_runner_seconds,
            LateCause.RETRIED: timeline.failed_attempts_seconds,
            LateCause.SLOW_START: at_runner_seconds,
        }
        return max(causes, key=lambda cause: causes[cause])
    if 0 < pause_seconds < timeline.longest_pause_seconds:
        return LateCause.STALLED if timeline.sends > 1 else LateCause.PAUSED
    return None
