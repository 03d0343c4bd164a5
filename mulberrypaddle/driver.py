"""Drives a node: steps it, logs its decisions and executes its intents."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import (
    DeleteObject,
    Intent,
    ListObjects,
    ReadObject,
    ReadRunnerReport,
    ReadVmReport,
    ReadVms,
    ReleaseWeightLoad,
    ReserveWeightLoad,
    SendToPeer,
    SendVmOrder,
    WriteObject,
    keys,
)
from mulberrypaddle.observe import log_decision

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from mulberrypaddle.backends import RunnerClient
    from mulberrypaddle.backends.budgeted_store import BudgetedStore
    from mulberrypaddle.backends.vm_platform import VmPlatform
    from mulberrypaddle.node import Node
    from mulberrypaddle.operators.journal import Journal
    from mulberrypaddle.peers import PeerLinks

_LOGGER = logging.getLogger("mulberrypaddle.driver")

# Longest time between two steps.
STEP_SECONDS = 0.02
# Delay of a step that was requested early, so that it serves many requests.
WAKE_SECONDS = 0.002


class Adapters:
    """The clients that execute intents.

    Attributes:
        store: The platform's object API.
        links: Links to the other routers.
        vms: Client of the VMs, the list of VMs and the weight store.
        runners: Client of the runners.
    """

    __slots__ = ("links", "runners", "store", "vms")

    def __init__(
        self,
        *,
        store: BudgetedStore,
        links: PeerLinks,
        runners: RunnerClient,
        vms: VmPlatform,
    ) -> None:
        self.store = store
        self.links = links
        self.runners = runners
        self.vms = vms


@functools.singledispatch
async def execute_intent(intent: Intent, adapters: Adapters) -> None:
    """Executes one intent and calls its reply.

    Args:
        intent: The I/O operation that a controller asked for.
        adapters: The clients to use.

    Raises:
        TypeError: If no function is registered for the intent's type.
    """
    raise TypeError(
        f"no adapter executes intents of type {type(intent).__name__}"
    )


@execute_intent.register(ReadObject)
async def _read_object(intent: ReadObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.read(intent.key, priority=intent.priority)
    )


@execute_intent.register(ListObjects)
async def _list_objects(intent: ListObjects, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.list(
            intent.prefix,
            after_version=intent.after_version,
            priority=intent.priority,
        )
    )


@execute_intent.register(WriteObject)
async def _write_object(intent: WriteObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.write(
            intent.key,
            intent.value,
            expected_version=intent.expected_version,
            priority=intent.priority,
        )
    )


@execute_intent.register(DeleteObject)
async def _delete_object(intent: DeleteObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.delete(
            intent.key,
            expected_version=intent.expected_version,
            priority=intent.priority,
        )
    )


@execute_intent.register(ReadVms)
async def _read_vms(intent: ReadVms, adapters: Adapters) -> None:
    await adapters.vms.read_vms(intent)


@execute_intent.register(ReadVmReport)
async def _read_vm_report(intent: ReadVmReport, adapters: Adapters) -> None:
    await adapters.vms.read_report(intent)


@execute_intent.register(SendVmOrder)
async def _send_vm_order(intent: SendVmOrder, adapters: Adapters) -> None:
    await adapters.vms.order(intent)


@execute_intent.register(ReserveWeightLoad)
async def _reserve_load(intent: ReserveWeightLoad, adapters: Adapters) -> None:
    await adapters.vms.reserve(intent)


@execute_intent.register(ReleaseWeightLoad)
async def _release_load(intent: ReleaseWeightLoad, adapters: Adapters) -> None:
    await adapters.vms.release(intent)


@execute_intent.register(ReadRunnerReport)
async def _read_runner_report(
    intent: ReadRunnerReport, adapters: Adapters
) -> None:
    intent.reply(await adapters.runners.report(intent.runner))


@execute_intent.register(SendToPeer)
async def _send_to_peer(intent: SendToPeer, adapters: Adapters) -> None:
    adapters.links.send(intent.member_id, intent.message)


class Driver:
    """Steps one node on the event loop and executes its intents."""

    def __init__(
        self, node: Node, adapters: Adapters, *, journal: Journal
    ) -> None:
        self._node = node
        self._adapters = adapters
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()
        self._step_due = asyncio.Event()
        self._wake_scheduled = False

    async def run(self) -> None:
        """Steps the node every `STEP_SECONDS`, or earlier after `wake`.

        It runs until its task is cancelled.
        """
        loop = asyncio.get_running_loop()
        while True:
            self._wake_scheduled = False
            self.run_once()
            self._step_due.clear()
            timer = loop.call_later(STEP_SECONDS, self._step_due.set)
            await self._step_due.wait()
            timer.cancel()

    def wake(self) -> None:
        """Schedules the next step early: a request or intent waits for it.

        The short delay lets one step serve requests that arrive together.
        """
        if self._wake_scheduled:
            return
        self._wake_scheduled = True
        asyncio.get_running_loop().call_later(WAKE_SECONDS, self._step_due.set)

    def run_once(self) -> None:
        """Steps the node once, logs its decisions and starts its intents."""
        self._node.step()
        board = self._node.context.board
        entry = board.entry(keys.MEMBERSHIP)
        if entry is not None:
            self._adapters.store.budget.set_router_count(
                len(entry.value.members)
            )
        while board.decisions:
            decision = board.decisions.popleft()
            self._journal.add(decision)
            log_decision(decision, member_id=self._node.context.member_id)
        while board.intents:
            self._start_task(
                execute_intent(board.intents.popleft(), self._adapters)
            )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Logs a failed intent; wakes the driver if its reply left others."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # The intent's reply is never called, so this line is the only
            # trace of the failure.
            _LOGGER.error("intent_failed", exc_info=task.exception())
        if self._node.context.board.intents:
            self.wake()
