"""Tests of entries that the store carries out late, in forming groups.

`ReportingFleet` records a breach when a runner takes a join of another group
while the head of its own may serve, or when a group opens without a member.
"""

from __future__ import annotations

import testtools

from tests.support.group_fleet import make_pairs
from tests.support.reporting_fleet import ReportingFleet

SEEDS = range(20)

# The pair of two runners has lost a member, and the spare has taken its place.
REPAIRED_SECONDS = 5.4


def _repair_beside_late_entry(*, restarts: bool) -> ReportingFleet:
    """Plays a spare that becomes the head of a group while a write is late.

    Args:
        restarts: Whether the spare restarts under its id behind that write,
            which says that it is in no group.
    """
    fleet = make_pairs(ReportingFleet, 3)
    (spare,) = fleet.spares()
    fleet.play(0.1)
    fleet.delay_next_write(spare.runner_id, REPAIRED_SECONDS)
    if restarts:
        fleet.restart(spare.runner_id)
    members = [r for r in fleet.runners.values() if r.group is not None]
    fleet.kill(next(r for r in members if not r.is_head).runner_id)
    fleet.play(REPAIRED_SECONDS - 0.1)
    return fleet


class LateEntryTest(testtools.TestCase):
    """A late entry says that a member of an open group is in none."""

    def _assert_group_stays(self, fleet: ReportingFleet) -> None:
        """Checks that the group is open and stays so behind the late write."""
        groups = {r.group for r in fleet.runners.values() if r.group}
        self.assertEqual(1, fleet.open_groups().get("small"))
        fleet.play(3.0)
        self.assertEqual([], fleet.breaches)
        self.assertEqual(1, fleet.open_groups().get("small"))
        self.assertTrue(
            groups >= {r.group for r in fleet.runners.values() if r.group}
        )

    def test_group_stays_beside_an_earlier_entry_of_its_member(self) -> None:
        self._assert_group_stays(_repair_beside_late_entry(restarts=False))

    def test_group_stays_beside_an_entry_from_before_a_restart(self) -> None:
        # Guards against a head that is ordered into another group by an entry
        # of its earlier life.
        self._assert_group_stays(_repair_beside_late_entry(restarts=True))


class SoakTest(testtools.TestCase):
    """Random losses and restarts beside late writes."""

    def test_no_rule_is_breached_beside_late_writes(self) -> None:
        for seed in SEEDS:
            for restarts in (0.0, 0.6):
                fleet = _play_losses(seed, restarts=restarts)
                self.assertEqual([], fleet.breaches, f"{seed} {restarts}")


def _play_losses(seed: int, *, restarts: float) -> ReportingFleet:
    """Plays losses and restarts of members beside late writes.

    Args:
        seed: Seed of the random events.
        restarts: Share of the lost runners that start again under their ids.
    """
    fleet = ReportingFleet(domains=3, domain_size=8, seed=seed)
    fleet.play(8.0)
    fleet.traffic = True
    fleet.late_writes = 0.3
    for _ in range(14):
        members = [r for r in fleet.runners.values() if r.alive and r.group]
        if members:
            member = fleet.rng.choice(members)
            if fleet.rng.random() < restarts:
                fleet.restart(member.runner_id)
            else:
                fleet.kill(member.runner_id)
        fleet.add(f"d{fleet.rng.randrange(3)}")
        fleet.play(fleet.rng.uniform(0.5, 3.0))
    return fleet
