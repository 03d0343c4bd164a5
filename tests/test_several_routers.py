"""Tests of three routers with real links over loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from mulberrypaddle.blackboard import keys
from mulberrypaddle.core.fleet import DataCentreState
from mulberrypaddle.standins.local_fleet import LocalFleet
from tests.support.asynchronous import run

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.router import Router

_TRIES = 300
_WAIT_SECONDS = 0.05


async def _until(holds: Callable[[], bool]) -> bool:
    """Waits for a condition; returns whether it held in time."""
    for _ in range(_TRIES):
        if holds():
            return True
        await asyncio.sleep(_WAIT_SECONDS)
    return False


def _members(router: Router) -> list[str]:
    """Returns the router ids in one router's membership, sorted."""
    entry = router.context.board.entry(keys.MEMBERSHIP)
    return [] if entry is None else sorted(entry.value.members)


def _state(router: Router) -> DataCentreState | None:
    """Returns the state of data centre `south` as known to a router."""
    entry = router.context.board.entry(keys.CONFIGURATION)
    return None if entry is None else entry.value.data_centres.get("south")


class SeveralRoutersTest(testtools.TestCase):
    """Membership and configuration spread between real routers."""

    def test_routers_join_apply_a_change_and_leave(self) -> None:
        async def scenario() -> list[bool]:
            seen = []
            async with LocalFleet(router_count=3) as fleet:
                names = ["router-1", "router-2", "router-3"]
                seen.append(
                    await _until(
                        lambda: all(
                            _members(router) == names
                            for router in fleet.routers
                        )
                    )
                )
                answer = await fleet.set_data_centre("south", "out")
                seen.append(answer.code == 200)
                seen.append(
                    await _until(
                        lambda: all(
                            _state(router) is DataCentreState.OUT
                            for router in fleet.routers
                        )
                    )
                )
                await fleet.routers.pop(1).stop()
                seen.append(
                    await _until(
                        lambda: all(
                            _members(router) == ["router-1", "router-3"]
                            for router in fleet.routers
                        )
                    )
                )
            return seen

        self.assertEqual([True] * 4, run(scenario()))
