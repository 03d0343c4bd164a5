"""Routers that run unrepeatable requests against a runner that counts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard.values import EarlierMembership
from mulberrypaddle.controllers.claims import (
    Claims,
    ClaimStart,
    Protections,
    StoredAnswer,
)
from mulberrypaddle.controllers.claims.idempotency_key import (
    key_digest,
    range_of,
)
from mulberrypaddle.core.contract import Urgency
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.request import AttemptState, Request
from tests.support.flaky_store import FlakyStore
from tests.support.fleet import FakeFleet
from tests.support.membership import FixedMembership

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.controllers import Context, Controller
    from mulberrypaddle.node import Node

ROUTERS = [f"router-{number}" for number in range(1, 8)]


def uuid7(wall_seconds: float, rng: random.Random) -> str:
    """Returns a UUIDv7 (RFC 9562) made at a wall time."""
    millis = f"{int(wall_seconds * 1000):012x}"
    tail = f"{rng.getrandbits(62) | 1 << 63:016x}"
    middle = f"7{rng.getrandbits(12):03x}"
    return f"{millis[:8]}-{millis[8:]}-{middle}-{tail[:4]}-{tail[4:]}"


class Sending:
    """One sending of a key by its caller, and what the caller was told."""

    __slots__ = (
        "key",
        "member_id",
        "node",
        "ran",
        "request",
        "result",
        "runs",
        "sent_at",
    )

    def __init__(self, key: str, node: Node, sent_at: float) -> None:
        self.key = key
        self.node = node
        self.member_id = node.context.member_id
        self.sent_at = sent_at
        self.runs = 0
        self.ran: Ran | None = None
        self.request: Request | None = None
        self.result: Result | None = None


class ClaimsFleet:
    """Seven routers, their memberships and a runner that counts runs.

    Attributes:
        fleet: The fake network, clock and store.
        runs: How often each key ran.
        sendings: Every sending, in order.
        queue_seconds: Longest wait between a grant and its sending.
        send_after_seconds: Shortest wait between a grant and its sending.
        answer_bytes: Least size of an answer.
        granted: Called when a sending was granted, if set.
        refused_share: Share of attempts that the runner refuses.
        broken_share: Share of attempts whose connection breaks.
    """

    def __init__(
        self,
        *,
        seed: int,
        loss: float = 0.0,
        retention_seconds: float = 3600.0,
        protections: Protections | None = None,
        make_claims: Callable[[Context], Claims] | None = None,
        delay_seconds: float = 0.005,
    ) -> None:
        self.rng = random.Random(seed)
        self.members = list(ROUTERS)
        self.memberships: dict[str, FixedMembership] = {}
        self.claims: dict[str, Claims] = {}
        self.runs: dict[str, int] = {}
        self.sendings: list[Sending] = []
        self.queue_seconds = 0.2
        self.send_after_seconds = 0.0
        self.answer_bytes = 0
        self.granted: Callable[[Sending], None] | None = None
        self.refused_share = 0.1
        self.broken_share = 0.1
        self._retention_seconds = retention_seconds
        self._protections = protections
        self._make_claims = make_claims or self._default_claims
        self._epoch = 1
        self._past: list[EarlierMembership] = []
        self.fleet = FakeFleet(
            [],
            self._build,
            seed=seed,
            loss=loss,
            delay_seconds=delay_seconds,
        )
        self.fleet.store = FlakyStore(random.Random(seed))
        for member_id in ROUTERS:
            self.fleet.start(member_id)

    @property
    def now(self) -> float:
        """Returns the simulated monotonic time, in seconds."""
        return self.fleet.clock.monotonic_seconds()

    def new_key(self, *, age_seconds: float = 0.0) -> str:
        """Returns a fresh key, made some time ago."""
        wall_seconds = self.fleet.clock.wall_seconds() - age_seconds
        return uuid7(wall_seconds, self.rng)

    def key_beside(self, key: str) -> str:
        """Returns a fresh key of the same range as another."""
        number = range_of(key_digest("museum", key))
        while True:
            other = self.new_key()
            if range_of(key_digest("museum", other)) == number:
                return other

    def change_members(self, member_ids: list[str]) -> None:
        """Changes the membership for all that run and hear of it."""
        first = next(iter(self.memberships.values()))
        settled_at_seconds = self.now + first.lease_seconds
        self._past.append(
            EarlierMembership(frozenset(self.members), settled_at_seconds)
        )
        self.members = list(member_ids)
        self._epoch += 1
        for member_id in self.fleet.nodes:
            membership = self.memberships[member_id]
            if member_id not in self.fleet.paused and membership.renews:
                self._adopt(membership)

    def pause(self, member_id: str) -> None:
        """Stops a router without its noticing."""
        self.fleet.paused.add(member_id)

    def resume(self, member_id: str) -> None:
        """Lets a paused router go on; its lease is as old as the pause."""
        self.fleet.paused.discard(member_id)
        if self.memberships[member_id].renews:
            self._adopt(self.memberships[member_id])

    def isolate(self, member_id: str) -> None:
        """Keeps membership news and lease renewals from a router."""
        self.memberships[member_id].renews = False

    def rejoin(self, member_id: str) -> None:
        """Gives a router the present membership again."""
        membership = self.memberships[member_id]
        membership.renews = True
        self._adopt(membership)

    def kill(self, member_id: str) -> None:
        """Ends a router and starts it again with nothing kept."""
        self.fleet.kill(member_id)
        self.fleet.start(member_id)

    def submit(
        self, member_id: str, key: str, *, body: bytes = b"order"
    ) -> Sending:
        """Sends a key through one router, as its caller would."""
        node = self.fleet.nodes[member_id]
        sending = Sending(key, node, self.now)
        self.sendings.append(sending)
        request = Request(
            f"request-{len(self.sendings)}",
            organisation="museum",
            service="shop-counter",
            method="POST",
            path="/orders",
            body=body,
            content_type="application/json",
            urgency=Urgency.NORMAL,
            deadline_at_seconds=self.now + 20.0,
            idempotent=False,
            idempotency_key=key,
        )
        sending.request = request

        def begun(result: Result[ClaimStart | StoredAnswer, Problem]) -> None:
            if not isinstance(result, Success):
                self._tell(sending, result)
                return
            if result.unwrap() is not ClaimStart.RUN:
                self._tell(sending, result)
                return
            if self.granted is not None:
                self.granted(sending)
            self._soon(
                node,
                lambda: self._send(sending, request),
                after_seconds=self.send_after_seconds,
            )

        self.claims[member_id].begin(request, begun)
        self.fleet.drain(node)
        return sending

    def unsaid(self) -> list[Sending]:
        """Returns sendings of live routers that were not answered."""
        found = []
        for sending in self.sendings:
            lives = self.fleet.nodes.get(sending.member_id) is sending.node
            if lives and sending.ran is None:
                found.append(sending)
        return found

    def double_runs(self) -> list[str]:
        """Returns the keys that ran more than once."""
        return [key for key, runs in self.runs.items() if runs > 1]

    def untrue_refusals(self) -> list[Sending]:
        """Returns sendings that ran and were answered with "not run"."""
        found = []
        for sending in self.sendings:
            if sending.ran is Ran.NOT_RUN and sending.runs:
                found.append(sending)
        return found

    def _build(self, context: Context) -> list[Controller]:
        membership = FixedMembership(context, self.members)
        self._adopt(membership)
        self.memberships[context.member_id] = membership
        claims = self._make_claims(context)
        self.claims[context.member_id] = claims
        return [membership, claims]

    def _default_claims(self, context: Context) -> Claims:
        return Claims(
            context,
            retention_seconds=self._retention_seconds,
            protections=self._protections,
        )

    def _adopt(self, membership: FixedMembership) -> None:
        membership.adopt(
            self.members, epoch=self._epoch, unsettled=tuple(self._past)
        )

    def _soon(
        self,
        node: Node,
        act: Callable[[], None],
        *,
        after_seconds: float = 0.0,
    ) -> None:
        """Runs `act` on a node after a random wait, unless it dies."""
        wait_seconds = after_seconds + self.rng.uniform(0, self.queue_seconds)
        self.fleet.schedule(self.now + wait_seconds, node, act)

    def _tell(self, sending: Sending, result: Result) -> None:
        if sending.ran is not None:
            return
        sending.result = result
        sending.ran = Ran.RAN
        if not isinstance(result, Success):
            sending.ran = result.failure().ran

    def _send(self, sending: Sending, request: Request) -> None:
        claims = self.claims[sending.member_id]
        allowed = claims.may_send(request)
        if not isinstance(allowed, Success):
            claims.finish(request, AttemptState.UNSENT, None)
            self._tell(sending, allowed)
            return
        if self.rng.random() < self.refused_share:
            self._end(sending, request, AttemptState.REFUSED)
            return
        self.runs[sending.key] = self.runs.get(sending.key, 0) + 1
        sending.runs += 1
        state = AttemptState.DONE
        if self.rng.random() < self.broken_share:
            state = AttemptState.MAYBE_RUN
        self._soon(sending.node, lambda: self._end(sending, request, state))

    def _end(
        self, sending: Sending, request: Request, state: AttemptState
    ) -> None:
        claims = self.claims[sending.member_id]
        claims.attempt_ended(request, state)
        body = sending.key.encode().ljust(self.answer_bytes)
        answer = StoredAnswer(200, "text/plain", body)
        done = state is AttemptState.DONE
        claims.finish(request, state, answer if done else None)
        self._tell(sending, _RESULTS[state])


_RESULTS: dict[AttemptState, Result] = {
    AttemptState.DONE: Success("answered"),
    AttemptState.MAYBE_RUN: Failure(
        Problem(ErrorKind.OUTCOME_UNKNOWN, "the connection broke")
    ),
    AttemptState.REFUSED: Failure(
        Problem(ErrorKind.RUNNER_REFUSED, "the runner refused")
    ),
}
