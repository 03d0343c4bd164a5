"""Several nodes on a fake network, clock and store, driven from a seed."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from typing import TYPE_CHECKING

from mulberrypaddle.blackboard import (
    Board,
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
)
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.node import Node
from mulberrypaddle.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.decision import Decision
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.core.fleet import Runner, RunnerReport


class FakeFleet:
    """Nodes that share a store and a lossy network.

    Attributes:
        clock: Moves only through `run`.
        store: The platform's objects.
        nodes: Running nodes by member id.
        cut: Pairs of member ids whose messages are dropped, both ways.
        store_cut: Member ids that can't reach the store.
        paused: Member ids that are not stepped and receive late.
        loss: Share of messages that are lost.
        decisions: All decisions made, in order, with the member id.
        order_runner: Answers orders to runners; tests replace it.
        sent_bytes: Bytes of peer messages by sender, lost ones included.
        read_report: Returns a runner's report; tests replace it.
        outside: Answers orders, VM reports, the VM list and the weight store
            when it is set; it goes before `order_runner`.
    """

    def __init__(
        self,
        member_ids: list[str],
        build: Callable[[Context], list[Controller]],
        *,
        seed: int = 0,
        loss: float = 0.0,
        delay_seconds: float = 0.005,
        data_centres: tuple[str, ...] = ("a", "b", "c"),
    ) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.nodes: dict[str, Node] = {}
        self.cut: set[frozenset[str]] = set()
        self.store_cut: set[str] = set()
        self.paused: set[str] = set()
        self.loss = loss
        self.delay_seconds = delay_seconds
        self.decisions: list[tuple[str, Decision]] = []
        self.sent_bytes: dict[str, int] = {}
        self.order_runner: Callable[[SendVmOrder], None] | None = None
        self.read_report: (
            Callable[[Runner, Node], Result[RunnerReport, Problem]] | None
        ) = None
        self.outside: Callable[[Intent, Node], None] | None = None
        self._build = build
        self._data_centres = data_centres
        self._incarnations = itertools.count(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for member_id in member_ids:
            self.start(member_id)

    def start(self, member_id: str) -> Node:
        """Starts a node with a new incarnation and an empty blackboard."""
        index = len(self.nodes) % len(self._data_centres)
        context = Context(
            member_id=member_id,
            incarnation=next(self._incarnations),
            data_centre=self._data_centres[index],
            board=Board(),
            clock=self.clock,
            rng=random.Random(self.rng.random()),
        )
        node = Node(context, self._build(context))
        self.nodes[member_id] = node
        return node

    def kill(self, member_id: str) -> None:
        """Ends a node without notice; its pending replies are lost."""
        self.nodes.pop(member_id, None)
        self.paused.discard(member_id)

    def run(
        self, duration_seconds: float, *, step_seconds: float = 0.05
    ) -> None:
        """Steps all nodes and delivers what is due, for a while."""
        end_seconds = self.clock.monotonic_seconds() + duration_seconds
        while self.clock.monotonic_seconds() < end_seconds - 1e-9:
            self.clock.advance(step_seconds)
            self.turn()

    def turn(self) -> None:
        """Delivers what is due and steps every node that is not paused."""
        now_seconds = self.clock.monotonic_seconds()
        while self._events and self._events[0][0] <= now_seconds:
            heapq.heappop(self._events)[2]()
        for member_id in sorted(self.nodes):
            if member_id in self.paused:
                continue
            node = self.nodes[member_id]
            node.step()
            self.drain(node)

    def drain(self, node: Node) -> None:
        """Starts what one node asked for."""
        board = node.context.board
        while board.decisions:
            decision = board.decisions.popleft()
            self.decisions.append((node.context.member_id, decision))
        while board.intents:
            carry_out(board.intents.popleft(), self, node)

    def later(self, node: Node, act: Callable[[], None]) -> None:
        """Runs `act` after a random delay while `node` still runs."""
        due_seconds = self.clock.monotonic_seconds() + self.rng.uniform(
            0, 2 * self.delay_seconds
        )
        self.schedule(due_seconds, node, act)

    def call_after(self, delay_seconds: float, act: Callable[[], None]) -> None:
        """Runs `act` after a delay, whatever becomes of its sender."""
        due_seconds = self.clock.monotonic_seconds() + delay_seconds
        heapq.heappush(self._events, (due_seconds, next(self._numbers), act))

    def schedule(
        self, due_seconds: float, node: Node | None, act: Callable[[], None]
    ) -> None:
        """Runs `act` at a monotonic time, later if `node` is paused then.

        Without a node it happens outside the routers.
        """

        def deliver() -> None:
            if node is None:
                act()
                return
            member_id = node.context.member_id
            if self.nodes.get(member_id) is not node:
                return
            if member_id in self.paused:
                retry_seconds = self.clock.monotonic_seconds() + 0.05
                self.schedule(retry_seconds, node, act)
                return
            act()

        heapq.heappush(
            self._events, (due_seconds, next(self._numbers), deliver)
        )

    def send(self, sender: Node, intent: SendToPeer) -> None:
        """Puts a message on the network, or loses it."""
        sender_id = sender.context.member_id
        sent_bytes = self.sent_bytes.get(sender_id, 0)
        self.sent_bytes[sender_id] = sent_bytes + intent.message.ByteSize()
        target = self.nodes.get(intent.member_id)
        if target is None:
            return
        if frozenset((sender_id, intent.member_id)) in self.cut:
            return
        if self.rng.random() < self.loss:
            return
        copied = type(intent.message).FromString(
            intent.message.SerializeToString()
        )
        self.later(target, lambda: target.receive(sender_id, copied))

    def call_store(self, node: Node, call: Callable[[], None]) -> None:
        """Calls the store after a delay."""
        self.later(node, call)


@functools.singledispatch
def carry_out(intent: Intent, fleet: FakeFleet, node: Node) -> None:
    """Carries out one intent on the fakes."""
    raise TypeError(f"got {type(intent).__name__}, which no fake knows")


@carry_out.register(SendToPeer)
def _send(intent: SendToPeer, fleet: FakeFleet, node: Node) -> None:
    fleet.send(node, intent)


@carry_out.register(SendVmOrder)
def _order(intent: SendVmOrder, fleet: FakeFleet, node: Node) -> None:
    if fleet.outside is not None:
        fleet.outside(intent, node)
        return
    if fleet.order_runner is not None:
        fleet.order_runner(intent)


@carry_out.register(ReadVms)
@carry_out.register(ReadVmReport)
@carry_out.register(ReserveWeightLoad)
@carry_out.register(ReleaseWeightLoad)
def _outside(intent: Intent, fleet: FakeFleet, node: Node) -> None:
    if fleet.outside is not None:
        fleet.outside(intent, node)


@carry_out.register(ReadRunnerReport)
def _report(intent: ReadRunnerReport, fleet: FakeFleet, node: Node) -> None:
    """Reads the runner after one delay; the answer comes after another."""

    def call() -> None:
        if fleet.read_report is None:
            return
        result = fleet.read_report(intent.runner, node)
        fleet.later(node, lambda: intent.reply(result))

    fleet.later(node, call)


def _on_store(
    fleet: FakeFleet, node: Node, act: Callable[[], object], reply: Callable
) -> None:
    """Takes effect after one delay; the answer comes after another."""

    def call() -> None:
        if node.context.member_id in fleet.store_cut:
            was_down = fleet.store.down
            fleet.store.down = True
            result = act()
            fleet.store.down = was_down
        else:
            result = act()
        fleet.later(node, lambda: reply(result))

    fleet.later(node, call)


@carry_out.register(ReadObject)
def _read(intent: ReadObject, fleet: FakeFleet, node: Node) -> None:
    _on_store(fleet, node, lambda: fleet.store.read(intent.key), intent.reply)


@carry_out.register(ListObjects)
def _list(intent: ListObjects, fleet: FakeFleet, node: Node) -> None:
    _on_store(
        fleet,
        node,
        lambda: fleet.store.list(
            intent.prefix, after_version=intent.after_version
        ),
        intent.reply,
    )


@carry_out.register(WriteObject)
def _write(intent: WriteObject, fleet: FakeFleet, node: Node) -> None:
    _on_store(
        fleet,
        node,
        lambda: fleet.store.write(
            intent.key, intent.value, expected_version=intent.expected_version
        ),
        intent.reply,
    )


@carry_out.register(DeleteObject)
def _delete(intent: DeleteObject, fleet: FakeFleet, node: Node) -> None:
    _on_store(
        fleet,
        node,
        lambda: fleet.store.delete(
            intent.key, expected_version=intent.expected_version
        ),
        intent.reply,
    )
