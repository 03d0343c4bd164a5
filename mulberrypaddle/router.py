"""Builds one router from blackboard, controllers, adapters and servers."""

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
from mulberrypaddle.frontdoor import FrontDoorState, serve_front_door
from mulberrypaddle.frontdoor.pipeline import Pipeline
from mulberrypaddle.node import Node
from mulberrypaddle.observe import metrics
from mulberrypaddle.observe.group_metrics import export_group_metrics
from mulberrypaddle.operators import Journal
from mulberrypaddle.operators.document_writer import DocumentWriter
from mulberrypaddle.operators.handlers import OperatorState, operator_routes
from mulberrypaddle.peers import PeerLinks

if TYPE_CHECKING:
    from mulberrypaddle.settings import RouterSettings

# Longest wait of a stop for the owners of claims to confirm their outcomes.
CONFIRM_SECONDS = 2.0


class Router:
    """One running router.

    Attributes:
        context: The controllers' context, with the blackboard.
        memory: Memory budget for answers on their way to callers.
        door: State that the callers' HTTP handlers share.
        node: The controllers, which it steps in order.
        journal: Recent decisions, for the operators' API.
        links: Links to the other routers.
        membership: The controller that joins and leaves the fleet.
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
        apply = DocumentWriter(self.context, on_accepted=configuration.accept)
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
        self.door = FrontDoorState(
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
                OperatorState(
                    context=self.context,
                    apply=apply,
                    journal=self.journal,
                    key_sha256=settings.operator_key_sha256,
                )
            ),
        )
        self._run_task: asyncio.Task[None] | None = None
        export_group_metrics(self.context.board)

    def start(self) -> None:
        """Starts the links and the controllers on the running event loop."""
        self._run_task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        await self.links.start()
        await self._driver.run()

    async def _wait_until_left(self) -> None:
        """Waits until this router has handed over its duties and left.

        The membership controller bounds the wait.
        """
        while self._run_task is not None and not self._run_task.done():
            if self.membership.left:
                return
            await asyncio.sleep(STEP_SECONDS)

    async def _wait_for_confirmations(self) -> None:
        """Waits until the owners of claims have confirmed their outcomes.

        It waits at most `CONFIRM_SECONDS`.
        """
        waited_seconds = 0.0
        while waited_seconds < CONFIRM_SECONDS and self._claims.unconfirmed:
            await asyncio.sleep(STEP_SECONDS)
            waited_seconds += STEP_SECONDS

    async def close_connections(self) -> None:
        """Stops listening and closes all connections of callers."""
        self._server.stop()
        await self._server.close_all_connections()

    async def stop(self) -> None:
        """Stops gracefully: refuses new requests, finishes those in flight."""
        self.door.stop_accepting()
        self.node.stop()
        await self.door.wait_until_idle(
            timeout_seconds=self.door.settings.stop_seconds
        )
        await self.close_connections()
        await self._wait_for_confirmations()
        await self._wait_until_left()
        if self._run_task is not None:
            self._run_task.cancel()
        await self.links.close()
        self._store.close()
        self._runners.close()
        self._vms.close()
