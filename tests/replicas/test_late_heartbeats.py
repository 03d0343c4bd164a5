"""Tests of entries that the store carries out late, in forming groups.

`ReportingFleet` records a breach when a runner takes a join of another group
while the head of its own may serve, or when a group opens without a member.
"""

from __future__ import annotations

import testtools

from tests.support.group_fleet import PlayedRunner, make_pairs
from tests.support.reporting_fleet import ReportingFleet

SEEDS = range(20)

# By then a spare has taken the place of a lost member, and has just sent a
# heartbeat.
REPAIRED_SECONDS = 5.7


def _repair_beside_late_entry(
    *, restarts: bool
) -> tuple[ReportingFleet, PlayedRunner]:
    """Plays a spare that joins a group while a write of it is late.

    The write says that it is in no group. It is carried out once the group is
    open, and stands until the next heartbeat.

    Args:
        restarts: Whether the spare restarts under its id behind that write.

    Returns:
        The fleet and the spare, just after the write was carried out.
    """
    fleet = make_pairs(ReportingFleet, 3)
    (spare,) = fleet.spares()
    fleet.play(0.1)
    fleet.delay_next_write(spare.runner_id, REPAIRED_SECONDS)
    if restarts:
        spare = fleet.restart(spare.runner_id)
    members = [r for r in fleet.runners.values() if r.group is not None]
    fleet.kill(next(r for r in members if not r.is_head).runner_id)
    fleet.play(REPAIRED_SECONDS)
    # The runner that a formation would take the spare for.
    fleet.add("d0").staged = ("small",)
    return fleet, spare


class LateEntryTest(testtools.TestCase):
    """A late entry says that a member of an open group is in none."""

    def _assert_group_stays(
        self, fleet: ReportingFleet, spare: PlayedRunner
    ) -> None:
        """Checks that the group of a former spare is open and stays so."""
        group = spare.group
        self.assertIsNotNone(group)
        self.assertIsNone(fleet.stored(spare.runner_id).group)
        fleet.play(3.0)
        self.assertEqual([], fleet.breaches)
        self.assertEqual(1, fleet.open_groups().get("small"))
        self.assertEqual(group, spare.group)
        self.assertIsNotNone(fleet.stored(spare.runner_id).group)

    def test_group_stays_beside_an_earlier_entry_of_its_member(self) -> None:
        fleet, spare = _repair_beside_late_entry(restarts=False)
        self._assert_group_stays(fleet, spare)

    def test_group_stays_beside_an_entry_from_before_a_restart(self) -> None:
        # Guards against a member that is ordered into another group by an entry
        # of its earlier life.
        fleet, spare = _repair_beside_late_entry(restarts=True)
        self._assert_group_stays(fleet, spare)

    def test_group_stays_if_its_owner_has_just_started(self) -> None:
        # Guards against an owner that knows no newer entry, and that orders a
        # member of an open group into another one.
        fleet, spare = _repair_beside_late_entry(restarts=False)
        fleet.change_owner(has_just_started=True)
        self._assert_group_stays(fleet, spare)


class SoakTest(testtools.TestCase):
    """Random losses and restarts beside late writes."""

    def test_no_rule_is_breached_beside_late_writes(self) -> None:
        for seed in SEEDS:
            for restarts in (0.0, 0.6):
                fleet = _play_losses(seed, restarts=restarts)
                self.assertEqual([], fleet.breaches, f"{seed} {restarts}")

    def test_no_rule_is_breached_by_owners_that_have_just_started(self) -> None:
        for seed in SEEDS:
            for restarts in (0.0, 0.6):
                fleet = _play_losses(seed, restarts=restarts, new_owners=0.4)
                self.assertEqual([], fleet.breaches, f"{seed} {restarts}")


def _play_losses(
    seed: int, *, restarts: float, new_owners: float = 0.0
) -> ReportingFleet:
    """Plays losses and restarts of members beside late writes.

    Args:
        seed: Seed of the random events.
        restarts: Share of the lost runners that start again under their ids.
        new_owners: Share of the rounds in which the duty moves to a router that
            has just started.
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
        if fleet.rng.random() < new_owners:
            fleet.change_owner(has_just_started=True)
        fleet.play(fleet.rng.uniform(0.5, 3.0))
    return fleet
