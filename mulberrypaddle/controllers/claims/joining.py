"""Resends that join the running request of the same key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.controllers.claims.claimant import (
    GIVEN_UP,
    Claim,
    ClaimState,
    fingerprint_of,
)
from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.peers.proto import claims_pb2 as pb

if TYPE_CHECKING:
    from mulberrypaddle.controllers.claims.types import (
        ClaimReply,
        ClaimStart,
        StoredAnswer,
    )
    from mulberrypaddle.core.request import Request

MAX_WAITERS = 16


def join(running: Claim, request: Request, reply: ClaimReply) -> None:
    """Lets a resend wait for the answer of the running request."""
    if running.fingerprint != fingerprint_of(request):
        reply(
            Failure(
                Problem(
                    ErrorKind.KEY_REUSED,
                    "this Idempotency-Key is in use with other content",
                )
            )
        )
        return
    if running.state is ClaimState.ENDED:
        reply(answer_of(running))
        return
    if len(running.waiters) >= MAX_WAITERS:
        reply(
            Failure(
                Problem(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"more than {MAX_WAITERS} resends wait for this "
                    f"Idempotency-Key, which is running",
                )
            )
        )
        return
    running.waiters.append(reply)


def answer_of(claim: Claim) -> Result[ClaimStart | StoredAnswer, Problem]:
    """Returns what a resend that joined is told."""
    if claim.outcome == pb.CLAIM_OUTCOME_NOT_RUN:
        return Failure(GIVEN_UP)
    if claim.answer is not None:
        return Success(claim.answer)
    if claim.outcome == pb.CLAIM_OUTCOME_DONE:
        return Failure(
            Problem(
                ErrorKind.ALREADY_RAN,
                "the request that this one joined ran; its answer is not kept",
            )
        )
    return Failure(
        Problem(
            ErrorKind.OUTCOME_UNKNOWN,
            "the outcome of the request that this one joined is not known",
        )
    )
