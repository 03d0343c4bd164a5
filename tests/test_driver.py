"""Tests of when the driver steps a node."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, cast

import testtools

from mulberrypaddle import driver
from mulberrypaddle.blackboard import Board, Priority, ReadObject
from mulberrypaddle.controllers.base import Context, Controller
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.node import Node
from mulberrypaddle.operators.journal import Journal
from mulberrypaddle.standins.memory_store import MemoryStore
from tests.support.asynchronous import run

if TYPE_CHECKING:
    from returns.result import Result


class _Steps(Controller):
    """Counts the steps of the node."""

    name = "steps"

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.count = 0

    def step(self, now_seconds: float) -> None:
        self.count += 1


class _Store:
    """An asynchronous store that replies at once."""

    def __init__(self) -> None:
        self._store = MemoryStore()

    async def read(self, key: str, *, priority: Priority) -> Result[Any, Any]:
        return self._store.read(key)


class _Adapters:
    def __init__(self) -> None:
        self.store = _Store()


class DriverTest(testtools.TestCase):
    """The node is stepped periodically, or early after a wake."""

    def test_intents_added_between_steps_are_executed_after_wake(self) -> None:
        # No periodic step comes, so without a wake this never ends.
        self.patch(driver, "STEP_SECONDS", 10_000.0)

        async def scenario() -> int:
            board = Board()
            context = Context(
                member_id="router-1",
                incarnation=1,
                data_centre="south",
                board=board,
                clock=ManualClock(),
                rng=random.Random(1),
            )
            steps = _Steps(context)
            subject = driver.Driver(
                Node(context, [steps]),
                cast("driver.Adapters", _Adapters()),
                journal=Journal(),
            )
            task = asyncio.ensure_future(subject.run())
            await asyncio.sleep(0)
            answered = asyncio.Event()

            def ask_again(_: object) -> None:
                # A reply that adds an intent must wake the driver again.
                board.intents.append(
                    ReadObject(
                        "b",
                        priority=Priority.CONFIG,
                        reply=lambda _: answered.set(),
                    )
                )

            board.intents.append(
                ReadObject("a", priority=Priority.CONFIG, reply=ask_again)
            )
            subject.wake()
            subject.wake()
            await answered.wait()
            task.cancel()
            return steps.count

        self.assertEqual(3, run(scenario()))
