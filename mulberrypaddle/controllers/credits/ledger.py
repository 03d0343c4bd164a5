"""The owner's side of the ledger: pools, reports and grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import ReadRunnerReport
from mulberrypaddle.blackboard.latest import (
    latest_configuration,
    latest_runner_table,
)
from mulberrypaddle.controllers import duties
from mulberrypaddle.controllers.credits.amount import NOTHING, Amount
from mulberrypaddle.controllers.credits.pool import DOUBTFUL, Pool
from mulberrypaddle.controllers.credits.quorum import Quorum
from mulberrypaddle.controllers.credits.terms import (
    FLIGHT_SECONDS,
    Protections,
)
from mulberrypaddle.controllers.credits.watch import RunnerWatch
from mulberrypaddle.core.invariants import Invariant, check
from mulberrypaddle.core.rendezvous import Duty
from mulberrypaddle.peers.proto import credits_pb2

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.credits.owners import Owners
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import RunnerReport

RUNNER_DUTY = "runner"
ORGANISATION_DUTY = "organisation"
TICK_SECONDS = 0.1
DEFAULT_DEADLINE_SECONDS = 60.0


def runner_duty(runner_id: str) -> Duty:
    """Returns the duty to keep the account of one runner."""
    return Duty(RUNNER_DUTY, runner_id)


def organisation_duty(organisation: str, service: str) -> Duty:
    """Returns the duty to keep one contract's account for one service."""
    return Duty(ORGANISATION_DUTY, f"{organisation}/{service}")


