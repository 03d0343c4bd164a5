"""Runners that form groups, played without a network.

The fleet checks what must hold of any owner: no group serves without all its
members, and no runner joins a group while the head of its group may serve.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, TypeVar

from mulberrypaddle.fleet import (
    EngineTraits,
    FleetView,
    GroupMembership,
    MembershipState,
    ModelSpec,
    RunnerEntry,
    ServiceSpec,
)
from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.order_history import OrderHistory
from mulberrypaddle.replicas.orders import (
    CloseGroup,
    GroupOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from mulberrypaddle.replicas.placement import relative_slots_by_model

if TYPE_CHECKING:
    from mulberrypaddle.replicas.order_tracker import Directive

STEP_SECONDS = 0.1
STALL_SECONDS = 4.0
# Age of what a runner reports if it is asked.
REPORT_LAG_SECONDS = 0.3
# Age of a view in which live runners have written their entries.
SETTLED_SECONDS = 1.7
LAPSE_SECONDS = 3.6
REJOIN_SECONDS = 0.2
ORDER_TIMEOUT_SECONDS = 0.6
JOIN_LIKE_STATES = (MembershipState.OPEN, MembershipState.CLOSING)


def make_traits(
    *,
    large_size: int = 4,
    small_size: int = 2,
    large_share: float = 0.5,
    slots: int = 9,
) -> EngineTraits:
    """Returns traits with a model of large groups and one of small groups.

    Args:
        large_size: Number of runners in a group of the model `large`.
        small_size: Number of runners in a group of the model `small`.
        large_share: Share of the work that the model `large` has.
        slots: Requests that one group serves at once.
    """
    models = {
        "large": ModelSpec(
            name="large",
            size=large_size,
            demand_share=large_share,
            time_factor=1.0,
            load_seconds=16.0,
            warm_join_seconds=1.6,
        ),
        "small": ModelSpec(
            name="small",
            size=small_size,
            demand_share=1.0 - large_share,
            time_factor=0.6,
            load_seconds=12.0,
            warm_join_seconds=1.1,
        ),
    }
    return EngineTraits(
        slots=slots,
        models=models,
        step_seconds=0.0078,
        step_seconds_per_request=0.00018,
        prompt_tokens_per_second=45_900.0,
        steps_per_event=5,
        mean_prompt_tokens=979.0,
        mean_answer_tokens=154.0,
        loads_per_second=5.0,
        max_parallel_loads=7,
        open_seconds=0.3,
    )


class PlayedRunner:
    """One runner and its host."""

    def __init__(
        self, runner_id: str, *, domain: str, started_at_ms: int
    ) -> None:
        self.runner_id = runner_id
        self.domain = domain
        self.started_at_ms = started_at_ms
        self.alive = True
        self.draining = False
        self.died_at = 0.0
        self.cut_at: float | None = None
        self.staged: tuple[str, ...] = ()
        self.loading: tuple[str, float] | None = None
        self.last_model = ""
        self.model = ""
        self.group: tuple[str, int] | None = None
        self.members: tuple[str, ...] = ()
        self.state = MembershipState.JOINING
        self.state_at = 0.0
        self.ready_at = 0.0
        self.lost_member_at: float | None = None
        self.top_epoch = 0
        self.top_fence = 0

    @property
    def is_head(self) -> bool:
        """Returns whether it is the head of its group."""
        return bool(self.members) and self.members[0] == self.runner_id


class GroupFleet:
    """Runners, their reports, and one keeper.

    Attributes:
        demand: Slots that the requests of each model keep busy.
        lost_orders: Share of the orders without an answer, of which half are
            carried out late.
        late_orders: Share of the further orders without an answer, all of which
            are carried out late.
        delays: Seconds after which a runner carries out its next orders of a
            type, without an answer, by id of the runner and type.
        order_count: Number of orders sent.
        breaches: What must not happen and did.
    """

    def __init__(
        self,
        *,
        domains: int,
        domain_size: int,
        seed: int,
        traits: EngineTraits | None = None,
        demand: dict[str, float] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.traits = traits or make_traits()
        self.demand = demand or {"large": 23.0, "small": 55.0}
        self.service = ServiceSpec(
            name="cards",
            health_path="/health",
            cold_requests_per_second=0.0,
            engine=self.traits,
        )
        self.now = 0.0
        self.view = FleetView()
        self.history = OrderHistory()
        self.reconciler = self._make_reconciler()
        self.runners: dict[str, PlayedRunner] = {}
        self.breaches: list[str] = []
        self.lost_orders = 0.0
        self.late_orders = 0.0
        self.delays: dict[tuple[str, type[GroupOrder]], list[float]] = {}
        self.order_count = 0
        self._fence = 1
        self._late: list[tuple[float, Directive, int]] = []
        self._timeouts: list[tuple[float, GroupReconciler, Directive]] = []
        # Start time of the life that was ready, by runner and group.
        self._ready_lives: dict[tuple[str, tuple[str, int] | None], int] = {}
        # When each runner's membership changed, and to what.
        self._memberships: dict[
            str, list[tuple[float, GroupMembership | None]]
        ] = {}
        self.traffic = False
        self._epoch = 1000
        self._born = 1
        for domain in range(domains):
            for _ in range(domain_size):
                self.add(f"d{domain}")

    def add(self, domain: str) -> PlayedRunner:
        """Adds an empty runner."""
        self._born += 1
        runner = PlayedRunner(
            f"r{self._born:03}", domain=domain, started_at_ms=self._born
        )
        self.runners[runner.runner_id] = runner
        return runner

    def kill(self, runner_id: str) -> None:
        """Ends a runner without a word."""
        runner = self.runners[runner_id]
        runner.alive = False
        runner.died_at = self.now

    def spares(self) -> list[PlayedRunner]:
        """Returns the live runners in no group."""
        return [
            runner
            for runner in self.runners.values()
            if runner.alive and runner.group is None
        ]

    def open_groups(self) -> dict[str, int]:
        """Returns the groups that serve with all members, by model."""
        counts: dict[str, int] = {}
        for runner in self.runners.values():
            if self._serves(runner):
                counts[runner.model] = counts.get(runner.model, 0) + 1
        return counts

    def wanted(self) -> dict[str, float]:
        """Returns the demand that is played."""
        return self.demand

    def play(self, seconds: float) -> None:
        """Plays some time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._live()
            self._record_memberships()
            self._report()
            directives = self.reconciler.reconcile(
                self.view,
                self.service,
                wanted_slots=(
                    self.wanted()
                    if self.traffic
                    else relative_slots_by_model(self.traits)
                ),
                traffic_seen=self.traffic,
                first_start=True,
                next_epoch=self._next_epoch,
                now_seconds=self.now,
                is_view_settled=self.view.age_seconds(self.now)
                >= SETTLED_SECONDS,
            )
            for directive in directives:
                self._send(directive)

    def _next_epoch(self, data_centre: str) -> int:
        self._epoch += 1
        return self._epoch

    def _make_reconciler(self) -> GroupReconciler:
        return GroupReconciler(load_window_seconds=5.0, history=self.history)

    def change_owner(self, *, same_router: bool = False) -> None:
        """Hands the duty over to another router, or to the same one again.

        Args:
            same_router: Whether the next owner is the same router, which
                remembers the orders that it has sent.
        """
        self._fence += 1
        if not same_router:
            self.history = OrderHistory()
        self.reconciler = self._make_reconciler()

    def _send(self, directive: Directive) -> None:
        """Plays an order, and its answer or the end of the wait for one."""
        entry = directive.runner
        if isinstance(
            directive.order, JoinGroup
        ) and self.reconciler.is_contradicted(
            directive, self._reported_group(entry.runner_id)
        ):
            self.reconciler.record_contradiction(directive, self.now)
            return
        self.order_count += 1
        delays = self.delays.get((entry.runner_id, type(directive.order)))
        delay_seconds = delays.pop(0) if delays else self._draw_delay()
        if delay_seconds is None:
            if self._take(entry, directive.order, self._fence):
                self.reconciler.record_acceptance(directive)
            else:
                self.reconciler.record_refusal(directive, self.now)
            return
        self._timeouts.append(
            (self.now + ORDER_TIMEOUT_SECONDS, self.reconciler, directive)
        )
        if math.isfinite(delay_seconds):
            self._late.append(
                (self.now + delay_seconds, directive, self._fence)
            )

    def _reported_group(self, runner_id: str) -> GroupMembership | None:
        """Returns the membership that a runner reports if it is asked."""
        reported = None
        for at_seconds, group in self._memberships.get(runner_id, ()):
            if at_seconds <= self.now - REPORT_LAG_SECONDS:
                reported = group
        return reported

    def _draw_delay(self) -> float | None:
        """Returns the delay of an order without an answer.

        None if it is answered, infinity if it is lost.
        """
        chance = self.rng.random()
        if chance < self.lost_orders / 2:
            return math.inf
        if chance < self.lost_orders + self.late_orders:
            return self.rng.uniform(2.0, 12.0)
        return None

    def _take(self, entry: RunnerEntry, order: GroupOrder, fence: int) -> bool:
        """Plays an order at a runner; returns whether it was accepted."""
        runner = self.runners.get(entry.runner_id)
        if runner is None or not runner.alive or fence < runner.top_fence:
            return False
        runner.top_fence = fence
        if isinstance(order, StageModel):
            if order.model not in runner.staged and runner.loading is None:
                runner.loading = (order.model, self.now + self._load(order))
            return True
        if isinstance(order, JoinGroup):
            return self._join(runner, order)
        assert isinstance(order, OpenGroup | CloseGroup | LeaveGroup)
        if runner.group != order.key:
            return isinstance(order, LeaveGroup)
        if isinstance(order, LeaveGroup):
            runner.group = None
            runner.members = ()
            runner.model = ""
        elif isinstance(order, OpenGroup):
            if runner.state is MembershipState.READY and runner.is_head:
                self._open(runner)
        elif runner.state is MembershipState.OPEN:
            runner.state = MembershipState.READY
        return True

    def _load(self, order: StageModel) -> float:
        seconds = self.traits.models[order.model].load_seconds
        return seconds if self.traffic else seconds / 10

    def _join(self, runner: PlayedRunner, order: JoinGroup) -> bool:
        if order.epoch < runner.top_epoch:
            return False
        if runner.group == order.key:
            return runner.members == order.member_ids
        head = self._head_of(runner)
        other = runner.group is not None
        if other and head is not None and head.alive:
            stands_still = head.state is not MembershipState.BROKEN and (
                head.state in JOIN_LIKE_STATES
            )
            if stands_still:
                self.breaches.append(
                    f"{self.now:.1f}: {runner.runner_id} joins {order.group} "
                    f"while {head.runner_id} serves for {runner.group}"
                )
        spec = self.traits.models[order.model]
        seconds = REJOIN_SECONDS
        if runner.last_model != order.model:
            seconds = spec.warm_join_seconds
            if order.model not in runner.staged:
                seconds += spec.load_seconds * (1.0 if self.traffic else 0.1)
        runner.top_epoch = order.epoch
        runner.group = order.key
        runner.members = order.member_ids
        runner.model = order.model
        runner.state = MembershipState.JOINING
        runner.ready_at = self.now + seconds
        runner.lost_member_at = None
        return True

    def _open(self, runner: PlayedRunner) -> None:
        for member_id in runner.members:
            member = self.runners[member_id]
            ready = (
                member.group == runner.group
                and member.state is not MembershipState.JOINING
            )
            if self._has_lost_ready_life(member, runner.group):
                continue
            if not ready and member.alive:
                self.breaches.append(
                    f"{self.now:.1f}: {runner.group} opens without {member_id}"
                )
        runner.state = MembershipState.OPEN

    def _has_lost_ready_life(
        self, member: PlayedRunner, group: tuple[str, int] | None
    ) -> bool:
        """Returns whether a member was ready in a group before it restarted."""
        ready_life = self._ready_lives.get((member.runner_id, group))
        return ready_life not in (None, member.started_at_ms)

    def _head_of(self, runner: PlayedRunner) -> PlayedRunner | None:
        if runner.group is None:
            return None
        head = self.runners.get(runner.members[0])
        if head is None or head.group != runner.group:
            return None
        return head

    def _serves(self, runner: PlayedRunner) -> bool:
        if not runner.alive or not runner.is_head:
            return False
        if runner.state is not MembershipState.OPEN:
            return False
        return all(
            self.runners[member_id].alive
            and self.runners[member_id].group == runner.group
            for member_id in runner.members
        )

    def _live(self) -> None:
        due = [late for late in self._late if late[0] <= self.now]
        self._late = [late for late in self._late if late[0] > self.now]
        for _, directive, fence in due:
            self._take(directive.runner, directive.order, fence)
        expired = [wait for wait in self._timeouts if wait[0] <= self.now]
        self._timeouts = [wait for wait in self._timeouts if wait[0] > self.now]
        for _, reconciler, directive in expired:
            reconciler.record_unanswered(directive)
        for runner in self.runners.values():
            if not runner.alive:
                continue
            if runner.loading is not None and runner.loading[1] <= self.now:
                runner.staged = (runner.loading[0],)
                runner.loading = None
            if runner.group is None:
                continue
            joined = runner.state is MembershipState.JOINING
            if joined and runner.ready_at <= self.now:
                runner.state = MembershipState.READY
                self._ready_lives[(runner.runner_id, runner.group)] = (
                    runner.started_at_ms
                )
                runner.staged = (runner.model,)
                runner.last_model = runner.model
            self._break(runner)

    def _break(self, runner: PlayedRunner) -> None:
        if not runner.is_head or runner.state is not MembershipState.OPEN:
            return
        if self._serves(runner):
            runner.lost_member_at = None
            return
        if runner.lost_member_at is None:
            runner.lost_member_at = self.now
        elif self.now - runner.lost_member_at >= STALL_SECONDS:
            runner.state = MembershipState.BROKEN

    def _report(self) -> None:
        entries = []
        for runner in self.runners.values():
            dead_for = self.now - runner.died_at
            if not runner.alive and dead_for >= LAPSE_SECONDS:
                continue
            cut_at = runner.cut_at
            if cut_at is not None and self.now - cut_at >= LAPSE_SECONDS:
                continue
            entries.append(self._entry(runner))
        self.view.replace_all(
            entries, revision=self.view.revision + 1, now_seconds=self.now
        )

    def _record_memberships(self) -> None:
        for runner_id, runner in self.runners.items():
            memberships = self._memberships.setdefault(runner_id, [])
            memberships.append((self.now, _membership(runner)))
            # As many steps as a report may be old, and some more.
            del memberships[:-8]

    def _entry(self, runner: PlayedRunner) -> RunnerEntry:
        joined = runner.group and runner.state is not MembershipState.JOINING
        return RunnerEntry(
            runner.runner_id,
            started_at_ms=runner.started_at_ms,
            service="cards",
            address="127.0.0.1:1",
            data_centre="south",
            slots=self.traits.slots,
            draining=runner.draining,
            models=(runner.model,) if joined else (),
            domain=runner.domain,
            staged=runner.staged,
            group=_membership(runner),
        )


def _membership(runner: PlayedRunner) -> GroupMembership | None:
    """Returns the membership of a runner."""
    if runner.group is None:
        return None
    return GroupMembership(
        runner.group[0],
        epoch=runner.group[1],
        rank=runner.members.index(runner.runner_id),
        state=runner.state,
    )


_FleetT = TypeVar("_FleetT", bound=GroupFleet)


def make_pairs(fleet_type: type[_FleetT], runners: int) -> _FleetT:
    """Returns one domain of runners that serve the model `small` in pairs.

    One pair serves, and the other runners are spares with its weights.
    """
    fleet = fleet_type(
        domains=1,
        domain_size=2,
        seed=1,
        traits=make_traits(large_share=0.0),
        demand={"large": 0.0, "small": 20.0},
    )
    fleet.play(8.0)
    fleet.traffic = True
    for _ in range(runners - 2):
        fleet.add("d0").staged = ("small",)
    return fleet
