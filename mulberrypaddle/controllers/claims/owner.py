"""The owner of one key range: decides on claims once they are durable."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.claims.idempotency_key import (
    CLOCK_TOLERANCE_SECONDS,
)
from mulberrypaddle.controllers.claims.log import RangeLog
from mulberrypaddle.core import invariants
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto import claims_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.claims.types import Protections

Post = Callable[[str, "Message"], None]

DUTY_KIND = "claims"
# A router gives a claim up after this; a later grant would be of no use.
CLAIM_TIMEOUT_SECONDS = 3.0
MAX_RECORDS = 200_000
MAX_QUEUED = 5_000
ANSWERS_BYTES = 4_194_304
DELETE_INTERVAL_SECONDS = 1.0
_MILLIS_PER_SECOND = 1000.0


def duty_of(range_number: int) -> Duty:
    """Returns the duty of one key range."""
    return Duty(DUTY_KIND, str(range_number))


class _Record:
    """A durable claim, held in little memory.

    Attributes:
        key: Digest of organisation and key.
        key_millis: Time in the key.
        fingerprint: Digest of the request's content.
        grant_id: The grant that it was claimed under.
        outcome: How it ended, as far as that is durable.
        answer: The kept answer, or None.
        ending: Its outcome while that is being written, or None.
    """

    __slots__ = (
        "answer",
        "ending",
        "fingerprint",
        "grant_id",
        "key",
        "key_millis",
        "outcome",
    )

    def __init__(self, key: bytes, claim: pb.ClaimEntry) -> None:
        self.key = key
        self.key_millis = claim.key_millis
        self.fingerprint = claim.fingerprint
        self.grant_id = claim.grant_id
        self.outcome = pb.CLAIM_OUTCOME_NONE
        self.answer: pb.ClaimAnswer | None = None
        self.ending: pb.ClaimEntry | None = None


class _QueuedClaim:
    """A claim that is being written, not granted yet."""

    __slots__ = ("given_up", "grant_id", "received_at_seconds", "sender")

    def __init__(
        self, sender: str, grant_id: str, received_at_seconds: float
    ) -> None:
        self.sender = sender
        self.grant_id = grant_id
        self.received_at_seconds = received_at_seconds
        self.given_up = False


class RangeOwner:
    """Holds the claims of one range while this router owns it.

    Attributes:
        duty: The duty of the range.
    """

    def __init__(
        self,
        context: Context,
        range_number: int,
        *,
        protections: Protections,
        retention_seconds: float,
        post: Post,
    ) -> None:
        self.duty = duty_of(range_number)
        self._context = context
        self._protections = protections
        self._retention_seconds = retention_seconds
        self._post = post
        self._records: dict[bytes, _Record] = {}
        self._queued: dict[bytes, _QueuedClaim] = {}
        self._answers_bytes = 0
        self._next_delete_seconds = 0.0
        self._log = RangeLog(
            context,
            range_number,
            protections=protections,
            loaded=self._loaded,
            opened=self._opened,
            closed=self._forget,
        )

    @property
    def records(self) -> int:
        """Returns how many claims are held in memory."""
        return len(self._records)

    def step(self, now_seconds: float) -> None:
        """Opens, writes and shortens the log as the owner, or closes it."""
        if not self._owns(now_seconds):
            self._log.close()
            return
        self._log.open(now_seconds)
        self._log.flush(now_seconds)
        if now_seconds < self._next_delete_seconds:
            return
        self._next_delete_seconds = now_seconds + DELETE_INTERVAL_SECONDS
        # Wall clocks of owner and next owner may each be off.
        margin_seconds = 2 * CLOCK_TOLERANCE_SECONDS
        kept_seconds = self._retention_seconds + margin_seconds
        oldest_seconds = self._context.clock.wall_seconds() - kept_seconds
        oldest_millis = int(oldest_seconds * _MILLIS_PER_SECOND)
        for digest in self._log.delete_older(oldest_millis):
            self._drop(digest)

    def handle_pause(self) -> None:
        """Loads again after a pause: another owner may have written."""
        self._log.close()

    def claim(
        self, sender: str, request: pb.ClaimRequest, now_seconds: float
    ) -> None:
        """Decides on a claim, now or once it is durable.

        Without an answer the sender asks again, whoever owns the range then.
        """
        if not self._log.ready or not self._owns(now_seconds):
            return
        if self._is_expired(request.key_millis):
            self._answer(sender, request, pb.CLAIM_VERDICT_KEY_EXPIRED)
            return
        queued = self._queued.get(request.key)
        if queued is not None:
            if queued.grant_id != request.grant_id:
                self._answer(sender, request, pb.CLAIM_VERDICT_OUTCOME_UNKNOWN)
            return
        record = self._records.get(request.key)
        if record is not None and not _may_run_again(record, request):
            self._answer_from(record, sender, request)
            return
        self._write_claim(sender, request, now_seconds)

    def outcome(
        self, sender: str, report: pb.ClaimOutcome, now_seconds: float
    ) -> None:
        """Takes note of how a granted claim ended."""
        if not self._log.ready or not self._owns(now_seconds):
            return
        queued = self._queued.get(report.key)
        if queued is not None and queued.grant_id == report.grant_id:
            # Confirmed once the claim and its release are durable.
            queued.given_up = report.kind == pb.CLAIM_OUTCOME_NOT_RUN
            return
        record = self._records.get(report.key)
        known = record is not None and record.grant_id == report.grant_id
        if record is None or not known or record.outcome:
            self._post(sender, pb.ClaimOutcomeAck(grant_id=report.grant_id))
            return
        if record.ending is not None:
            return
        answer = _answer_in(report)
        self._write_outcome(record, report.kind, answer, sender)
        self._log.flush(now_seconds)

    def member_id(self) -> str | None:
        """Returns the range's owner by the present membership."""
        return duties.owner(self._context, self.duty)

    def _owns(self, now_seconds: float) -> bool:
        if self.member_id() != self._context.member_id:
            return False
        if not self._protections.settle_wait:
            return True
        return duties.may_act(self._context, self.duty, now_seconds)

    def _is_expired(self, key_millis: int) -> bool:
        if not self._protections.retention:
            return False
        wall_seconds = self._context.clock.wall_seconds()
        age_seconds = wall_seconds - key_millis / _MILLIS_PER_SECOND
        return age_seconds > self._retention_seconds

    def _answer(
        self,
        sender: str,
        request: pb.ClaimRequest,
        kind: pb.ClaimVerdictKind,
        answer: pb.ClaimAnswer | None = None,
    ) -> None:
        verdict = pb.ClaimVerdict(grant_id=request.grant_id, kind=kind)
        if answer is not None:
            verdict.answer.CopyFrom(answer)
        self._post(sender, verdict)

    def _answer_from(
        self, record: _Record, sender: str, request: pb.ClaimRequest
    ) -> None:
        if record.fingerprint != request.fingerprint:
            self._answer(sender, request, pb.CLAIM_VERDICT_KEY_REUSED)
            return
        outcome = record.outcome
        answer = record.answer
        if record.ending is not None:
            outcome = record.ending.outcome
            answer = _answer_in(record.ending)
        if outcome == pb.CLAIM_OUTCOME_DONE:
            self._answer(sender, request, pb.CLAIM_VERDICT_ALREADY_RAN, answer)
            return
        same_grant = record.grant_id == request.grant_id
        if outcome == pb.CLAIM_OUTCOME_NOT_RUN:
            # Another grant has to wait until this is durable.
            if same_grant:
                self._answer(
                    sender, request, pb.CLAIM_VERDICT_STORE_UNAVAILABLE
                )
            return
        if not same_grant:
            self._answer(sender, request, pb.CLAIM_VERDICT_OUTCOME_UNKNOWN)
            return
        # The same router asks for the same grant: the first was lost.
        self._answer(sender, request, pb.CLAIM_VERDICT_GRANTED)

    def _write_claim(
        self, sender: str, request: pb.ClaimRequest, now_seconds: float
    ) -> None:
        full = len(self._records) >= MAX_RECORDS
        if full or self._log.queued >= MAX_QUEUED:
            self._answer(sender, request, pb.CLAIM_VERDICT_STORE_UNAVAILABLE)
            return
        entry = pb.ClaimEntry(
            key=request.key,
            key_millis=request.key_millis,
            fingerprint=request.fingerprint,
            grant_id=request.grant_id,
        )
        queued = _QueuedClaim(sender, request.grant_id, now_seconds)
        self._queued[request.key] = queued

        def written(durable: bool) -> None:
            self._queued.pop(entry.key, None)
            if not durable:
                self._answer(
                    sender, request, pb.CLAIM_VERDICT_STORE_UNAVAILABLE
                )
                return
            self._claimed(entry, queued)

        if not self._protections.write_before_grant:
            self._answer(sender, request, pb.CLAIM_VERDICT_GRANTED)
        self._log.append(entry, written)
        self._log.flush(now_seconds)

    def _claimed(self, entry: pb.ClaimEntry, queued: _QueuedClaim) -> None:
        """Grants a claim that has become durable."""
        record = self._put(entry)
        now_seconds = self._context.now_seconds()
        waited_seconds = now_seconds - queued.received_at_seconds
        if queued.given_up or waited_seconds > CLAIM_TIMEOUT_SECONDS:
            # It was never granted, so it surely did not run.
            self._write_outcome(
                record, pb.CLAIM_OUTCOME_NOT_RUN, None, queued.sender
            )
            return
        if not self._owns(now_seconds):
            return
        self._post(
            queued.sender,
            pb.ClaimVerdict(
                grant_id=entry.grant_id, kind=pb.CLAIM_VERDICT_GRANTED
            ),
        )

    def _write_outcome(
        self,
        record: _Record,
        kind: pb.ClaimOutcomeKind,
        answer: pb.ClaimAnswer | None,
        sender: str,
    ) -> None:
        entry = pb.ClaimEntry(
            key=record.key,
            key_millis=record.key_millis,
            grant_id=record.grant_id,
            outcome=kind,
        )
        if answer is not None and self._has_room(answer):
            entry.answer.CopyFrom(answer)
        record.ending = entry

        def written(durable: bool) -> None:
            self._end(record, entry)
            self._post(sender, pb.ClaimOutcomeAck(grant_id=entry.grant_id))

        self._log.append(entry, written, keep=True)

    def _has_room(self, answer: pb.ClaimAnswer) -> bool:
        return self._answers_bytes + len(answer.body) <= ANSWERS_BYTES

    def _put(self, entry: pb.ClaimEntry) -> _Record:
        key = entry.key
        old = self._records.get(key)
        invariants.check(
            old is None or old.outcome == pb.CLAIM_OUTCOME_NOT_RUN,
            Invariant.AT_MOST_ONCE,
            f"grant {entry.grant_id} was claimed over an earlier claim",
        )
        record = _Record(key, entry)
        self._records[key] = record
        return record

    def _end(self, record: _Record, entry: pb.ClaimEntry) -> None:
        record.outcome = entry.outcome
        record.ending = None
        record.answer = _answer_in(entry)
        if record.answer is not None:
            self._answers_bytes += len(record.answer.body)

    def _drop(self, digest: bytes) -> None:
        record = self._records.get(digest)
        if record is None or digest in self._queued:
            return
        del self._records[digest]
        if record.answer is not None:
            self._answers_bytes -= len(record.answer.body)

    def _loaded(self, entries: list[pb.ClaimEntry]) -> None:
        for entry in entries:
            if not entry.outcome:
                self._put(entry)
                continue
            record = self._records.get(entry.key)
            if record is None or record.grant_id != entry.grant_id:
                continue
            self._end(record, entry)

    def _opened(self) -> None:
        self._context.decide(
            "claims_taken_over",
            subject=str(self.duty),
            outcome="open",
            reason="log loaded and earlier owner fenced",
            claims=str(len(self._records)),
        )

    def _forget(self) -> None:
        self._records = {}
        self._queued = {}
        self._answers_bytes = 0


def _answer_in(
    message: pb.ClaimEntry | pb.ClaimOutcome,
) -> pb.ClaimAnswer | None:
    """Returns the answer in a message, or None."""
    return message.answer if message.HasField("answer") else None


def _may_run_again(record: _Record, request: pb.ClaimRequest) -> bool:
    """Returns whether an earlier claim surely did not run and is over."""
    if record.outcome != pb.CLAIM_OUTCOME_NOT_RUN:
        return False
    return record.grant_id != request.grant_id
