"""The router that received a request: asks for its claim and uses it once."""

from __future__ import annotations

import enum
import functools
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from mulberrypaddle.controllers.claims.idempotency_key import (
    key_digest,
    range_of,
)
from mulberrypaddle.controllers.claims.owner import (
    CLAIM_TIMEOUT_SECONDS,
)
from mulberrypaddle.controllers.claims.types import (
    ClaimReply,
    ClaimStart,
    StoredAnswer,
)
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.peers.proto import claims_pb2 as pb

if TYPE_CHECKING:
    import random

    from mulberrypaddle.controllers.claims.owner import Post
    from mulberrypaddle.core.request import Request

# A grant that was not used by then is given back.
GRANT_SECONDS = 30.0
RESEND_SECONDS = 0.25
# Outcomes are repeated, ever more slowly, until the owner confirms them.
REPORT_SECONDS = 1.0
MAX_REPORT_SECONDS = 8.0
# After this a claim that was given up no longer answers a late grant.
LINGER_SECONDS = 60.0
FINGERPRINT_BYTES = 16
KEPT_ANSWER_BYTES = 1024


class ClaimState(enum.Enum):
    """What this router knows of one of its claims."""

    ASKED = "asked"
    GRANTED = "granted"
    SENDING = "sending"
    ENDED = "ended"


def fingerprint_of(request: Request) -> bytes:
    """Returns the digest of a request's content that a claim carries."""
    return bytes.fromhex(request.fingerprint())[:FINGERPRINT_BYTES]


class Claim:
    """One claim of this router.

    Attributes:
        request_id: Id of the request; its body is not held here.
        deadline_at_seconds: Monotonic time by which the answer is due.
        digest: Digest of organisation and key.
        range_number: Key range that the digest falls into.
        key_millis: Time in the key.
        fingerprint: Digest of the request's content.
        grant_id: Unique over all claims of all processes.
        state: What is known.
        reply: Called once with the verdict.
        waiters: Replies of resends that joined.
        asked_at_seconds: Monotonic time of the first message.
        expires_at_seconds: Monotonic time from which the grant is void.
        next_post_seconds: When to send the next message.
        spent: Whether an attempt may have run.
        reports: How often the outcome was reported.
        outcome: What is reported to the owner.
        answer: The answer that is reported, or None.
        confirmed_at_seconds: When the owner confirmed, or None.
    """

    __slots__ = (
        "answer",
        "asked_at_seconds",
        "confirmed_at_seconds",
        "deadline_at_seconds",
        "digest",
        "expires_at_seconds",
        "fingerprint",
        "grant_id",
        "key_millis",
        "next_post_seconds",
        "outcome",
        "range_number",
        "reply",
        "reports",
        "request_id",
        "spent",
        "state",
        "waiters",
    )

    def __init__(
        self,
        request: Request,
        reply: ClaimReply,
        *,
        key_millis: int,
        grant_id: str,
        now_seconds: float,
    ) -> None:
        self.request_id = request.request_id
        self.deadline_at_seconds = request.deadline_at_seconds
        self.reply = reply
        self.key_millis = key_millis
        self.grant_id = grant_id
        self.digest = key_digest(request.organisation, request.idempotency_key)
        self.range_number = range_of(self.digest)
        self.fingerprint = fingerprint_of(request)
        self.state = ClaimState.ASKED
        self.waiters: list[ClaimReply] = []
        self.asked_at_seconds = now_seconds
        self.expires_at_seconds = min(
            request.deadline_at_seconds, now_seconds + GRANT_SECONDS
        )
        self.next_post_seconds = now_seconds
        self.spent = False
        self.reports = 0
        self.outcome = pb.CLAIM_OUTCOME_NONE
        self.answer: StoredAnswer | None = None
        self.confirmed_at_seconds: float | None = None

    def ask_until_seconds(self) -> float:
        """Returns the monotonic time at which the claim is given up."""
        return min(
            self.expires_at_seconds,
            self.asked_at_seconds + CLAIM_TIMEOUT_SECONDS,
        )

    def end(self, outcome: pb.ClaimOutcomeKind) -> None:
        """Ends the claim; the outcome is reported until confirmed."""
        self.state = ClaimState.ENDED
        self.outcome = outcome
        self.next_post_seconds = 0.0

    def drop_large_answer(self) -> None:
        """Keeps no answer that is too large for a later resend."""
        answer = self.answer
        if answer is not None and len(answer.body) > KEPT_ANSWER_BYTES:
            self.answer = None

    def is_settled(self) -> bool:
        """Returns whether there is nothing left to send or to give up."""
        return self.state is ClaimState.ENDED and not self.is_unconfirmed()

    def is_over(self, now_seconds: float) -> bool:
        """Returns whether the claim may be forgotten."""
        if self.state is not ClaimState.ENDED:
            return False
        if self.outcome == pb.CLAIM_OUTCOME_NONE:
            return True
        if self.confirmed_at_seconds is None:
            return False
        if self.outcome == pb.CLAIM_OUTCOME_DONE:
            return True
        return now_seconds - self.confirmed_at_seconds > LINGER_SECONDS

    def post(
        self,
        rng: random.Random,
        member_id: str | None,
        post: Post,
        now_seconds: float,
    ) -> None:
        """Sends what the owner should know, if it is time to.

        Args:
            rng: Source of the jitter.
            member_id: The range's owner, if there is one.
            post: Sends a message.
            now_seconds: Monotonic time.
        """
        if member_id is None or now_seconds < self.next_post_seconds:
            return
        asks = self.state is ClaimState.ASKED
        if not asks and not self.is_unconfirmed():
            return
        wait_seconds = RESEND_SECONDS
        if not asks:
            wait_seconds = min(
                REPORT_SECONDS * 2 ** min(self.reports, 8),
                MAX_REPORT_SECONDS,
            )
            self.reports += 1
        jitter = 0.5 + rng.random()
        self.next_post_seconds = now_seconds + wait_seconds * jitter
        if asks:
            post(member_id, self._request())
            return
        post(member_id, self._report())

    def is_unconfirmed(self) -> bool:
        """Returns whether the owner still has to confirm the outcome."""
        if self.state is not ClaimState.ENDED:
            return False
        has_outcome = self.outcome != pb.CLAIM_OUTCOME_NONE
        return has_outcome and self.confirmed_at_seconds is None

    def _request(self) -> pb.ClaimRequest:
        return pb.ClaimRequest(
            range=self.range_number,
            key=self.digest,
            key_millis=self.key_millis,
            fingerprint=self.fingerprint,
            grant_id=self.grant_id,
        )

    def _report(self) -> pb.ClaimOutcome:
        report = pb.ClaimOutcome(
            range=self.range_number,
            key=self.digest,
            grant_id=self.grant_id,
            kind=self.outcome,
        )
        answer = self.answer
        if answer is not None:
            report.answer.status = answer.status
            report.answer.content_type = answer.content_type
            report.answer.body = answer.body
        return report


