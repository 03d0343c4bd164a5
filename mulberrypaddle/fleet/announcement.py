"""What runners say about themselves in the headers of their answers."""

from __future__ import annotations


class RunnerAnnouncement:
    """What one answer of a runner says about the runner.

    Attributes:
        leaving: Whether the runner is leaving.
        pause_seconds: For how long it wants no requests from this router; 0 if
            it asks for no pause.
        pause_problem: Why the length of the pause could not be read, or was
            cut; empty if it was read.
        other_runner: Whether another runner than the addressed one may have
            answered.
    """

    __slots__ = ("leaving", "other_runner", "pause_problem", "pause_seconds")

    def __init__(
        self,
        *,
        leaving: bool = False,
        pause_seconds: float = 0.0,
        pause_problem: str = "",
        other_runner: bool = False,
    ) -> None:
        self.leaving = leaving
        self.pause_seconds = pause_seconds
        self.pause_problem = pause_problem
        self.other_runner = other_runner
