"""The owner of one service's suspects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ReadRunnerReport
from mulberrypaddle.blackboard.latest import latest_runner_table
from mulberrypaddle.controllers.quarantine.strikes import LossEvent, StrikeBook
from mulberrypaddle.controllers.quarantine.turns import Turns
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto import strikes_pb2 as pb

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import RunnerReport

DUTY_KIND = "fingerprint"


def duty_of(service: str) -> Duty:
    """Returns the duty of one service's suspects."""
    return Duty(DUTY_KIND, service)


class SuspectsOwner:
    """Judges the content sent to one service.

    Attributes:
        service: Name of the service.
        changed: Whether the list should be told to the other routers.
        is_empty: Whether the list that was told last was empty.
    """

    __slots__ = (
        "_book",
        "_context",
        "_turns",
        "changed",
        "is_empty",
        "service",
    )

    def __init__(
        self, context: Context, service: str, *, shares_blame: bool
    ) -> None:
        self.service = service
        self.changed = False
        self.is_empty = True
        self._context = context
        self._book = StrikeBook(shares_blame=shares_blame)
        self._turns = Turns()

    def strike(self, report: pb.StrikeReport, now_seconds: float) -> None:
        """Takes note of an attempt that ended with the loss of its runner."""
        event = self._book.add(
            report.fingerprint,
            runner_id=report.runner_id,
            fabric_domain=report.fabric_domain,
            started_at_seconds=now_seconds - report.age_seconds,
            now_seconds=now_seconds,
        )
        self.changed = True
        self._verify(event, report.runner_id)
        self._context.decide(
            "strike",
            subject=report.fingerprint.hex(),
            outcome="suspect",
            reason="runner lost with the request in hand",
            service=self.service,
            runner=report.runner_id,
        )

    def _verify(self, event: LossEvent, runner_id: str) -> None:
        """Asks a runner whether it was lost, or only a connection to it."""
        table = latest_runner_table(self._context.board)
        runner = table.runners.get(runner_id)
        known = runner_id in event.unverified or runner_id in event.refuted
        if runner is None or known:
            return
        event.unverified.add(runner_id)

        def answered(result: Result[RunnerReport, Problem]) -> None:
            started_at_seconds: float | None = None
            if isinstance(result, Success):
                started_at_seconds = (
                    self._context.now_seconds() - result.unwrap().uptime_seconds
                )
            event.verify(runner_id, started_at_seconds=started_at_seconds)
            self.changed = True

        self._context.board.intents.append(
            ReadRunnerReport(runner, reply=answered)
        )

    def adopt(self, known: dict[bytes, float], now_seconds: float) -> None:
        """Takes over what an earlier owner told of."""
        for fingerprint, until_seconds in known.items():
            self._book.adopt(
                fingerprint, until_seconds - now_seconds, now_seconds
            )

    def turn(self, request: pb.TurnRequest, now_seconds: float) -> pb.Turn:
        """Decides whether a suspect may be sent now."""
        fingerprint = request.fingerprint
        turn = pb.Turn(turn_id=request.turn_id)
        if not self._book.is_settled(fingerprint, now_seconds):
            return turn
        quarantined_seconds = self._book.quarantined_seconds(
            fingerprint, now_seconds
        )
        if quarantined_seconds > 0:
            turn.quarantined_seconds = quarantined_seconds
            self.changed = True
            return turn
        if not self._book.is_suspect(fingerprint, now_seconds):
            turn.granted = True
            return turn
        if not self._turns.may_grant(
            request.turn_id,
            fingerprint,
            now_seconds,
            max_turns=self._max_turns(),
        ):
            return turn
        avoid = self._turns.grant(request.turn_id, fingerprint, now_seconds)
        turn.granted = True
        turn.avoid_runner_ids.extend(sorted(avoid))
        return turn

    def place(self, placed: pb.TurnPlaced) -> None:
        """Notes where the attempt of a turn was sent."""
        self._turns.place(placed.turn_id, placed.runner_id)

    def end(self, end: pb.TurnEnd, now_seconds: float) -> None:
        """Ends a turn; a suspect that ran without loss is cleared."""
        self._turns.end(end.turn_id)
        if end.succeeded:
            self._book.clear(end.fingerprint, now_seconds)
            self.changed = True

    def list(self, now_seconds: float) -> pb.SuspectList:
        """Returns what the other routers should know."""
        self.changed = False
        told = pb.SuspectList(service=self.service)
        for fingerprint in self._book.suspects(now_seconds):
            quarantined_seconds = 0.0
            if self._book.is_settled(fingerprint, now_seconds):
                quarantined_seconds = self._book.quarantined_seconds(
                    fingerprint, now_seconds
                )
            told.suspects.add(
                fingerprint=fingerprint,
                quarantined_seconds=quarantined_seconds,
            )
        return told

    def _max_turns(self) -> int:
        """Returns one suspect less than there are runners, and at least one."""
        table = latest_runner_table(self._context.board)
        runners = 0
        for runner in table.runners.values():
            runners += runner.service == self.service
        return max(1, runners - 1)
