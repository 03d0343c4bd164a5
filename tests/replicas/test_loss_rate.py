"""Tests of the estimated rate at which members of groups are lost."""

from __future__ import annotations

import testtools

from mulberrypaddle.replicas.loss_rate import LossRate

_MEMBERS = frozenset((f"r{number}", 1) for number in range(40))


def _observe(rate: LossRate, *, loss_interval_steps: int) -> None:
    """Plays 60 s in which one of 40 members is lost every some 0.1 s steps."""
    for step in range(600):
        usable = _MEMBERS
        if step % loss_interval_steps == 0:
            usable = _MEMBERS - {("r0", 1)}
        rate.update(members=_MEMBERS, usable=usable, now_seconds=step / 10)


class LossRateTest(testtools.TestCase):
    """The estimate follows what is observed, whatever the pace."""

    def test_estimate_follows_the_losses(self) -> None:
        for interval_steps in (10, 50, 200):
            rate = LossRate()
            _observe(rate, loss_interval_steps=interval_steps)
            expected = 10.0 / interval_steps / 40
            self.assertAlmostEqual(
                expected, rate.chance_within(1.0), delta=0.4 * expected
            )

    def test_estimate_falls_while_no_member_is_lost(self) -> None:
        rate = LossRate()
        before = rate.chance_within(16.0)
        for step in range(600):
            rate.update(
                members=_MEMBERS, usable=_MEMBERS, now_seconds=step / 10
            )
        self.assertLess(rate.chance_within(16.0), before / 50)

    def test_member_that_leaves_its_group_is_not_lost(self) -> None:
        rate = LossRate()
        rate.update(members=_MEMBERS, usable=_MEMBERS, now_seconds=0.0)
        before = rate.chance_within(1.0)
        rate.update(members=frozenset(), usable=_MEMBERS, now_seconds=0.1)
        self.assertLess(rate.chance_within(1.0), before)
