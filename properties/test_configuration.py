"""Property test: no router reverts to an older configuration."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.configured_routers import KEY, ConfiguredRouters, document

_ROUTERS = 4
_FAULTS = ("change", "change", "race", "kill", "start", "pause", "cut", "heal")
_STEPS = st.lists(
    st.tuples(
        st.sampled_from((*_FAULTS, "down", "lose_answer", "isolate")),
        st.integers(1, _ROUTERS),
        st.sampled_from((0.1, 0.5, 1.5, 4.0)),
    ),
    min_size=5,
    max_size=16,
)


class RevertCheckedFleet(ConfiguredRouters):
    """Raises if the version in force decreases in a router incarnation.

    Attributes:
        last_versions: Last version in force, by router incarnation.
    """

    def __init__(self, *, seed: int) -> None:
        self.last_versions: dict[int, int] = {}
        super().__init__(_ROUTERS, seed=seed)

    def turn(self) -> None:
        super().turn()
        for member_id, node in self.nodes.items():
            version = self.version(member_id)
            previous = self.last_versions.get(node.context.incarnation, 0)
            if version < previous:
                raise AssertionError(f"{member_id}: {version} after {previous}")
            self.last_versions[node.context.incarnation] = version

    def inject_fault(self, fault: str, number: int) -> None:
        """Injects one fault or submits one change."""
        member_id = f"router-{number}"
        other_id = f"router-{number % _ROUTERS + 1}"
        running = member_id in self.nodes and member_id not in self.paused
        if fault == "change" and running:
            self._change(member_id, "out")
        elif fault == "race" and running:
            self._change(member_id, "out")
            if other_id in self.nodes:
                self._change(other_id, "in")
        elif fault == "kill":
            self.kill(member_id)
        elif fault == "start" and member_id not in self.nodes:
            self.start(member_id)
        elif fault == "pause" and running:
            self.paused.add(member_id)
        elif fault == "cut":
            self.cut.add(frozenset((member_id, other_id)))
        elif fault == "isolate":
            self.isolate(member_id)
        elif fault == "down":
            self.store.down = True
        elif fault == "lose_answer":
            self.store.lost_responses_remaining += 1
        elif fault == "heal":
            self.heal()

    def heal(self) -> None:
        """Ends every fault."""
        self.cut.clear()
        self.store_cut.clear()
        self.paused.clear()
        self.store.down = False
        self.store.lost_responses_remaining = 0

    def _change(self, member_id: str, state: str) -> None:
        self.submit(
            member_id,
            document(state),
            expected_version=self.version(member_id),
        )


class ConfigurationPropertyTest(testtools.TestCase):
    """Random faults and changes on four routers."""

    @settings(max_examples=12)
    @given(steps=_STEPS, seed=st.integers(0, 2**16))
    def test_versions_never_fall_and_all_catch_up(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        fleet = RevertCheckedFleet(seed=seed)
        fleet.run(5)
        for fault, number, duration_seconds in steps:
            fleet.inject_fault(fault, number)
            fleet.run(duration_seconds)
        fleet.heal()
        for number in range(1, _ROUTERS + 1):
            if f"router-{number}" not in fleet.nodes:
                fleet.start(f"router-{number}")
        fleet.run(12)
        latest = fleet.store.read(KEY).unwrap().version
        versions = {fleet.version(member_id) for member_id in fleet.nodes}
        self.assertEqual({latest}, versions)
