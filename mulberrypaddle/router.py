"""Assembles one router: blackboard, controllers, adapters and servers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from mulberrypaddle.backends.budgeted_store import BudgetedStore
from mulberrypaddle.backends.call_budget import CallBudget
from mulberrypaddle.backends.http_object_store import HttpObjectStore
from mulberrypaddle.backends.http_runner import HttpRunnerClient
from mulberrypaddle.backends.vm_platform import VmPlatform
from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers.admission import Admission
from mulberrypaddle.controllers.base import Context
from mulberrypaddle.controllers.claims import Claims
from mulberrypaddle.controllers.configuration import ConfigurationController
from mulberrypaddle.controllers.credits import Credits
from mulberrypaddle.controllers.ejection import Ejection
from mulberrypaddle.controllers.groups import group_controllers
from mulberrypaddle.controllers.membership import FleetMembership
from mulberrypaddle.controllers.quarantine import Quarantine
from mulberrypaddle.controllers.retries import Retries
from mulberrypaddle.controllers.runner_table import RunnerTableController
from mulberrypaddle.controllers.stream_memory import StreamMemory
from mulberrypaddle.core.clock import Clock, SystemClock
from mulberrypaddle.driver import STEP_SECONDS, Adapters, Driver
from mulberrypaddle.frontdoor import FrontDoor, serve_front_door
from mulberrypaddle.frontdoor.pipeline import Pipeline
from mulberrypaddle.node import Node
from mulberrypaddle.observe import metrics
from mulberrypaddle.observe.group_metrics import export_group_metrics
from mulberrypaddle.operators import Journal
from mulberrypaddle.operators.apply import Apply
from mulberrypaddle.operators.handlers import OperatorDesk, operator_routes
from mulberrypaddle.peers import PeerLinks

if TYPE_CHECKING:
    from mulberrypaddle.settings import RouterSettings

# A stop waits this long for owners to confirm the outcomes of claims.
CONFIRM_SECONDS = 2.0


class Router:
    """One running router.

    Attributes:
        context: The controllers' context, with the blackboard.
        memory: Budget of answer bytes.
        door: What callers' handlers share.
        node: The controllers in step.
        journal: Recent decisions, to be explained.
        links: Links to the other routers.
        membership: The controller that joins and leaves.
    """

    def __init__(
        self, settings: RouterSettings, *, clock: Clock | None = None
    ) -> None:
        clock = clock or SystemClock()
        self.context = Context(
            member_id=settings.member_id,
            incarnation=int(clock.wall_seconds() * 1000),
            data_centre=settings.data_centre,
            board=Board(),
            clock=clock,
            rng=random.Random(),
        )
        self.membership = FleetMembership(
            self.context,
            region=settings.region,
            peer_address=settings.peer_address,
        )
        credits = Credits(self.context)
        admission = Admission(self.context, credits)
        claims = Claims(self.context)
        configuration = ConfigurationController(self.context)
        self._claims = claims
        quarantine = Quarantine(self.context)
        retries = Retries(self.context)
        ejection = Ejection(self.context)
        apply = Apply(self.context, accepted=configuration.accept)
        self.memory = StreamMemory(
            self.context, budget_bytes=settings.answer_memory_bytes
        )
        metrics.export_memory_metrics(self.memory)
        self.node = Node(
            self.context,
            [
                self.membership,
                configuration,
                *group_controllers(self.context),
                RunnerTableController(self.context),
                apply,
                claims,
                quarantine,
                retries,
                ejection,
                credits,
                admission,
                self.memory,
            ],
        )
        self._store = HttpObjectStore(
            settings.object_api_address,
            timeout_seconds=settings.object_api_timeout_seconds,
        )
        self._runners = HttpRunnerClient()
        self._vms = VmPlatform(
            vm_list_address=settings.vm_list_address,
            weight_store_address=settings.weight_store_address,
        )
        self.journal = Journal()
        self.links = PeerLinks(self.node, settings)
        self._driver = Driver(
            self.node,
            Adapters(
                store=BudgetedStore(
                    self._store, CallBudget(clock, self.context.rng)
                ),
                links=self.links,
                runners=self._runners,
                vms=self._vms,
            ),
            journal=self.journal,
        )
        self.door = FrontDoor(
            context=self.context,
            memory=self.memory,
            pipeline=Pipeline(
                admission=admission,
                claims=claims,
                quarantine=quarantine,
                retries=retries,
                ejection=ejection,
                runners=self._runners,
                clock=clock,
                wake=self._driver.wake,
            ),
            settings=settings,
        )
        self._server = serve_front_door(
            self.door,
            operator_routes(
                OperatorDesk(
                    context=self.context,
                    apply=apply,
                    journal=self.journal,
                    key_sha256=settings.operator_key_sha256,
                )
            ),
        )
        self._task: asyncio.Task[None] | None = None
        export_group_metrics(self.context.board)

    def start(self) -> None:
        """Begins to step the controllers on the running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        await self.links.start()
        await self._driver.run()

    async def _leave(self) -> None:
        """Waits until the duties are handed over; the wait has a bound."""
        while self._task is not None and not self._task.done():
            if self.membership.left:
                return
            await asyncio.sleep(STEP_SECONDS)

    async def _confirm_outcomes(self) -> None:
        """Waits, within a bound, until owners know how claims ended."""
        waited_seconds = 0.0
        while waited_seconds < CONFIRM_SECONDS and self._claims.unconfirmed:
            await asyncio.sleep(STEP_SECONDS)
            waited_seconds += STEP_SECONDS

    async def stop(self) -> None:
        """Stops gracefully: takes nothing new, finishes what is in hand."""
        self.door.begin_stop()
        self.node.stop()
        await self.door.wait_until_idle(
            timeout_seconds=self.door.settings.stop_seconds
        )
        self._server.stop()
        await self._server.close_all_connections()
        await self._confirm_outcomes()
        await self._leave()
        if self._task is not None:
            self._task.cancel()
        await self.links.close()
        self._store.close()
        self._runners.close()
        self._vms.close()
