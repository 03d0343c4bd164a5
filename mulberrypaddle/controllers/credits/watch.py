"""The owner's view of one runner: its reports, its ramp and what it bears."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.ramp import Ramp
from mulberrypaddle.controllers.credits.terms import (
    REPORT_MAX_AGE_SECONDS,
    REPORT_SECONDS,
    Protections,
)
from mulberrypaddle.core.fleet import ServiceKind

if TYPE_CHECKING:
    from mulberrypaddle.core.fleet import Runner, RunnerReport


class RunnerWatch:
    """Reports of one runner and the limit that follows from them.

    Attributes:
        runner: As the table has it.
        ramp: What it bears.
        report: The latest report, or None.
        as_of_seconds: Time that the report surely does not precede.
        failed: Whether the latest poll found no answer.
        doubted_at_seconds: When a connection to the runner last broke.
        polling: Whether an answer is awaited.
        next_poll_at_seconds: When to ask again.
        polled_at_seconds: When the last poll was sent.
        proven_requests: By incarnation, what holders know that it bears.
    """

    __slots__ = (
        "_protections",
        "as_of_seconds",
        "doubted_at_seconds",
        "failed",
        "next_poll_at_seconds",
        "polled_at_seconds",
        "polling",
        "proven_requests",
        "ramp",
        "report",
        "runner",
    )

    def __init__(self, runner: Runner, protections: Protections) -> None:
        self.runner = runner
        cold_requests = runner.cold_slots
        if not protections.ramps:
            cold_requests = runner.slots
        self.ramp = Ramp(
            cold_requests=cold_requests, full_requests=runner.slots
        )
        self.report: RunnerReport | None = None
        self.as_of_seconds = float("-inf")
        self.failed = False
        self.doubted_at_seconds = float("-inf")
        self.polling = False
        self.next_poll_at_seconds = float("-inf")
        self.polled_at_seconds = float("-inf")
        self.proven_requests: dict[str, int] = {}
        self._protections = protections

    def follow(self, runner: Runner) -> None:
        """Takes the runner as the table has it now."""
        self.runner = runner
        self.ramp.full_requests = runner.slots
        self.ramp.borne_requests = min(self.ramp.borne_requests, runner.slots)

    def begin_poll(self, now_seconds: float) -> None:
        """Notes that the runner is being asked."""
        self.polling = True
        self.polled_at_seconds = now_seconds
        self.next_poll_at_seconds = now_seconds + REPORT_SECONDS

    def take_report(self, report: RunnerReport, now_seconds: float) -> bool:
        """Takes a report.

        Returns:
            Whether it tells of a start that was not known.
        """
        travel_seconds = now_seconds - self.polled_at_seconds
        as_of_seconds = report.reported_at_seconds - travel_seconds
        if as_of_seconds <= self.as_of_seconds:
            return False
        self.as_of_seconds = as_of_seconds
        self.failed = False
        if self.polled_at_seconds >= self.doubted_at_seconds:
            self.doubted_at_seconds = float("-inf")
        else:
            self.next_poll_at_seconds = now_seconds
        is_first = self.report is None
        self.report = report
        restarted = self.ramp.restarted(
            report.incarnation, report.uptime_seconds
        )
        if restarted and not is_first and not self._protections.sees_restarts:
            restarted = False
        if restarted:
            borne_requests = self.proven_requests.get(report.incarnation, 0)
            if not is_first and report.incarnation == self.ramp.incarnation:
                borne_requests = 0
            self.proven_requests.clear()
            self.ramp.begin(
                report.incarnation,
                borne_requests=borne_requests,
                now_seconds=now_seconds,
            )
        self.ramp.saw_uptime(report.uptime_seconds)
        return restarted and not is_first

    def doubt(self, now_seconds: float) -> None:
        """Trusts no report until one that was asked for from now on."""
        if not self._protections.sees_restarts:
            return
        self.doubted_at_seconds = now_seconds
        self.next_poll_at_seconds = now_seconds

    def prove(self, incarnation: str, borne_requests: int) -> None:
        """Takes from a holder what an earlier owner knew to be borne."""
        if not incarnation:
            return
        known = self.proven_requests.get(incarnation, 0)
        self.proven_requests[incarnation] = max(known, borne_requests)

    def confirmed_generation(self) -> int:
        """Returns the generation that every VM confirms, or zero."""
        if self.report is None:
            return 0
        if not set(self.runner.vm_ids) <= set(self.report.member_vm_ids):
            return 0
        return self.report.generation

    def is_whole(self) -> bool:
        """Returns whether every VM confirms the group's generation."""
        runner = self.runner
        if runner.kind is not ServiceKind.ENGINE or runner.generation == 0:
            return True
        return self.confirmed_generation() == runner.generation

    def capacity(self, now_seconds: float) -> Amount:
        """Returns what the runner bears now, nothing without evidence."""
        if self.report is None or not self.report.ready or self.failed:
            return NOTHING
        if self.doubted_at_seconds > float("-inf"):
            return NOTHING
        if now_seconds - self.as_of_seconds > REPORT_MAX_AGE_SECONDS:
            return NOTHING
        if self.runner.leaving or not self.is_whole():
            return NOTHING
        return Amount(self.ramp.borne_requests, self.runner.memory_tokens)
