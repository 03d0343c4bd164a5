"""The quarantine controller of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Success

from mulberrypaddle.blackboard import SendToPeer
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.quarantine.owner import SuspectsOwner, duty_of
from mulberrypaddle.controllers.quarantine.types import (
    Clearance,
    ClearanceReply,
    KnownSuspects,
    Report,
    Waiting,
)
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.peers.proto import strikes_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.core.request import Request
    from mulberrypaddle.core.ticket import AttemptOutcome, Ticket

FINGERPRINT_BYTES = 16
ASK_SECONDS = 0.1
# Without any word from the owner a suspect is sent after this all the same.
OWNER_SILENT_SECONDS = 3.0
RESEND_SECONDS = 0.5
TELL_SECONDS = 10.0
# A list that is not told again is forgotten after this.
LIST_SECONDS = 60.0
# A router knows of its own strikes before the owner tells of them.
MARK_SECONDS = 5.0
MAX_REPORTS = 4096


class Quarantine(Controller):
    """Finds content that crashes runners and refuses it for a while.

    Args:
        context: This router's context.
        shares_blame: Whether content that died together shares the blame;
            only tests switch it off.
    """

    name = "quarantine"
    message_types = (
        pb.StrikeReport,
        pb.StrikeAck,
        pb.TurnRequest,
        pb.Turn,
        pb.TurnPlaced,
        pb.TurnEnd,
        pb.SuspectList,
    )

    def __init__(self, context: Context, *, shares_blame: bool = True) -> None:
        super().__init__(context)
        self._shares_blame = shares_blame
        self._owned: dict[str, SuspectsOwner] = {}
        self._known: dict[str, KnownSuspects] = {}
        self._waiting: dict[str, Waiting] = {}
        self._turn_ids: dict[str, str] = {}
        self._reports: dict[str, Report] = {}
        self._marked: dict[bytes, float] = {}
        self._turns = 0
        self._next_tell_seconds = 0.0

    def step(self, now_seconds: float) -> None:
        """Repeats questions and reports; tells the lists it owns."""
        for waiting in list(self._waiting.values()):
            self._ask_again(waiting, now_seconds)
        for report_id, report in list(self._reports.items()):
            if now_seconds >= report.until_seconds:
                del self._reports[report_id]
                continue
            self._send_report(report, now_seconds)
        for service, known in list(self._known.items()):
            if now_seconds - known.told_at_seconds > LIST_SECONDS:
                del self._known[service]
        for fingerprint, marked_at_seconds in list(self._marked.items()):
            if now_seconds - marked_at_seconds > MARK_SECONDS:
                del self._marked[fingerprint]
        self._tell(now_seconds)

    def check(self, request: Request, reply: ClearanceReply) -> None:
        """Decides, before each attempt, whether a request may be sent.

        Args:
            request: The request.
            reply: Called once: at once for content that no runner was lost
                with, when its turn has come for a suspect, or with
                QUARANTINED.
        """
        now_seconds = self.context.now_seconds()
        if not self.is_suspect(request):
            reply(Success(Clearance()))
            return
        fingerprint = fingerprint_of(request)
        until_seconds = self._until_seconds(request.service, fingerprint)
        if now_seconds < until_seconds:
            reply(Failure(_quarantined(until_seconds - now_seconds)))
            return
        self._turns += 1
        context = self.context
        turn_id = f"{context.member_id}-{context.incarnation}-{self._turns}"
        asked = pb.TurnRequest(
            service=request.service, fingerprint=fingerprint, turn_id=turn_id
        )
        waiting = Waiting(request, asked, reply, now_seconds)
        self._waiting[turn_id] = waiting
        self._ask_again(waiting, now_seconds)

    def is_suspect(self, request: Request) -> bool:
        """Returns whether a request must not be sent to two runners."""
        known = self._known.get(request.service)
        if not self._marked and (known is None or not known.until_seconds):
            return False
        fingerprint = fingerprint_of(request)
        if fingerprint in self._marked:
            return True
        return known is not None and fingerprint in known.until_seconds

    def sent(self, ticket: Ticket) -> None:
        """Takes note, directly before sending, of where a suspect goes."""
        turn_id = self._turn_ids.get(ticket.request.request_id)
        if turn_id is None:
            return
        service = ticket.request.service
        placed = pb.TurnPlaced(
            service=service,
            turn_id=turn_id,
            runner_id=ticket.runner.runner_id,
        )
        self._post(self._owner(service), placed)

    def observe(self, outcome: AttemptOutcome) -> None:
        """Learns how an attempt ended."""
        request = outcome.ticket.request
        if outcome.runner_died:
            runner = outcome.ticket.runner
            self._marked[fingerprint_of(request)] = self.context.now_seconds()
            self._report(
                outcome.ticket.attempt_id,
                pb.StrikeReport(
                    service=request.service,
                    fingerprint=fingerprint_of(request),
                    runner_id=runner.runner_id,
                    fabric_domain=runner.fabric_domain,
                    attempt_id=outcome.ticket.attempt_id,
                    age_seconds=outcome.latency_seconds,
                ),
            )
        succeeded = outcome.state is AttemptState.DONE
        if succeeded or request.request_id in self._turn_ids:
            self.give_back(request, succeeded=succeeded)

    def give_back(self, request: Request, *, succeeded: bool = False) -> None:
        """Ends the turn of a request, whether it was sent or not."""
        turn_id = self._turn_ids.pop(request.request_id, "")
        if not turn_id:
            if not succeeded or not self.is_suspect(request):
                return
            turn_id = f"{request.request_id}-cleared"
        self._report(
            turn_id,
            pb.TurnEnd(
                service=request.service,
                fingerprint=fingerprint_of(request),
                turn_id=turn_id,
                succeeded=succeeded,
            ),
        )

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message of the owner or for the owner."""
        if isinstance(message, pb.SuspectList):
            self._learn(message, now_seconds)
        elif isinstance(message, pb.Turn):
            self._take_turn(message, now_seconds)
        elif isinstance(message, pb.StrikeAck):
            self._reports.pop(message.attempt_id, None)
        elif isinstance(message, pb.StrikeReport):
            self._owned_by_me(message.service).strike(message, now_seconds)
            self._post(sender, pb.StrikeAck(attempt_id=message.attempt_id))
            self._tell(now_seconds)
        elif isinstance(message, pb.TurnEnd):
            self._owned_by_me(message.service).end(message, now_seconds)
            self._post(sender, pb.StrikeAck(attempt_id=message.turn_id))
        elif isinstance(message, pb.TurnPlaced):
            self._owned_by_me(message.service).place(message)
        elif isinstance(message, pb.TurnRequest):
            owned = self._owned_by_me(message.service)
            self._post(sender, owned.turn(message, now_seconds))

    def _until_seconds(self, service: str, fingerprint: bytes) -> float:
        """Returns when a quarantine ends, as far as this router knows."""
        known = self._known.get(service)
        if known is None:
            return 0.0
        return known.until_seconds.get(fingerprint, 0.0)

    def _owned_by_me(self, service: str) -> SuspectsOwner:
        """Returns the service's book; a new owner starts from what it knows.

        The book is advice: two owners for a while lose a runner at most.
        """
        owned = self._owned.get(service)
        if owned is None:
            owned = SuspectsOwner(
                self.context, service, shares_blame=self._shares_blame
            )
            known = self._known.get(service)
            if known is not None:
                now_seconds = self.context.now_seconds()
                owned.adopt(known.until_seconds, now_seconds)
            self._owned[service] = owned
        return owned

    def _owner(self, service: str) -> str | None:
        return duties.owner(self.context, duty_of(service))

    def _post(self, member_id: str | None, message: Message) -> None:
        if member_id is None:
            return
        if member_id == self.context.member_id:
            self.receive(member_id, message, self.context.now_seconds())
            return
        self.context.board.intents.append(SendToPeer(member_id, message))

    def _report(
        self, report_id: str, message: pb.StrikeReport | pb.TurnEnd
    ) -> None:
        now_seconds = self.context.now_seconds()
        report = Report(message, now_seconds)
        self._reports[report_id] = report
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._send_report(report, now_seconds)

    def _send_report(self, report: Report, now_seconds: float) -> None:
        if now_seconds < report.next_send_seconds:
            return
        jitter = 0.5 + self.context.rng.random()
        report.next_send_seconds = now_seconds + RESEND_SECONDS * jitter
        message = report.message
        if isinstance(message, pb.StrikeReport):
            # A repeated report tells of an attempt that began earlier.
            message.age_seconds += now_seconds - report.made_at_seconds
            report.made_at_seconds = now_seconds
        self._post(self._owner(message.service), message)

    def _ask_again(self, waiting: Waiting, now_seconds: float) -> None:
        if now_seconds >= waiting.deadline_at_seconds:
            del self._waiting[waiting.asked.turn_id]
            problem = Problem(
                ErrorKind.OVERLOADED,
                "the deadline passed before this request's turn; a runner "
                "was lost with the same content",
            )
            waiting.reply(Failure(problem))
            return
        silent_seconds = now_seconds - waiting.heard_at_seconds
        if silent_seconds >= OWNER_SILENT_SECONDS:
            del self._waiting[waiting.asked.turn_id]
            waiting.reply(Success(Clearance()))
            return
        if now_seconds < waiting.next_ask_seconds:
            return
        if self._is_reporting(waiting.asked.fingerprint):
            # The owner must know of the last loss before it decides.
            return
        jitter = 0.5 + self.context.rng.random()
        waiting.next_ask_seconds = now_seconds + ASK_SECONDS * jitter
        self._post(self._owner(waiting.asked.service), waiting.asked)

    def _is_reporting(self, fingerprint: bytes) -> bool:
        for report in self._reports.values():
            if report.message.fingerprint == fingerprint:
                return True
        return False

    def _take_turn(self, turn: pb.Turn, now_seconds: float) -> None:
        waiting = self._waiting.get(turn.turn_id)
        if waiting is None:
            return
        waiting.heard_at_seconds = now_seconds
        if turn.quarantined_seconds > 0:
            del self._waiting[turn.turn_id]
            waiting.reply(Failure(_quarantined(turn.quarantined_seconds)))
            return
        if not turn.granted:
            return
        del self._waiting[turn.turn_id]
        self._turn_ids[waiting.request_id] = turn.turn_id
        avoid = frozenset(turn.avoid_runner_ids)
        waiting.reply(Success(Clearance(avoid, turn_id=turn.turn_id)))

    def _learn(self, told: pb.SuspectList, now_seconds: float) -> None:
        known = KnownSuspects(now_seconds)
        for suspect in told.suspects:
            known.until_seconds[suspect.fingerprint] = (
                now_seconds + suspect.quarantined_seconds
            )
        self._known[told.service] = known

    def _tell(self, now_seconds: float) -> None:
        """Tells every router the lists that this one owns."""
        regular = now_seconds >= self._next_tell_seconds
        if regular:
            self._next_tell_seconds = now_seconds + TELL_SECONDS
        for service in list(self._known):
            if regular and self._owner(service) == self.context.member_id:
                self._owned_by_me(service)
        for service, owned in list(self._owned.items()):
            if not regular and not owned.changed:
                continue
            if self._owner(service) != self.context.member_id:
                del self._owned[service]
                continue
            was_empty = owned.is_empty
            told = owned.list(now_seconds)
            owned.is_empty = not told.suspects
            if was_empty and owned.is_empty:
                continue
            for member_id in duties.membership(self.context).members:
                self._post(member_id, told)


def fingerprint_of(request: Request) -> bytes:
    """Returns the digest by which a request's content is known."""
    return bytes.fromhex(request.fingerprint())[:FINGERPRINT_BYTES]


def _quarantined(seconds: float) -> Problem:
    return Problem(
        ErrorKind.QUARANTINED,
        f"requests with this content lost several runners; they are refused "
        f"for {seconds:.0f} s more",
    )