_PROBLEMS: dict[pb.ClaimVerdictKind, Problem] = {
    pb.CLAIM_VERDICT_ALREADY_RAN: Problem(
        ErrorKind.ALREADY_RAN,
        "the request with this Idempotency-Key ran; its answer is not kept",
    ),
    pb.CLAIM_VERDICT_KEY_REUSED: Problem(
        ErrorKind.KEY_REUSED,
        "this Idempotency-Key came before with other content",
    ),
    pb.CLAIM_VERDICT_KEY_EXPIRED: Problem(
        ErrorKind.KEY_EXPIRED,
        "this Idempotency-Key is older than the retention window",
    ),
    pb.CLAIM_VERDICT_OUTCOME_UNKNOWN: Problem(
        ErrorKind.OUTCOME_UNKNOWN,
        "a request with this Idempotency-Key was claimed before and its "
        "outcome is not known",
    ),
    pb.CLAIM_VERDICT_STORE_UNAVAILABLE: Problem(
        ErrorKind.STORE_UNAVAILABLE, "the claim could not be made durable"
    ),
}
GIVEN_UP = Problem(
    ErrorKind.STORE_UNAVAILABLE,
    "no owner of the key range granted the claim in time",
)
EXPIRED = Problem(
    ErrorKind.DEADLINE_TOO_SHORT,
    "the claim's grant expired before the request was sent",
    ran=Ran.NOT_RUN,
)


def give_verdict(verdict: pb.ClaimVerdict, reply: ClaimReply) -> None:
    """Answers a caller's side with what the owner said."""
    if verdict.kind == pb.CLAIM_VERDICT_GRANTED:
        reply(Success(ClaimStart.RUN))
        return
    if verdict.HasField("answer"):
        reply(Success(kept_answer(verdict.answer)))
        return
    reply(Failure(_problem_of(verdict.kind)))


def kept_answer(answer: pb.ClaimAnswer) -> StoredAnswer:
    """Returns the typed form of an answer on the wire."""
    return StoredAnswer(answer.status, answer.content_type, answer.body)


@functools.cache
def _problem_of(kind: pb.ClaimVerdictKind) -> Problem:
    unknown = _PROBLEMS[pb.CLAIM_VERDICT_OUTCOME_UNKNOWN]
    return _PROBLEMS.get(kind, unknown)
