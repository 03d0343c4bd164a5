"""Carries out the orders of the keeper of the groups, while it is owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.fleet.runners import MembershipState
from mulberrypaddle.replicas.keeper import GroupKeeper
from mulberrypaddle.replicas.picture import draw_groups
from mulberrypaddle.replicas.placement import shares_as_slots
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.metrics import GROUPS_OPEN, ORDERS
from mulberrypaddle.serving.runner_control import OrderOutcome

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from mulberrypaddle.fleet import RunnerEntry, ServiceSpec
    from mulberrypaddle.replicas.losses import LossJudge
    from mulberrypaddle.replicas.order_book import Directive
    from mulberrypaddle.serving.board import ServingBoard
    from mulberrypaddle.serving.owner_loop import OwnerLoop
    from mulberrypaddle.serving.runner_control import RunnerControl

# Pause between two steps of the keeper.
STEP_SECONDS = 0.1

# Pause between two lines about how the groups stand.
NOTE_SECONDS = 1.0

# Age up to which a sight of standing streams makes the owner ask the members.
SIGHT_SECONDS = 1.0

# Time for an answer to a question: a runner answers in some milliseconds, a
# slow one in some tens.
ANSWER_SECONDS = 0.6

# Runners that are asked along with suspects: their answers show that this
# router's own link works.
CONTROL_QUESTIONS = 2


class GroupControl:
    """Runs one keeper for each engine service."""

    def __init__(
        self,
        board: ServingBoard,
        *,
        control: RunnerControl,
        owner: OwnerLoop,
    ) -> None:
        self._board = board
        self._control = control
        self._owner = owner
        self._keepers: dict[str, GroupKeeper] = {}
        # Fence of each duty that the keepers were made for.
        self._fences: dict[str, int] = {}
        self._noted_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Steps until the task is cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            if not self._owner.holds():
                continue
            config = self._board.config
            if config is None or self._board.view.revision == 0:
                continue
            self._note_groups()
            fences = self._owner.fences()
            if self._fences != fences:
                self._fences = fences
                self._keepers.clear()
            for service in config.services.values():
                if service.engine is not None and service.engine.models:
                    self._step(service)

    def _note_groups(self) -> None:
        """Writes how the groups stand, now and then."""
        board = self._board
        now = board.now()
        if now - self._noted_at < NOTE_SECONDS:
            return
        self._noted_at = now
        assert board.config is not None
        wanted = board.demand.all_slots(now)
        for service in board.config.services.values():
            if service.engine is None or service.name not in self._keepers:
                continue
            entries = board.view.of_service(service.name)
            pictures = draw_groups(entries, service.engine).values()
            keeper = self._keepers[service.name]
            for spec in service.engine.models.values():
                open_groups = sum(
                    picture.spec is spec
                    and picture.whole
                    and picture.head_state is MembershipState.OPEN
                    for picture in pictures
                )
                GROUPS_OPEN.labels(spec.name).set(open_groups)
                log_belief(
                    "groups",
                    service=service.name,
                    model=spec.name,
                    open=open_groups,
                    wanted_slots=round(wanted.get(spec.name, 0.0), 1),
                    forming=keeper.forming,
                    single=sum(entry.group is None for entry in entries),
                    staged=sum(spec.name in entry.staged for entry in entries),
                    runners=len(entries),
                    lost=len(keeper.losses.lost),
                    fleet=board.view.revision,
                )

    def opening(self) -> dict[str, int]:
        """Returns when the next group of each model opens, in ms."""
        now = self._board.now()
        opening: dict[str, int] = {}
        config = self._board.config
        if config is None:
            return opening
        for name, keeper in self._keepers.items():
            service = config.services.get(name)
            if service is None or service.engine is None:
                continue
            for model in service.engine.models:
                left = keeper.opening_in(model, now)
                if left is not None:
                    opening[model] = int(left * 1000)
        return opening

    def _step(self, service: ServiceSpec) -> None:
        board = self._board
        now = board.now()
        keeper = self._keepers.get(service.name)
        if keeper is None:
            bounds = board.settings.bounds
            keeper = GroupKeeper(load_window_seconds=bounds.load_window_seconds)
            self._keepers[service.name] = keeper
        self._ask_suspects(service, keeper, now)
        engine = service.engine
        assert engine is not None
        wanted = board.demand.all_slots(now)
        if not board.demand.seen:
            wanted = shares_as_slots(engine)
        directives = keeper.step(
            board.view,
            service,
            wanted_slots=wanted,
            traffic_seen=board.demand.seen,
            first_start=board.settings.first_start,
            next_epoch=self._owner.next_epoch,
            now_seconds=now,
            data_centres=frozenset(self._fences),
        )
        for directive in directives:
            self._spawn(self._order(keeper, directive))

    def _ask_suspects(
        self, service: ServiceSpec, keeper: GroupKeeper, now: float
    ) -> None:
        """Asks silent runners, and members of groups that stand still."""
        board = self._board
        suspects = board.soundness.suspects(now, within_seconds=SIGHT_SECONDS)
        losses = keeper.losses
        assert service.engine is not None
        entries = [
            entry
            for entry in board.view.of_service(service.name)
            if entry.data_centre in self._fences
        ]
        asked: dict[str, RunnerEntry] = {}
        for entry in entries:
            silent = board.soundness.silent(entry.runner_id, now)
            if silent or entry.life in losses.lost:
                asked[entry.runner_id] = entry
        if suspects:
            for picture in draw_groups(entries, service.engine).values():
                head = picture.head
                if head is None or head.runner_id not in suspects:
                    continue
                for member in picture.members.values():
                    asked[member.runner_id] = member
        if asked:
            others = [e for e in entries if e.runner_id not in asked]
            count = min(CONTROL_QUESTIONS, len(others))
            for entry in board.rng.sample(others, count):
                asked[entry.runner_id] = entry
        for entry in asked.values():
            if losses.may_ask(entry.life, now):
                self._spawn(self._ask(losses, entry))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, losses: LossJudge, entry: RunnerEntry) -> None:
        asked_at = self._board.now()
        result = await self._control.report(entry, limit_seconds=ANSWER_SECONDS)
        if isinstance(result, Success):
            if losses.answered(entry.life, self._board.now()):
                log_belief("runner_back", runner=entry.runner_id)
            return
        waited_seconds = self._board.now() - asked_at
        if losses.unanswered(
            entry.life,
            waited_seconds=waited_seconds,
            limit_seconds=ANSWER_SECONDS,
            now_seconds=self._board.now(),
        ):
            log_belief(
                "runner_lost",
                runner=entry.runner_id,
                waited_seconds=round(waited_seconds, 2),
                reason=result.failure().detail,
            )

    async def _order(self, keeper: GroupKeeper, directive: Directive) -> None:
        runner = directive.runner
        fence = self._fences.get(runner.data_centre, 0)

        def still_held() -> bool:
            held = self._owner.fences().get(runner.data_centre)
            return fence > 0 and held == fence

        if not still_held():
            keeper.refused(directive, self._board.now())
            return
        name = type(directive.order).__name__
        result = await self._control.order(
            runner, directive.order, fence=fence, may_send=still_held
        )
        outcome = (
            result.unwrap().value
            if isinstance(result, Success)
            else result.failure().detail
        )
        log_belief(
            "order",
            order=name,
            runner=runner.runner_id,
            group=getattr(directive.order, "group", ""),
            model=getattr(directive.order, "model", ""),
            reason=directive.reason,
            fleet=self._board.view.revision,
            outcome=outcome,
        )
        if not isinstance(result, Success):
            ORDERS.labels(name, "unanswered").inc()
            return
        ORDERS.labels(name, outcome).inc()
        if result.unwrap() in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            return
        keeper.refused(directive, self._board.now())
