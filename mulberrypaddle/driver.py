"""Drives a node: steps it, logs its decisions, carries out its intents."""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import (
    DeleteObject,
    Intent,
    ListObjects,
    OrderRunner,
    ReadObject,
    ReadReport,
    ReadVmReport,
    ReadVms,
    ReleaseLoad,
    ReserveLoad,
    SendToPeer,
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

STEP_SECONDS = 0.02
WAKE_SECONDS = 0.002


class Adapters:
    """The I/O that intents are carried out with.

    Attributes:
        store: The platform's object API.
        links: Links to the other routers.
        vms: VMs, their list and the weight store.
        runners: The endpoints that execute requests.
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
async def carry_out(intent: Intent, adapters: Adapters) -> None:
    """Carries out one intent and calls its reply.

    Args:
        intent: What a controller asked for.
        adapters: The I/O to use.

    Raises:
        TypeError: If no adapter knows the intent.
    """
    raise TypeError(f"got {type(intent).__name__}, which no adapter knows")


@carry_out.register(ReadObject)
async def _read(intent: ReadObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.read(intent.key, priority=intent.priority)
    )


@carry_out.register(ListObjects)
async def _list(intent: ListObjects, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.list(
            intent.prefix,
            after_version=intent.after_version,
            priority=intent.priority,
        )
    )


@carry_out.register(WriteObject)
async def _write(intent: WriteObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.write(
            intent.key,
            intent.value,
            expected_version=intent.expected_version,
            priority=intent.priority,
        )
    )


@carry_out.register(DeleteObject)
async def _delete(intent: DeleteObject, adapters: Adapters) -> None:
    intent.reply(
        await adapters.store.delete(
            intent.key,
            expected_version=intent.expected_version,
            priority=intent.priority,
        )
    )


@carry_out.register(ReadVms)
async def _read_vms(intent: ReadVms, adapters: Adapters) -> None:
    await adapters.vms.read_vms(intent)


@carry_out.register(ReadVmReport)
async def _read_vm_report(intent: ReadVmReport, adapters: Adapters) -> None:
    await adapters.vms.read_report(intent)


@carry_out.register(OrderRunner)
async def _order(intent: OrderRunner, adapters: Adapters) -> None:
    await adapters.vms.order(intent)


@carry_out.register(ReserveLoad)
async def _reserve(intent: ReserveLoad, adapters: Adapters) -> None:
    await adapters.vms.reserve(intent)


@carry_out.register(ReleaseLoad)
async def _release(intent: ReleaseLoad, adapters: Adapters) -> None:
    await adapters.vms.release(intent)


@carry_out.register(ReadReport)
async def _report(intent: ReadReport, adapters: Adapters) -> None:
    intent.reply(await adapters.runners.report(intent.runner))


@carry_out.register(SendToPeer)
async def _send(intent: SendToPeer, adapters: Adapters) -> None:
    adapters.links.send(intent.member_id, intent.message)


class Driver:
    """Runs one node on the event loop."""

    def __init__(
        self, node: Node, adapters: Adapters, *, journal: Journal
    ) -> None:
        self._node = node
        self._adapters = adapters
        self._journal = journal
        self._tasks: set[asyncio.Task[None]] = set()
        self._due = asyncio.Event()
        self._woken = False

    async def run(self) -> None:
        """Steps the node until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._woken = False
            self.turn()
            self._due.clear()
            timer = loop.call_later(STEP_SECONDS, self._due.set)
            await self._due.wait()
            timer.cancel()

    def wake(self) -> None:
        """Makes the next turn come soon: something waits for it.

        The short delay joins what many requests leave at the same time.
        """
        if self._woken:
            return
        self._woken = True
        asyncio.get_running_loop().call_later(WAKE_SECONDS, self._due.set)

    def turn(self) -> None:
        """Steps the node once and starts what it asked for."""
        self._node.step()
        board = self._node.context.board
        entry = board.entry(keys.MEMBERSHIP)
        if entry is not None:
            self._adapters.store.budget.share(len(entry.value.members))
        while board.decisions:
            decision = board.decisions.popleft()
            self._journal.add(decision)
            log_decision(decision, member_id=self._node.context.member_id)
        while board.intents:
            self._start(carry_out(board.intents.popleft(), self._adapters))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._carried_out)

    def _carried_out(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Without this line an intent would vanish with its reply.
            _LOGGER.error("intent_failed", exc_info=task.exception())
        if self._node.context.board.intents:
            self.wake()
