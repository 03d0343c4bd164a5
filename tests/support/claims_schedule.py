"""Seeded faults and sendings for routers that run unrepeatable requests."""

from __future__ import annotations

import random

from tests.support.claims_fleet import ROUTERS, ClaimsFleet

STEP_SECONDS = 0.05
RUN_SECONDS = 30.0
HEAL_SECONDS = 12.0


class Schedule:
    """Faults and sendings drawn from a seed, one step at a time."""

    def __init__(self, fleet: ClaimsFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._keys: list[str] = []
        self._acts = (
            (0.30, self._submit_new),
            (0.30, self._resend),
            (0.01, self._kill),
            (0.02, self._pause_or_resume),
            (0.01, self._change_members),
            (0.01, self._store_outage),
            (0.01, self._store_cut),
            (0.01, self._isolate_or_rejoin),
        )

    def step(self) -> None:
        """Draws what happens in this step."""
        for share, act in self._acts:
            if self._rng.random() < share:
                act()
        self._fleet.fleet.run(STEP_SECONDS, step_seconds=STEP_SECONDS)

    def heal(self) -> None:
        """Ends every fault and lets all memberships settle."""
        fleet = self._fleet.fleet
        fleet.loss = 0.0
        fleet.store_cut.clear()
        fleet.store.down = False
        fleet.store.lost_response_share = 0.0
        for member_id in ROUTERS:
            self._fleet.resume(member_id)
            self._fleet.rejoin(member_id)
        fleet.run(HEAL_SECONDS, step_seconds=STEP_SECONDS)

    def _pick(self) -> str | None:
        running = sorted(set(ROUTERS) - self._fleet.fleet.paused)
        return self._rng.choice(running) if running else None

    def _submit_new(self) -> None:
        key = self._fleet.new_key()
        self._keys.append(key)
        self._submit(key)

    def _resend(self) -> None:
        if not self._keys:
            return
        recent = self._keys[-5:] if self._rng.random() < 0.7 else self._keys
        self._submit(self._rng.choice(recent))

    def _submit(self, key: str) -> None:
        member_id = self._pick()
        if member_id is not None:
            self._fleet.submit(member_id, key)

    def _kill(self) -> None:
        self._fleet.kill(self._rng.choice(ROUTERS))

    def _pause_or_resume(self) -> None:
        member_id = self._rng.choice(ROUTERS)
        if member_id in self._fleet.fleet.paused:
            self._fleet.resume(member_id)
            return
        if len(self._fleet.fleet.paused) < 3:
            self._fleet.pause(member_id)

    def _change_members(self) -> None:
        count = self._rng.randint(4, len(ROUTERS))
        self._fleet.change_members(self._rng.sample(ROUTERS, count))

    def _store_outage(self) -> None:
        store = self._fleet.fleet.store
        store.down = not store.down

    def _store_cut(self) -> None:
        cut = self._fleet.fleet.store_cut
        member_id = self._rng.choice(ROUTERS)
        if member_id in cut:
            cut.discard(member_id)
            return
        cut.add(member_id)

    def _isolate_or_rejoin(self) -> None:
        member_id = self._rng.choice(ROUTERS)
        if not self._fleet.memberships[member_id].renews:
            self._fleet.rejoin(member_id)
            return
        self._fleet.isolate(member_id)


def run_schedule(fleet: ClaimsFleet, seed: int) -> Schedule:
    """Runs a fleet under faults for a while and heals it."""
    fleet.fleet.store.lost_response_share = 0.05
    schedule = Schedule(fleet, random.Random(seed))
    for _ in range(int(RUN_SECONDS / STEP_SECONDS)):
        schedule.step()
    schedule.heal()
    return schedule
