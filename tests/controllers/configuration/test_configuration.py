"""Tests of the configuration in force over seven routers."""

from __future__ import annotations

import testtools
from returns.result import Success
from testtools import matchers

from mulberrypaddle.blackboard import StoredObject, keys
from mulberrypaddle.controllers.configuration import ConfigurationOptions
from mulberrypaddle.controllers.configuration.replica import Replica
from mulberrypaddle.core.errors import ErrorKind
from mulberrypaddle.core.fleet import DataCentreState
from mulberrypaddle.core.invariants import InvariantBreachError
from tests.support.configured_routers import KEY, ConfiguredRouters, document

IN_FORCE_SECONDS = 5.0


def _started(**options: object) -> ConfiguredRouters:
    fleet = ConfiguredRouters(**options)  # type: ignore[arg-type]
    fleet.run(8)
    return fleet


class ConfigurationTest(testtools.TestCase):
    """Accepted means in force everywhere, soon and for good."""

    def change(self, fleet: ConfiguredRouters, through: str, state: str) -> int:
        version = max(fleet.version(name) for name in fleet.nodes)
        fleet.submit(through, document(state), expected_version=version)
        fleet.run(0.25)
        return fleet.answers[-1].unwrap()

    def test_change_is_in_force_everywhere(self) -> None:
        fleet = _started()
        version = self.change(fleet, "router-4", "out")
        fleet.run(0.5)
        self.assertThat(fleet.routers_in_force(version), matchers.HasLength(7))

    def test_change_past_the_routers_is_found(self) -> None:
        fleet = _started()
        stored = fleet.store.read(KEY).unwrap()
        written = fleet.store.write(
            KEY, document("out").encode(), expected_version=stored.version
        )
        fleet.run(IN_FORCE_SECONDS)
        self.assertThat(
            fleet.routers_in_force(written.unwrap().version),
            matchers.HasLength(7),
        )

    def test_lossy_links_are_repaired(self) -> None:
        fleet = _started(loss=0.4)
        fleet.store_cut.update(fleet.nodes)
        fleet.store_cut.discard("router-2")
        version = self.change(fleet, "router-2", "out")
        fleet.run(IN_FORCE_SECONDS)
        self.assertThat(fleet.routers_in_force(version), matchers.HasLength(7))

    def test_partitioned_paused_and_restarted_routers_catch_up(self) -> None:
        fleet = _started()
        for other in list(fleet.nodes):
            if other != "router-5":
                fleet.cut.add(frozenset(("router-5", other)))
        fleet.paused.add("router-6")
        fleet.kill("router-7")
        version = self.change(fleet, "router-1", "out")
        fleet.start("router-7")
        self.assertFalse(fleet.is_ready("router-7"))
        fleet.run(IN_FORCE_SECONDS)
        # The router without peers reads the store itself.
        self.assertEqual(version, fleet.version("router-5"))
        fleet.paused.clear()
        fleet.run(IN_FORCE_SECONDS)
        self.assertThat(fleet.routers_in_force(version), matchers.HasLength(7))

    def test_starting_router_serves_only_with_the_store(self) -> None:
        fleet = _started(count=3)
        fleet.kill("router-3")
        fleet.store.down = True
        fleet.start("router-3")
        fleet.run(10)
        self.assertFalse(fleet.is_ready("router-3"))
        fleet.store.down = False
        fleet.run(IN_FORCE_SECONDS)
        self.assertTrue(fleet.is_ready("router-3"))

    def test_deletion_stays(self) -> None:
        fleet = _started(count=3)
        stored = fleet.store.read(KEY).unwrap()
        fleet.store.write(KEY, b"", expected_version=stored.version)
        fleet.run(IN_FORCE_SECONDS)
        for node in fleet.nodes.values():
            entry = node.context.board.entry(keys.CONFIGURATION)
            assert entry is not None
            self.assertEqual({}, entry.value.data_centres)

    def test_racing_operators_during_a_partition(self) -> None:
        fleet = _started()
        fleet.cut.add(frozenset(("router-1", "router-2")))
        version = fleet.version("router-1")
        fleet.submit("router-1", document("out"), expected_version=version)
        fleet.submit("router-2", document("in"), expected_version=version)
        fleet.run(IN_FORCE_SECONDS)
        won = [a for a in fleet.answers if isinstance(a, Success)]
        lost = [a for a in fleet.answers if not isinstance(a, Success)]
        self.assertEqual((1, 1), (len(won), len(lost)))
        problem = lost[0].failure()
        self.assertEqual(ErrorKind.CONFLICT, problem.kind)
        accepted = won[0].unwrap()
        self.assertIn(f"present is {accepted}", problem.detail)
        self.assertThat(fleet.routers_in_force(accepted), matchers.HasLength(7))

    def test_store_down_and_lost_answers_are_told_truly(self) -> None:
        fleet = _started(count=3)
        version = fleet.version("router-1")
        fleet.store.lost_responses_remaining = 1
        fleet.submit("router-1", document("out"), expected_version=version)
        fleet.run(1)
        accepted = fleet.answers[-1].unwrap()
        self.assertEqual(accepted, fleet.store.read(KEY).unwrap().version)
        fleet.store.down = True
        fleet.submit("router-1", document("in"), expected_version=accepted)
        fleet.run(1)
        problem = fleet.answers[-1].failure()
        self.assertEqual(ErrorKind.STORE_UNAVAILABLE, problem.kind)
        fleet.store.down = False
        fleet.run(IN_FORCE_SECONDS)
        self.assertEqual(
            [accepted] * 3, [fleet.version(n) for n in fleet.nodes]
        )

    def test_reads_do_not_grow_with_the_fleet(self) -> None:
        def reads(count: int, *, spread: bool) -> int:
            fleet = _started(
                count=count, config=ConfigurationOptions(spread=spread)
            )
            before = fleet.store.reads
            fleet.run(10)
            return fleet.store.reads - before

        self.assertEqual(reads(4, spread=True), reads(12, spread=True))
        self.assertThat(
            reads(12, spread=False),
            matchers.GreaterThan(reads(4, spread=False) + 50),
        )


class ReplicaTest(testtools.TestCase):
    """The highest version of a key wins, whatever comes later."""

    def test_older_version_is_refused(self) -> None:
        def late_message(*, refuse_older: bool) -> Replica:
            replica = Replica(refuse_older=refuse_older)
            replica.merge([StoredObject(KEY, document("out").encode(), 9)])
            replica.merge([StoredObject(KEY, document("in").encode(), 8)])
            return replica

        replica = late_message(refuse_older=True)
        self.assertEqual(
            {"south": DataCentreState.OUT}, replica.configuration.data_centres
        )
        self.assertRaises(
            InvariantBreachError, late_message, refuse_older=False
        )

    def test_object_that_does_not_parse_leaves_the_last_one_in_force(
        self,
    ) -> None:
        replica = Replica()
        replica.merge([StoredObject(KEY, document("out").encode(), 1)])
        replica.merge([StoredObject(KEY, b"state: [", 2)])
        self.assertEqual(
            {"south": DataCentreState.OUT}, replica.configuration.data_centres
        )
        self.assertEqual({KEY: 2}, replica.configuration.versions)
