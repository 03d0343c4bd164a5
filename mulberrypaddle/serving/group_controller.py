"""Forms and repairs groups of runners by sending orders to the runners.

A group is a set of runners on several VMs that together run one model engine;
its head (rank 0) receives the requests. The router that holds the duty of a
data centre, by a lease in the store, forms and repairs the groups there. For
each service with model engines a `GroupReconciler` decides which orders to
send.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.core.errors import ErrorKind, Ran
from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.fleet.view import REMOVAL_LAG_SECONDS
from mulberrypaddle.replicas.group_reconciler import GroupReconciler
from mulberrypaddle.replicas.group_snapshot import snapshot_groups
from mulberrypaddle.replicas.order_history import OrderHistory
from mulberrypaddle.replicas.orders import JoinGroup
from mulberrypaddle.replicas.placement import relative_slots_by_model
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.metrics import OPEN_GROUPS, ORDERS
from mulberrypaddle.serving.runner_control import OrderOutcome

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry, ServiceSpec
    from mulberrypaddle.replicas.group_snapshot import RunnerSource
    from mulberrypaddle.replicas.loss_detector import LossDetector
    from mulberrypaddle.replicas.order_tracker import Directive
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.duty_manager import DutyManager
    from mulberrypaddle.serving.runner_control import RunnerControl

# Pause between two runs of the reconcilers.
STEP_INTERVAL_SECONDS = 0.1

# Pause between two log entries on the state of the groups.
GROUP_LOG_INTERVAL_SECONDS = 1.0

# Age up to which a suspicion against a group's head, mostly because of stalled
# streams, makes the holder of the duty probe the members of the group.
MAX_STALL_AGE_SECONDS = 1.0

# Timeout of a probe: a runner answers within some milliseconds, a slow one
# within some tens.
REPORT_TIMEOUT_SECONDS = 0.6

# Other runners that are probed along with suspects: their answers show that
# this router's own link works.
CONTROL_PROBES = 2


class GroupController:
    """Runs one `GroupReconciler` for each service with model engines.

    The reconcilers send orders only to runners in data centres whose duty
    this router holds. They are discarded and created again whenever the set
    of leases that this router holds changes.
    """

    def __init__(
        self,
        board: Blackboard,
        *,
        control: RunnerControl,
        duty_manager: DutyManager,
    ) -> None:
        """Creates a controller that does nothing until `run`.

        Args:
            board: Shared state of this router.
            control: Sends orders to runners and fetches their reports.
            duty_manager: Holds the leases of this router's duties.
        """
        self._board = board
        self._runner_control = control
        self._duty_manager = duty_manager
        # Reconcilers, and what they have ordered, by name of the service.
        self._reconcilers: dict[str, GroupReconciler] = {}
        self._histories: dict[str, OrderHistory] = {}
        # Fencing tokens of the leases for which the reconcilers were created,
        # by data centre.
        self._fences: dict[str, int] = {}
        self._logged_at_seconds = 0.0

    async def run(self) -> None:
        """Runs all reconcilers at intervals until the task is cancelled.

        Does nothing while this router holds no duty or has not yet read the
        configuration and the runners.
        """
        while True:
            await asyncio.sleep(STEP_INTERVAL_SECONDS)
            if not self._duty_manager.holds_any_lease():
                continue
            config = self._board.config
            if config is None or self._board.view.revision == 0:
                continue
            self._board.supervisor.run_step("group log", self._log_groups)
            fences = self._duty_manager.fences()
            if self._fences != fences:
                self._fences = fences
                self._reconcilers.clear()
            for service in config.services.values():
                if service.engine is not None and service.engine.models:
                    self._board.supervisor.run_step(
                        f"groups of {service.name}",
                        functools.partial(self._reconcile_service, service),
                    )

    def _log_groups(self) -> None:
        """Logs the groups and sets their gauges, at most once a second."""
        board = self._board
        now = board.now()
        if now - self._logged_at_seconds < GROUP_LOG_INTERVAL_SECONDS:
            return
        self._logged_at_seconds = now
        assert board.config is not None
        wanted_slots = board.demand.total_slots(now)
        for service in board.config.services.values():
            if service.engine is None or service.name not in self._reconcilers:
                continue
            entries = board.view.runners_of(service.name)
            groups = snapshot_groups(entries, service.engine).values()
            reconciler = self._reconcilers[service.name]
            for spec in service.engine.models.values():
                open_groups = sum(
                    group.spec is spec
                    and group.complete
                    and group.head_state is MembershipState.OPEN
                    and group.accepts_new_work(board.view)
                    for group in groups
                )
                OPEN_GROUPS.labels(spec.name).set(open_groups)
                log_state_change(
                    "groups",
                    service=service.name,
                    model=spec.name,
                    open=open_groups,
                    wanted_slots=round(wanted_slots.get(spec.name, 0.0), 1),
                    forming=reconciler.forming_count,
                    single=sum(
                        entry.group is None
                        and board.view.accepts_new_work(entry)
                        for entry in entries
                    ),
                    staged=sum(spec.name in entry.staged for entry in entries),
                    runners=len(entries),
                    lost=len(reconciler.loss_detector.lost),
                    fleet=board.view.revision,
                )

    def opening_in_ms(self) -> dict[str, int]:
        """Returns, by model, the milliseconds until its next group can serve.

        Models for which no group is being formed are left out.
        """
        now = self._board.now()
        opening: dict[str, int] = {}
        config = self._board.config
        if config is None:
            return opening
        for name, reconciler in self._reconcilers.items():
            service = config.services.get(name)
            if service is None or service.engine is None:
                continue
            for model in service.engine.models:
                left_seconds = reconciler.seconds_until_open(model, now)
                if left_seconds is not None:
                    opening[model] = int(left_seconds * 1000)
        return opening

    def _reconcile_service(self, service: ServiceSpec) -> None:
        """Runs the reconciler of one service and sends the resulting orders."""
        board = self._board
        now = board.now()
        reconciler = self._reconcilers.get(service.name)
        if reconciler is None:
            bounds = board.settings.bounds
            reconciler = GroupReconciler(
                load_window_seconds=bounds.load_window_seconds,
                history=self._histories.setdefault(
                    service.name, OrderHistory()
                ),
            )
            self._reconcilers[service.name] = reconciler
        self._probe_suspects(service, reconciler, now)
        engine = service.engine
        assert engine is not None
        wanted_slots = board.demand.total_slots(now)
        if not board.demand.any_demand_seen:
            wanted_slots = relative_slots_by_model(engine)
        view: RunnerSource = board.view
        retirement = board.retirements.get(service.name)
        if retirement is not None:
            view = retirement.view_of(view, service.name, now_seconds=now)
            wanted_slots = retirement.slots_to_form(wanted_slots)
        directives = reconciler.reconcile(
            view,
            service,
            wanted_slots=wanted_slots,
            traffic_seen=board.demand.any_demand_seen,
            first_start=board.settings.first_start,
            next_epoch=self._duty_manager.next_epoch,
            now_seconds=now,
            data_centres=frozenset(self._fences),
            is_view_settled=board.view.age_seconds(now)
            >= board.settings.bounds.heartbeat_seconds + REMOVAL_LAG_SECONDS,
        )
        for directive in directives:
            board.supervisor.start(
                "order to a runner", self._send_order(reconciler, directive)
            )

    def _probe_suspects(
        self, service: ServiceSpec, reconciler: GroupReconciler, now: float
    ) -> None:
        """Starts probes of runners that may have failed.

        These are unreachable and lost runners and all members of suspect
        groups. A group is suspect if lately streams at its head made no
        progress, or another router could not reach its head. Some other
        runners are probed too, to check this router's own link.
        """
        board = self._board
        suspects = board.runner_health.recently_suspected(
            now, within_seconds=MAX_STALL_AGE_SECONDS
        )
        losses = reconciler.loss_detector
        assert service.engine is not None
        entries = [
            entry
            for entry in board.view.runners_of(service.name)
            if entry.data_centre in self._fences
        ]
        to_probe: dict[str, RunnerEntry] = {}
        for entry in entries:
            is_silent = board.runner_health.is_unreachable(entry.runner_id, now)
            if is_silent or entry.incarnation in losses.lost:
                to_probe[entry.runner_id] = entry
        if suspects:
            for group in snapshot_groups(entries, service.engine).values():
                head = group.head
                if head is None or head.runner_id not in suspects:
                    continue
                for member in group.members.values():
                    to_probe[member.runner_id] = member
        if to_probe:
            others = [
                entry
                for entry in entries
                if entry.runner_id not in to_probe and not entry.is_leaving
            ]
            count = min(CONTROL_PROBES, len(others))
            for entry in board.rng.sample(others, count):
                to_probe[entry.runner_id] = entry
        for entry in to_probe.values():
            if board.pauses.is_paused(entry.incarnation, now):
                continue
            if losses.start_probe_if_due(entry.incarnation, now):
                board.supervisor.start(
                    "probe of a runner", self._probe(losses, entry)
                )

    async def _probe(self, losses: LossDetector, entry: RunnerEntry) -> None:
        """Fetches a runner's status report; records an answer or a timeout."""
        sent_at_seconds = self._board.now()
        result = await self._runner_control.fetch_report(
            entry, limit_seconds=REPORT_TIMEOUT_SECONDS
        )
        if isinstance(result, Success):
            if losses.record_answer(entry.incarnation, self._board.now()):
                log_state_change("runner_back", runner=entry.runner_id)
            return
        waited_seconds = self._board.now() - sent_at_seconds
        if losses.record_timeout(
            entry.incarnation,
            waited_seconds=waited_seconds,
            limit_seconds=REPORT_TIMEOUT_SECONDS,
            now_seconds=self._board.now(),
        ):
            log_state_change(
                "runner_lost",
                runner=entry.runner_id,
                waited_seconds=round(waited_seconds, 2),
                reason=result.failure().detail,
            )

    async def _send_order(
        self, reconciler: GroupReconciler, directive: Directive
    ) -> None:
        """Sends an order to a runner, unless the lease has ended.

        The reconciler is notified of the outcome. Without an answer the order
        may be in effect, or the runner may carry it out later.
        """
        runner = directive.runner
        fence = self._fences.get(runner.data_centre, 0)

        def still_holds_lease() -> bool:
            """Returns whether the lease with that fencing token is valid."""
            held = self._duty_manager.fences().get(runner.data_centre)
            return fence > 0 and held == fence

        may_send = self._board.pauses.try_acquire_order(
            runner.incarnation, self._board.now()
        )
        if not may_send or not still_holds_lease():
            reconciler.record_refusal(directive, self._board.now())
            return
        if isinstance(directive.order, JoinGroup) and not (
            await self._may_join(reconciler, directive)
        ):
            return
        name = type(directive.order).__name__
        result = await self._runner_control.send_order(
            runner, directive.order, fence=fence, may_send=still_holds_lease
        )
        outcome = (
            result.unwrap().value
            if isinstance(result, Success)
            else result.failure().detail
        )
        log_state_change(
            "order",
            order=name,
            runner=runner.runner_id,
            group=getattr(directive.order, "group", ""),
            model=getattr(directive.order, "model", ""),
            reason=directive.reason,
            fleet=self._board.view.revision,
            entry=runner.write_label,
            known=str(runner.group or ""),
            outcome=outcome,
        )
        if not isinstance(result, Success):
            if result.failure().ran is Ran.NOT_RUN:
                ORDERS.labels(name, "unsent").inc()
                reconciler.record_refusal(directive, self._board.now())
                return
            ORDERS.labels(name, "unanswered").inc()
            reconciler.record_unanswered(directive)
            return
        ORDERS.labels(name, outcome).inc()
        if result.unwrap() in (
            OrderOutcome.STARTED,
            OrderOutcome.ALREADY_IN_EFFECT,
        ):
            reconciler.record_acceptance(directive)
            return
        reconciler.record_refusal(directive, self._board.now())

    async def _may_join(
        self, reconciler: GroupReconciler, directive: Directive
    ) -> bool:
        """Returns whether a runner may be ordered to join a group.

        Its entry may be an old one that the store has written late, so the
        runner itself is asked. One that can't be asked can't be ordered either.
        """
        runner = directive.runner
        result = await self._runner_control.fetch_membership(
            runner, limit_seconds=REPORT_TIMEOUT_SECONDS
        )
        now = self._board.now()
        if not isinstance(result, Success):
            problem = result.failure()
            if problem.kind is ErrorKind.RUNNER_REFUSED:
                return True
            log_state_change(
                "join_not_sent",
                runner=runner.runner_id,
                entry=runner.write_label,
                reason=problem.detail,
            )
            reconciler.record_refusal(directive, now)
            return False
        reported = result.unwrap()
        if not reconciler.is_contradicted(directive, reported):
            return True
        log_state_change(
            "join_contradicted",
            runner=runner.runner_id,
            group=getattr(directive.order, "group", ""),
            entry=runner.write_label,
            known=str(runner.group or ""),
            reported=str(reported or ""),
        )
        reconciler.record_contradiction(directive, now)
        return False