class Ledger:
    """Pools that this router owns.

    Attributes:
        pools: By pool name.
        quorum: Who has asked this router as an owner.
        watches: By runner id, for the runners that this router owns.
    """

    __slots__ = (
        "_context",
        "_epochs",
        "_next_tick_seconds",
        "_owners",
        "_protections",
        "_lowered",
        "_sequence",
        "pools",
        "quorum",
        "watches",
    )

    def __init__(
        self, context: Context, owners: Owners, protections: Protections
    ) -> None:
        self._context = context
        self._owners = owners
        self._protections = protections
        self.pools: dict[str, Pool] = {}
        self.watches: dict[str, RunnerWatch] = {}
        self.quorum = Quorum(context, protections)
        self._epochs: dict[str, int] = {}
        self._lowered: list[tuple[str, credits_pb2.CreditGrants]] = []
        self._sequence = 0
        self._next_tick_seconds = float("-inf")

    def tick(self, now_seconds: float) -> None:
        """Follows ownership, reports and contracts."""
        if now_seconds < self._next_tick_seconds:
            return
        self._next_tick_seconds = now_seconds + TICK_SECONDS
        self.quorum.follow(now_seconds)
        self._follow_runners(now_seconds)
        for name in list(self.pools):
            if not self._keep(name):
                self._forget(name)
                continue
            self._refresh(self.pools[name], now_seconds)

    def lowered(self) -> list[tuple[str, credits_pb2.CreditGrants]]:
        """Returns the levels that holders must lower at once."""
        lowered = self._lowered
        self._lowered = []
        return lowered

    def take_ask(
        self, sender: str, ask: credits_pb2.CreditAsk, now_seconds: float
    ) -> credits_pb2.CreditGrants:
        """Takes a holder's demands and returns the grants for them."""
        heard = self._context.incarnation
        sent_after_seconds = float("-inf")
        if ask.owner_incarnation == heard:
            sent_after_seconds = ask.echo_milliseconds / 1000
        if sender == self._context.member_id:
            sent_after_seconds = now_seconds
        self.quorum.heard(
            sender,
            epoch=ask.epoch,
            complete=ask.complete and ask.owner_incarnation in (0, heard),
            sent_after_seconds=sent_after_seconds,
            silent_owners=frozenset(ask.silent_owners),
        )
        answer = credits_pb2.CreditGrants(
            owner_incarnation=heard,
            ask_sequence=ask.sequence,
            sent_milliseconds=int(now_seconds * 1000),
            epoch=duties.membership(self._context).epoch,
        )
        for demand in ask.demands:
            seen_grant = demand.seen_grant
            if ask.owner_incarnation != heard:
                seen_grant = 0
            self._take_demand(
                sender, ask, demand, seen_grant, answer, now_seconds
            )
        return answer

    def _take_demand(
        self,
        sender: str,
        ask: credits_pb2.CreditAsk,
        demand: credits_pb2.CreditDemand,
        seen_grant: int,
        answer: credits_pb2.CreditGrants,
        now_seconds: float,
    ) -> None:
        kind, _, name = demand.pool.partition("/")
        pool = self._pool(Duty(kind, name), now_seconds)
        if pool is None:
            return
        is_news = pool.take_demand(
            sender,
            ask.holder_incarnation,
            ask.sequence,
            in_use=Amount(demand.in_use_requests, demand.in_use_tokens),
            wanted=Amount(demand.wanted_requests, demand.wanted_tokens),
            spare=Amount(demand.spare_requests, demand.spare_tokens),
            seen_grant=seen_grant,
            now_seconds=now_seconds,
        )
        if not is_news:
            return
        watch = self._watch_of(pool)
        if watch is not None:
            self._learn(pool, watch, sender, demand, now_seconds)
        self._refresh(pool, now_seconds)
        if not pool.is_open or not self._may_act(pool, now_seconds):
            return
        if sender not in pool.holders:
            # It neither holds nor wants anything.
            return
        answer.grants.append(self._grant(pool, sender, now_seconds))
        for member_id, level in pool.recalls(sender, now_seconds):
            self._lower(pool, member_id, level)

    def _grant(
        self, pool: Pool, member_id: str, now_seconds: float
    ) -> credits_pb2.CreditGrant:
        self._sequence += 1
        level = pool.grant(member_id, self._sequence, now_seconds)
        grant = credits_pb2.CreditGrant(
            pool=str(pool.duty),
            requests=level.requests,
            tokens=level.tokens,
            sequence=self._sequence,
            exhausted=pool.is_exhausted(),
        )
        watch = self._watch_of(pool)
        if watch is not None and watch.report is not None:
            grant.generation = watch.confirmed_generation()
            grant.runner_incarnation = watch.ramp.incarnation
            grant.borne_requests = watch.ramp.borne_requests
            # The report lags: what was granted since is already in use.
            grant.load_requests = max(
                watch.report.running_requests, pool.in_use().requests
            )
        return grant

    def _learn(
        self,
        pool: Pool,
        watch: RunnerWatch,
        sender: str,
        demand: credits_pb2.CreditDemand,
        now_seconds: float,
    ) -> None:
        """Takes what a demand tells of the runner."""
        record = pool.holders[sender]
        if record.completed >= 0:
            done = demand.completed - record.completed
            watch.ramp.completed(max(done, 0), now_seconds)
        record.completed = demand.completed
        watch.prove(demand.runner_incarnation, demand.borne_requests)
        if demand.doubtful_requests and self._protections.counts_silent_holders:
            pool.add_doubtful(
                Amount(demand.doubtful_requests, demand.doubtful_tokens),
                now_seconds,
            )
        if demand.suspect:
            watch.doubt(now_seconds)

    def _pool(self, duty: Duty, now_seconds: float) -> Pool | None:
        """Returns the pool of a duty that this router owns, else None."""
        name = str(duty)
        if not self._is_mine(duty):
            return None
        known = self.pools.get(name)
        if known is not None and self._keep(name):
            return known
        if duty.kind == RUNNER_DUTY and duty.name not in self.watches:
            return None
        pool = Pool(duty, now_seconds, self._protections)
        self.pools[name] = pool
        self._epochs[name] = duties.membership(self._context).epoch
        return pool

    def _is_mine(self, duty: Duty) -> bool:
        return self._owners.owner(duty) == self._context.member_id

    def _may_act(self, pool: Pool, now_seconds: float) -> bool:
        if self._owners.may_act(pool.duty, now_seconds):
            return True
        if not pool.is_open:
            return False
        return self.quorum.may_go_on(pool.duty, now_seconds)

    def _keep(self, name: str) -> bool:
        """Returns whether this router has owned a pool without a break."""
        pool = self.pools[name]
        if not self._protections.shares:
            return True
        if not self._is_mine(pool.duty):
            return False
        epoch = duties.membership(self._context).epoch
        if epoch > self._epochs[name] + 1:
            # In a membership that was missed another may have owned it.
            return False
        self._epochs[name] = epoch
        return True

    def _forget(self, name: str) -> None:
        pool = self.pools.pop(name)
        self._epochs.pop(name, None)
        self.watches.pop(pool.duty.name, None)

    def _follow_runners(self, now_seconds: float) -> None:
        """Watches the runners that this router owns, and no others."""
        table = latest_runner_table(self._context.board).runners
        for runner_id, runner in table.items():
            watch = self.watches.get(runner_id)
            if watch is not None:
                watch.follow(runner)
                continue
            duty = runner_duty(runner_id)
            if not self._is_mine(duty):
                continue
            self.watches[runner_id] = RunnerWatch(runner, self._protections)
            self._pool(duty, now_seconds)
        for runner_id in list(self.watches):
            if runner_id not in table:
                self._forget(str(runner_duty(runner_id)))

    def _watch_of(self, pool: Pool) -> RunnerWatch | None:
        if pool.duty.kind != RUNNER_DUTY:
            return None
        return self.watches.get(pool.duty.name)

    def _refresh(self, pool: Pool, now_seconds: float) -> None:
        """Brings capacity and openness of one pool up to date."""
        if not self._may_act(pool, now_seconds):
            if not pool.is_open:
                pool.created_at_seconds = now_seconds
            return
        self._become_quiet(pool, now_seconds)
        watch = self._watch_of(pool)
        if watch is None:
            self._refresh_organisation(pool, now_seconds)
            return
        if not watch.polling and now_seconds >= watch.next_poll_at_seconds:
            self._poll(watch, now_seconds)
        capacity = watch.capacity(now_seconds)
        fell = not capacity.covers(pool.capacity)
        pool.set_capacity(capacity, one_sender=watch.ramp.needs_one_sender)
        pool.drop_empty(now_seconds)
        if fell and pool.is_open:
            self._revoke(pool)

    def _refresh_organisation(self, pool: Pool, now_seconds: float) -> None:
        organisation, _, service = pool.duty.name.partition("/")
        limit = contract_limit(self._context, organisation, service)
        pool.set_capacity(limit, one_sender=False)
        if pool.quiet_since_seconds is not None and not pool.is_open:
            pool.open()
        pool.drop_silent(
            now_seconds,
            after_seconds=longest_deadline_seconds(self._context, service),
        )
        pool.drop_empty(now_seconds)

    def _become_quiet(self, pool: Pool, now_seconds: float) -> None:
        """Notes when no earlier owner's grant can be live any more."""
        if pool.quiet_since_seconds is not None:
            return
        waited_seconds = now_seconds - pool.created_at_seconds
        if not self._is_quiet(waited_seconds, now_seconds):
            return
        pool.quiet_since_seconds = now_seconds
        watch = self._watch_of(pool)
        if watch is not None:
            watch.next_poll_at_seconds = now_seconds

    def _is_quiet(self, waited_seconds: float, now_seconds: float) -> bool:
        protections = self._protections
        if not protections.shares or not protections.waits_for_earlier_grants:
            return True
        if self.quorum.all_reported():
            return True
        return self.quorum.earlier_owners_ended(waited_seconds, now_seconds)

    def _poll(self, watch: RunnerWatch, now_seconds: float) -> None:
        watch.begin_poll(now_seconds)
        runner_id = watch.runner.runner_id

        def answered(result: Result[RunnerReport, Problem]) -> None:
            watch.polling = False
            if self.watches.get(runner_id) is not watch:
                return
            if not isinstance(result, Success):
                # A runner that is down may come back cold.
                watch.failed = True
                return
            self._take_report(
                watch, result.unwrap(), self._context.now_seconds()
            )

        self._context.board.intents.append(
            ReadRunnerReport(watch.runner, reply=answered)
        )

    def _take_report(
        self, watch: RunnerWatch, report: RunnerReport, now_seconds: float
    ) -> None:
        pool = self.pools.get(str(runner_duty(watch.runner.runner_id)))
        restarted = watch.take_report(report, now_seconds)
        if pool is None or watch.report is not report:
            return
        reported = Amount(report.running_requests, report.held_tokens)
        as_of_seconds = watch.as_of_seconds
        if restarted:
            self._context.decide(
                "runner_restarted",
                subject=watch.runner.runner_id,
                outcome="cold",
                reason="new incarnation or lower uptime",
                running_requests=str(report.running_requests),
            )
        elif pool.is_open:
            self._check_report(pool, watch, reported)
        if pool.is_open:
            pool.settle_silent(reported, as_of_seconds)
        self._settle_by_deadline(pool, watch, reported, now_seconds)
        if pool.is_open or pool.quiet_since_seconds is None:
            return
        if as_of_seconds >= pool.quiet_since_seconds:
            pool.take_unknown(reported, now_seconds)
            pool.open()

    def _check_report(
        self, pool: Pool, watch: RunnerWatch, reported: Amount
    ) -> None:
        """Checks that the runner never has more in hand than it bears."""
        allowed = pool.bound().at_least(pool.held())
        if watch.ramp.warm:
            return
        check(
            reported.requests <= allowed.requests,
            Invariant.COLD_LIMIT,
            f"{pool.duty}: in hand {reported}, allowed {allowed}",
        )

    def _settle_by_deadline(
        self,
        pool: Pool,
        watch: RunnerWatch,
        reported: Amount,
        now_seconds: float,
    ) -> None:
        """Forgets doubtful work once no evidence of it is left.

        Its deadline must be over, and known holders must account for all
        that the runner says it has.
        """
        record = pool.holders.get(DOUBTFUL)
        if record is None:
            return
        longest_seconds = longest_deadline_seconds(
            self._context, watch.runner.service
        )
        age_seconds = now_seconds - record.began_at_seconds
        if age_seconds < longest_seconds + FLIGHT_SECONDS:
            return
        known = pool.in_use().minus(record.in_use)
        if known.covers(reported):
            del pool.holders[DOUBTFUL]

    def _revoke(self, pool: Pool) -> None:
        """Tells every holder of a pool to use no more of it for now."""
        for member_id, record in list(pool.holders.items()):
            if record.grants and record.held() != NOTHING:
                self._lower(pool, member_id, NOTHING)

    def _lower(self, pool: Pool, member_id: str, level: Amount) -> None:
        """Tells one holder to lower its level.

        The old level stays counted until the holder has acknowledged.
        """
        if member_id not in duties.membership(self._context).members:
            return
        self._sequence += 1
        pool.note_lowered(member_id, self._sequence, level)
        message = credits_pb2.CreditGrants(
            owner_incarnation=self._context.incarnation
        )
        message.grants.append(
            credits_pb2.CreditGrant(
                pool=str(pool.duty),
                requests=level.requests,
                tokens=level.tokens,
                sequence=self._sequence,
            )
        )
        self._lowered.append((member_id, message))


def contract_limit(context: Context, organisation: str, service: str) -> Amount:
    """Returns what a contract allows in hand over all routers."""
    contract = latest_configuration(context.board).contracts.get(organisation)
    terms = None if contract is None else contract.terms.get(service)
    if terms is None:
        return NOTHING
    return Amount(terms.in_flight_requests, terms.in_flight_tokens)


def longest_deadline_seconds(context: Context, service: str) -> float:
    """Returns the longest time that a request to a service may take."""
    longest_seconds = 0.0
    for contract in latest_configuration(context.board).contracts.values():
        terms = contract.terms.get(service)
        if terms is not None:
            longest_seconds = max(longest_seconds, terms.deadline_seconds)
    return longest_seconds or DEFAULT_DEADLINE_SECONDS
