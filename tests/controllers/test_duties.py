"""Tests of the ownership of duties."""

from __future__ import annotations

import random

import testtools

from mulberrypaddle.blackboard import Board
from mulberrypaddle.controllers import Context
from mulberrypaddle.controllers.duties import may_act
from mulberrypaddle.core.clock import ManualClock
from mulberrypaddle.core.rendezvous import Duty, owner_of
from tests.support.membership import FixedMembership


class DutiesTest(testtools.TestCase):
    """A duty is acted on by its owner alone."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.context = Context(
            member_id="a",
            incarnation=1,
            data_centre="south",
            board=Board(),
            clock=self.clock,
            rng=random.Random(1),
        )
        self.membership = FixedMembership(self.context, ["a", "b"])

    def _duty_owned_by(self, member_id: str) -> Duty:
        for number in range(100):
            duty = Duty("runner", str(number))
            if owner_of(duty, ["a", "b"]) == member_id:
                return duty
        raise AssertionError(f"no duty of {member_id}")

    def test_lapsed_lease_stops_the_owner(self) -> None:
        duty = self._duty_owned_by("a")
        self.membership.step(0.0)
        self.assertTrue(may_act(self.context, duty, 5.9))
        self.assertFalse(may_act(self.context, duty, 6.0))

    def test_heir_waits_until_the_old_membership_settles(self) -> None:
        duty = self._duty_owned_by("b")
        self.membership.change(["a"])
        self.membership.step(0.0)
        self.assertFalse(may_act(self.context, duty, 5.9))
        self.membership.step(3.0)
        self.assertTrue(may_act(self.context, duty, 6.0))
