"""The claims controller: receiving side and owner side of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard import SendToPeer
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.controllers.claims.claimant import (
    EXPIRED,
    GIVEN_UP,
    Claim,
    ClaimState,
    give_verdict,
)
from mulberrypaddle.controllers.claims.idempotency_key import (
    RANGES,
    RETENTION_SECONDS,
    check_key,
    key_digest,
)
from mulberrypaddle.controllers.claims.joining import answer_of, join
from mulberrypaddle.controllers.claims.owner import RangeOwner
from mulberrypaddle.controllers.claims.types import (
    ClaimReply,
    ClaimStart,
    Protections,
    StoredAnswer,
)
from mulberrypaddle.core import invariants
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.core.invariants import Invariant
from mulberrypaddle.core.request import AttemptState
from mulberrypaddle.peers.proto import claims_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.core.request import Request

# Claims that this router holds at once, unconfirmed outcomes included.
MAX_CLAIMS = 20_000
# A sent claim whose end was never told counts as unknown after this.
FORGET_SECONDS = 600.0
SWEEP_SECONDS = 1.0

_SURELY_NOT_RUN = (AttemptState.UNSENT, AttemptState.REFUSED)


class Claims(Controller):
    """Claims unrepeatable requests in the platform's object API.

    Args:
        context: This router's context.
        retention_seconds: Oldest key that is accepted.
        protections: Which protections are on; all outside tests.
    """

    name = "claims"
    message_types = (
        pb.ClaimRequest,
        pb.ClaimVerdict,
        pb.ClaimOutcome,
        pb.ClaimOutcomeAck,
    )

    def __init__(
        self,
        context: Context,
        *,
        retention_seconds: float = RETENTION_SECONDS,
        protections: Protections | None = None,
    ) -> None:
        super().__init__(context)
        self._protections = protections or Protections()
        self._retention_seconds = retention_seconds
        self._claims: dict[str, Claim] = {}
        # Those of them that still have something to send or to give up.
        self._active: dict[str, Claim] = {}
        self._by_request: dict[str, Claim] = {}
        self._by_digest: dict[bytes, Claim] = {}
        self._grants = 0
        self._next_sweep_seconds = 0.0
        self._owners: list[RangeOwner] = []
        for number in range(RANGES):
            self._owners.append(
                RangeOwner(
                    context,
                    number,
                    protections=self._protections,
                    retention_seconds=retention_seconds,
                    post=self._post,
                )
            )

    @property
    def held(self) -> int:
        """Returns how many of its own claims this router holds."""
        return len(self._claims)

    @property
    def unconfirmed(self) -> int:
        """Returns how many outcomes no owner has confirmed yet."""
        count = 0
        for claim in self._active.values():
            count += claim.is_unconfirmed()
        return count

    @property
    def records(self) -> int:
        """Returns how many claims this router holds as an owner."""
        return sum(owner.records for owner in self._owners)

    def step(self, now_seconds: float) -> None:
        """Writes as owner; repeats messages and gives up as claimant."""
        for owner in self._owners:
            owner.step(now_seconds)
        for claim in list(self._active.values()):
            self._give_up_late(claim, now_seconds)
            self._send(claim, now_seconds)
            if claim.is_settled():
                del self._active[claim.grant_id]
        self._sweep(now_seconds)

    def handle_pause(self, gap_seconds: float, now_seconds: float) -> None:
        """Loads its ranges again and gives back what has expired."""
        for owner in self._owners:
            owner.handle_pause()
        for claim in list(self._active.values()):
            self._give_up_late(claim, now_seconds)

    def receive(
        self, sender: str, message: Message, now_seconds: float
    ) -> None:
        """Takes a message of an owner or of a claimant."""
        if isinstance(message, pb.ClaimRequest):
            if message.range < RANGES:
                owner = self._owners[message.range]
                owner.claim(sender, message, now_seconds)
            return
        if isinstance(message, pb.ClaimOutcome):
            if message.range < RANGES:
                owner = self._owners[message.range]
                owner.outcome(sender, message, now_seconds)
            return
        if isinstance(message, pb.ClaimVerdict):
            self._take_verdict(message, now_seconds)
            return
        if isinstance(message, pb.ClaimOutcomeAck):
            claim = self._claims.get(message.grant_id)
            if claim is not None and claim.state is ClaimState.ENDED:
                claim.confirmed_at_seconds = now_seconds

    def begin(self, request: Request, reply: ClaimReply) -> None:
        """Claims a request before its first byte is sent.

        Args:
            request: A request that is not idempotent.
            reply: Called once: with RUN if it was never sent before, with
                the kept answer if it ran, or with the problem.
        """
        if not request.idempotency_key:
            reply(
                Failure(
                    Problem(
                        ErrorKind.KEY_REQUIRED,
                        "got no Idempotency-Key header, this call needs one",
                    )
                )
            )
            return
        checked = self._check_key(request.idempotency_key)
        if not isinstance(checked, Success):
            reply(Failure(checked.failure()))
            return
        digest = key_digest(request.organisation, request.idempotency_key)
        running = self._by_digest.get(digest)
        if running is not None:
            join(running, request, reply)
            return
        if len(self._claims) >= MAX_CLAIMS:
            reply(
                Failure(
                    Problem(
                        ErrorKind.OVERLOADED,
                        f"got more claims at once than {MAX_CLAIMS}",
                    )
                )
            )
            return
        self._ask(request, reply, checked.unwrap())

    def may_send(self, request: Request) -> Result[ClaimStart, Problem]:
        """Decides directly before an attempt whether it may be sent.

        Args:
            request: A request; an idempotent one may always be sent.

        Returns:
            RUN, or a problem that is truly "not run" for this attempt.
        """
        if request.idempotent:
            return Success(ClaimStart.RUN)
        claim = self._by_request.get(request.request_id)
        now_seconds = self.context.now_seconds()
        if not self._protections.grant_expiry:
            return Success(ClaimStart.RUN)
        if claim is None or claim.state is ClaimState.ENDED:
            return Failure(EXPIRED)
        if now_seconds >= claim.expires_at_seconds:
            return Failure(EXPIRED)
        invariants.check(
            claim.state is ClaimState.GRANTED and not claim.spent,
            Invariant.AT_MOST_ONCE,
            f"{request.request_id} sent in state {claim.state.value}",
        )
        claim.state = ClaimState.SENDING
        claim.spent = True
        return Success(ClaimStart.RUN)

    def attempt_ended(self, request: Request, state: AttemptState) -> None:
        """Takes note of one attempt's end, so that another may follow.

        Args:
            request: The request.
            state: What is known about execution.
        """
        claim = self._by_request.get(request.request_id)
        if claim is None or claim.state is not ClaimState.SENDING:
            return
        if state in _SURELY_NOT_RUN:
            claim.state = ClaimState.GRANTED
            claim.spent = False

    def finish(
        self, request: Request, state: AttemptState, answer: StoredAnswer | None
    ) -> None:
        """Records how a claimed request ended.

        Args:
            request: The request.
            state: What is known about execution, over all attempts.
            answer: The whole answer, if it is to be kept.
        """
        claim = self._by_request.get(request.request_id)
        if claim is None:
            return
        if state in _SURELY_NOT_RUN:
            invariants.check(
                not claim.spent,
                Invariant.NOT_RUN_IS_CORRECT,
                f"{request.request_id} is said not run after it was sent",
            )
            self._end(claim, pb.CLAIM_OUTCOME_NOT_RUN)
            return
        claim.answer = answer
        if state is AttemptState.DONE:
            self._end(claim, pb.CLAIM_OUTCOME_DONE)
            return
        self._end(claim, pb.CLAIM_OUTCOME_NONE)

    def _sweep(self, now_seconds: float) -> None:
        """Forgets claims that are over."""
        if now_seconds < self._next_sweep_seconds:
            return
        self._next_sweep_seconds = now_seconds + SWEEP_SECONDS
        for claim in list(self._claims.values()):
            if claim.is_over(now_seconds):
                self._claims.pop(claim.grant_id, None)
                self._active.pop(claim.grant_id, None)
                self._forget_digest(claim)

    def _check_key(self, key: str) -> Result[int, Problem]:
        retention_seconds = self._retention_seconds
        if not self._protections.retention:
            retention_seconds = float("inf")
        return check_key(
            key,
            wall_seconds=self.context.clock.wall_seconds(),
            retention_seconds=retention_seconds,
        )

    def _ask(self, request: Request, reply: ClaimReply, millis: int) -> None:
        context = self.context
        self._grants += 1
        claim = Claim(
            request,
            reply,
            key_millis=millis,
            grant_id=f"{context.member_id}-{context.incarnation}-{self._grants}",
            now_seconds=context.now_seconds(),
        )
        self._claims[claim.grant_id] = claim
        self._active[claim.grant_id] = claim
        self._by_request[request.request_id] = claim
        self._by_digest[claim.digest] = claim
        self._send(claim, claim.asked_at_seconds)

    def _post(self, member_id: str, message: Message) -> None:
        if member_id == self.context.member_id:
            self.receive(member_id, message, self.context.now_seconds())
            return
        self.context.board.intents.append(SendToPeer(member_id, message))

    def _send(self, claim: Claim, now_seconds: float) -> None:
        member_id = self._owners[claim.range_number].member_id()
        claim.post(self.context.rng, member_id, self._post, now_seconds)

    def _take_verdict(
        self, verdict: pb.ClaimVerdict, now_seconds: float
    ) -> None:
        claim = self._claims.get(verdict.grant_id)
        if claim is None:
            return
        granted = verdict.kind == pb.CLAIM_VERDICT_GRANTED
        if claim.state is ClaimState.ENDED and granted:
            # The owner doesn't know yet how this one ended.
            claim.confirmed_at_seconds = None
            self._active[claim.grant_id] = claim
            return
        if claim.state is not ClaimState.ASKED:
            return
        if now_seconds >= claim.ask_until_seconds():
            self._give_up_late(claim, now_seconds)
            return
        if granted:
            claim.state = ClaimState.GRANTED
            give_verdict(verdict, claim.reply)
            return
        outcome = pb.CLAIM_OUTCOME_NONE
        if verdict.kind == pb.CLAIM_VERDICT_STORE_UNAVAILABLE:
            # Another copy of the same question may still be granted.
            outcome = pb.CLAIM_OUTCOME_NOT_RUN
        waiters = self._end(claim, outcome, wakes=False)
        for reply in (claim.reply, *waiters):
            give_verdict(verdict, reply)

    def _give_up_late(self, claim: Claim, now_seconds: float) -> None:
        """Gives back a claim that can no longer be used in time."""
        if claim.state is ClaimState.ASKED:
            if now_seconds < claim.ask_until_seconds():
                return
            self._end(claim, pb.CLAIM_OUTCOME_NOT_RUN)
            claim.reply(Failure(GIVEN_UP))
            return
        if claim.state is ClaimState.GRANTED:
            if now_seconds >= claim.expires_at_seconds:
                self._end(claim, pb.CLAIM_OUTCOME_NOT_RUN)
            return
        if claim.state is not ClaimState.SENDING:
            return
        if now_seconds >= claim.deadline_at_seconds + FORGET_SECONDS:
            self._end(claim, pb.CLAIM_OUTCOME_NONE)

    def _forget_digest(self, claim: Claim) -> None:
        if self._by_digest.get(claim.digest) is claim:
            del self._by_digest[claim.digest]

    def _end(
        self,
        claim: Claim,
        outcome: pb.ClaimOutcomeKind,
        *,
        wakes: bool = True,
    ) -> list[ClaimReply]:
        """Ends a claim and answers the resends that joined it."""
        claim.end(outcome)
        self._by_request.pop(claim.request_id, None)
        if outcome != pb.CLAIM_OUTCOME_DONE:
            self._forget_digest(claim)
        waiters = claim.waiters
        claim.waiters = []
        if wakes:
            for reply in waiters:
                reply(answer_of(claim))
        claim.drop_large_answer()
        self._send(claim, self.context.now_seconds())
        return waiters
