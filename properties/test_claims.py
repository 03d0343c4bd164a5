"""Property test: requests with idempotency keys run at most once."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from mulberrypaddle.core.errors import Ran
from tests.support.claims_fleet import ROUTERS, ClaimsFleet
from tests.support.claims_schedule import STEP_SECONDS, run_schedule


def keys_never_run(fleet: ClaimsFleet) -> list[str]:
    """Returns keys of which each router used reports that they did not run."""
    never_ran: dict[str, bool] = {}
    for sending in fleet.sendings:
        lives = fleet.fleet.nodes[sending.member_id] is sending.node
        not_run = lives and sending.ran is Ran.NOT_RUN
        never_ran[sending.key] = never_ran.get(sending.key, True) and not_run
    return [key for key, idle in never_ran.items() if idle]


class ClaimsRunsTest(testtools.TestCase):
    """A key runs at most once, and no refusal denies a run that happened."""

    @settings(max_examples=10)
    @given(seed=st.integers(min_value=0, max_value=1_000_000))
    def test_runs_at_most_once_and_says_so_truly(self, seed: int) -> None:
        fleet = ClaimsFleet(seed=seed, loss=0.05)
        run_schedule(fleet, seed)
        self.assertEqual([], fleet.double_runs())
        self.assertEqual([], fleet.untrue_refusals())
        self.assertEqual([], fleet.unsaid())
        self._check_progress(fleet)

    def _check_progress(self, fleet: ClaimsFleet) -> None:
        """Checks that new keys and keys that never ran run once healed."""
        fleet.refused_share = 0.0
        keys = keys_never_run(fleet)[:20]
        for _ in ROUTERS:
            keys.append(fleet.new_key())
        for index, key in enumerate(keys):
            fleet.submit(ROUTERS[index % len(ROUTERS)], key)
        fleet.fleet.run(4.0, step_seconds=STEP_SECONDS)
        for key in keys:
            self.assertEqual(1, fleet.runs.get(key, 0), key)
