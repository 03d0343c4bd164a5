"""Tests that one controller's exception doesn't stop the others."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers import Context, Controller
from mulberrypaddle.core import invariants
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.node import Node
from mulberrypaddle.peers.proto import envelope_pb2


class _Faulty(Controller):
    """Raises in every call."""

    name = "faulty"
    message_types = (envelope_pb2.Ack,)

    def step(self, now_seconds: float) -> None:
        raise RuntimeError("a fault of this controller")

    def receive(self, sender: str, message: object, now_seconds: float) -> None:
        raise RuntimeError("a fault of this controller")


class _Counting(Controller):
    """Counts its steps."""

    name = "counting"
    steps = 0

    def step(self, now_seconds: float) -> None:
        self.steps += 1


class NodeTest(testtools.TestCase):
    """Exceptions of a controller, in production and under test."""

    def setUp(self) -> None:
        super().setUp()
        context = Context(
            member_id="a",
            incarnation=1,
            data_centre="south",
            board=Board(),
            clock=ManualClock(),
            rng=random.Random(1),
        )
        self.counting = _Counting(context)
        self.node = Node(context, [_Faulty(context), self.counting])
        self.addCleanup(invariants.set_raise_on_breach, True)

    def test_exception_is_logged_and_the_others_continue(self) -> None:
        invariants.set_raise_on_breach(False)
        self.node.step()
        self.node.receive("b", envelope_pb2.Ack())
        self.assertEqual(1, self.counting.steps)

    def test_exception_is_raised_under_test(self) -> None:
        self.assertRaises(RuntimeError, self.node.step)
        self.assertRaises(
            RuntimeError, self.node.receive, "b", envelope_pb2.Ack()
        )
