"""Which runner an attempt goes to.

The load of a runner is what its owner knew to be in hand at the last grant,
corrected by what this router has sent since. Requests with the same prefix
prefer the same few runners, whose caches then hold it, but only while these
are not much busier than the rest: cache events come late and with gaps, so
affinity is a hint and load decides. Source: Mirrokni, Thorup and
Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import keys
from mulberrypaddle.blackboard.latest import (
    latest_configuration,
    latest_runner_table,
)
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.credits import (
    Amount,
    Wallet,
    held_runners,
    runner_duty,
)
from mulberrypaddle.core.fleet import DataCentreState, Runner, ServiceKind

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.request import Request

PREFIX_BYTES = 512
PREFERRED_RUNNERS = 2
# A preferred runner may be so much busier than the least busy one.
LOAD_SLACK = 0.25
# Another data centre costs as much as this share of load.
DISTANCE_LOAD = 0.2


class Choice:
    """A runner and why it was chosen.

    Attributes:
        runner: The runner.
        reason: Why, in one word.
        considered: How many had credit.
    """

    __slots__ = ("considered", "reason", "runner")

    def __init__(self, runner: Runner, reason: str, considered: int) -> None:
        self.runner = runner
        self.reason = reason
        self.considered = considered


class Router:
    """Knows the runners that this router may send to."""

    __slots__ = ("_by_service", "_context", "_seen", "_wallet")

    def __init__(self, context: Context, wallet: Wallet) -> None:
        self._context = context
        self._wallet = wallet
        self._by_service: dict[str, list[Runner]] = {}
        self._seen = (-1, -1)

    def eligible(
        self, service: str, excluded_runner_ids: frozenset[str] = frozenset()
    ) -> list[Runner]:
        """Returns the runners that may get new work of a service now."""
        configuration = latest_configuration(self._context.board)
        ejected = self._context.board.latest(keys.EJECTED, {})
        found = []
        for runner in self._held(service):
            if runner.leaving or runner.runner_id in excluded_runner_ids:
                continue
            if runner.runner_id in ejected:
                continue
            state = configuration.data_centres.get(runner.data_centre)
            if state is DataCentreState.OUT:
                continue
            found.append(runner)
        return found

    def choose(
        self,
        request: Request,
        excluded_runner_ids: frozenset[str],
        now_seconds: float,
    ) -> Choice | None:
        """Returns the best runner with credit for a request, or None."""
        needed = Amount(1, request.tokens)
        loads: dict[str, float] = {}
        best: Runner | None = None
        candidates = []
        for runner in self.eligible(request.service, excluded_runner_ids):
            duty = runner_duty(runner.runner_id)
            available = self._wallet.available(duty, now_seconds)
            if not available.covers(needed):
                continue
            if not self._is_whole(runner):
                continue
            load = self._load(runner)
            candidates.append(runner)
            loads[runner.runner_id] = load
            if best is None or load < loads[best.runner_id]:
                best = runner
        if best is None:
            return None
        for runner in prefer(request, candidates):
            if loads[runner.runner_id] <= loads[best.runner_id] + LOAD_SLACK:
                return Choice(runner, "prefix_affinity", len(candidates))
        return Choice(best, "least_load", len(candidates))

    def preferred(
        self, request: Request, excluded_runner_ids: frozenset[str], count: int
    ) -> list[Runner]:
        """Returns the runners whose credit a queued request would use."""
        eligible = self.eligible(request.service, excluded_runner_ids)
        found = prefer(request, eligible)
        rest = [runner for runner in eligible if runner not in found]
        rest.sort(key=self._load)
        return (found + rest)[:count]

    def _load(self, runner: Runner) -> float:
        """Returns the share in hand, raised for a distant runner."""
        account = self._wallet.account(runner_duty(runner.runner_id))
        bears = max(account.borne_requests, 1)
        in_hand = max(account.load_requests, account.in_use.requests)
        if account.borne_requests == 0:
            bears = max(runner.cold_slots, 1)
        load = in_hand / bears
        if runner.data_centre != self._context.data_centre:
            load += DISTANCE_LOAD
        return load

    def _is_whole(self, runner: Runner) -> bool:
        """Returns whether the credit is for the group's present generation."""
        if runner.kind is not ServiceKind.ENGINE or runner.generation == 0:
            return True
        account = self._wallet.account(runner_duty(runner.runner_id))
        return account.generation == runner.generation

    def _held(self, service: str) -> list[Runner]:
        """Returns the runners of a service that this router holds."""
        present = duties.membership(self._context)
        entry = self._context.board.entry(keys.RUNNERS)
        version = -1 if entry is None else entry.version
        if self._seen != (present.epoch, version):
            self._seen = (present.epoch, version)
            self._by_service = {}
        held = self._by_service.get(service)
        if held is not None:
            return held
        table = latest_runner_table(self._context.board)
        listed = []
        for runner in table.runners.values():
            if runner.service == service:
                listed.append(runner)
        held = held_runners(self._context.member_id, present, listed)
        self._by_service[service] = held
        return held


def prefer(request: Request, runners: list[Runner]) -> list[Runner]:
    """Returns the few runners that a prefix prefers; none for plain ones."""
    engines = []
    for runner in runners:
        if runner.kind is ServiceKind.ENGINE:
            engines.append(runner)
    if not engines:
        return []
    prefix = hashlib.blake2b(
        request.organisation.encode() + b"\0" + request.body[:PREFIX_BYTES],
        digest_size=8,
    ).digest()

    def weight(runner: Runner) -> bytes:
        return hashlib.blake2b(
            prefix + runner.runner_id.encode(), digest_size=8
        ).digest()

    engines.sort(key=weight, reverse=True)
    return engines[:PREFERRED_RUNNERS]
