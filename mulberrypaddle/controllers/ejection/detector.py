"""The base of the ways to tell a failing runner from a healthy one."""

from __future__ import annotations

import abc


class Observation:
    """How one attempt ended, as a detector sees it.

    Attributes:
        runner_id: Where it was sent.
        failed: Whether the runner is to blame for a failure.
        latency_seconds: Time to the answer, made equal for long and short
            answers.
    """

    __slots__ = ("failed", "latency_seconds", "runner_id")

    def __init__(
        self, runner_id: str, *, failed: bool, latency_seconds: float
    ) -> None:
        self.runner_id = runner_id
        self.failed = failed
        self.latency_seconds = latency_seconds


class Detector(abc.ABC):
    """Judges the runners of one service by the attempts of one router."""

    @abc.abstractmethod
    def observe(self, seen: Observation, now_seconds: float) -> None:
        """Takes note of one attempt.

        Args:
            seen: How it ended.
            now_seconds: Monotonic time.
        """

    @abc.abstractmethod
    def ejected(self, now_seconds: float) -> dict[str, str]:
        """Returns the runners that get no work now, with the reason.

        The worst come first, so that a caller may keep only some.
        """
