"""Counts, decides and reports usage, where the settings ask for it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from mulberrypaddle.duties.fleet_clock import FleetClock
from mulberrypaddle.duties.usage_counter import UsageCounter
from mulberrypaddle.duties.usage_reporter import (
    MAX_DUE_WINDOWS,
    UsageReporter,
)
from mulberrypaddle.duties.usage_ring import UsageRing
from mulberrypaddle.duties.usage_sums import UsageSums
from mulberrypaddle.serving.duty import boottime_seconds
from mulberrypaddle.serving.store_era import era_of
from mulberrypaddle.serving.usage_exchange import UsageExchange
from mulberrypaddle.serving.usage_metrics import bind_usage_gauges

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mulberrypaddle.duties.leadership import DutyLeadership
    from mulberrypaddle.duties.platform_api import PlatformApi
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.duty_manager import DutyManager
    from mulberrypaddle.serving.peer_exchange import PeerExchange
    from mulberrypaddle.serving.store import ObjectStore

# Pause between two steps of the reporter.
STEP_SECONDS = 0.1


class UsageDuty:
    """Connects the counter, the exchange and the reporter of usage."""

    def __init__(
        self,
        board: Blackboard,
        platform_api: PlatformApi,
        leadership: DutyLeadership,
        *,
        port: int,
        store: ObjectStore,
        duty_manager: DutyManager,
        peers: PeerExchange,
        calls_per_second: float,
        steady: Callable[[], float] = boottime_seconds,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Begins to count; the rest runs with `tasks`.

        Args:
            board: Shared state of this router.
            platform_api: The platform's API.
            leadership: Tells whether calls to the API may be made.
            port: Port for datagrams between routers.
            store: The platform's store of objects.
            duty_manager: Holds the leases of this router.
            peers: The other routers.
            calls_per_second: Calls for duties that the API accepts.
            steady: Returns the steady time in seconds, which counts suspension.
            wall: Returns the wall clock in seconds.
        """
        self._board = board
        self._duty_manager = duty_manager
        self._peers = peers
        bounds = board.settings.bounds
        clock = FleetClock()
        sums = UsageSums()
        # A window may be decided until its report is due, and no later than
        # `MAX_DUE_WINDOWS` after its end.
        kept_seconds = bounds.usage_window_seconds + min(
            bounds.usage_due_seconds,
            MAX_DUE_WINDOWS * bounds.usage_window_seconds,
        )
        self._counter = UsageCounter(
            clock,
            now=steady,
            window_seconds=bounds.usage_window_seconds,
            kept_seconds=kept_seconds,
        )
        ring = UsageRing(
            store,
            now=steady,
            present_window=lambda: clock.window_at(
                steady(), bounds.usage_window_seconds
            ),
            window_seconds=bounds.usage_window_seconds,
        )
        self._ring = ring
        self._reporter = UsageReporter(
            ring,
            platform_api,
            leadership,
            holder=board.settings.node,
            clock=clock,
            sums=sums,
            collect=self._collect,
            live_routers=lambda: board.live_routers,
            now=steady,
            window_seconds=bounds.usage_window_seconds,
            due_seconds=bounds.usage_due_seconds,
            calls_per_second=calls_per_second,
        )
        self._exchange = UsageExchange(
            board,
            port=port,
            incarnation=peers.incarnation,
            clock=clock,
            counter=self._counter,
            sums=sums,
            find_holder=self._find_holder,
            find_candidates=self._find_candidates,
            holds_duty=duty_manager.holds_first_duty,
            era=lambda: ring.era,
            observe_era=ring.observe_era,
            steady=steady,
            wall=wall,
            kept_seconds=kept_seconds,
        )
        board.record_run = self._record_run
        bind_usage_gauges(self._reporter)

    def tasks(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Returns the tasks to run until the process stops, with names."""
        return [
            ("usage exchange", self._exchange.run),
            ("usage decisions", self._run_decisions),
            ("usage reports", self._run_reports),
        ]

    async def _run_decisions(self) -> None:
        """Decides windows until cancelled."""
        while True:
            if self._duty_manager.holds_first_duty():
                # Renewals show a restore of the store before the next record.
                self._ring.observe_era(
                    era_of(self._duty_manager.first_duty.ownership.revision)
                )
            await self._reporter.decide()
            await asyncio.sleep(STEP_SECONDS)

    async def _run_reports(self) -> None:
        """Sends reports until cancelled."""
        while True:
            await self._reporter.send()
            await asyncio.sleep(STEP_SECONDS)

    def _record_run(self, organisation: str, began_at_seconds: float) -> None:
        """Counts a request that began to run at a loop time."""
        self._counter.record(
            organisation, age_seconds=self._board.now() - began_at_seconds
        )

    def _collect(self) -> None:
        """Adds this router's own counts to the sums."""
        self._exchange.collect()

    def _find_candidates(self) -> set[str]:
        """Returns addresses of routers that may hold the duty."""
        if not self._peers.uses_relays:
            return set()
        return self._peers.relays.known_ips()

    def _find_holder(self) -> tuple[str, str]:
        """Returns the address and process of the holder, if it is another.

        In a large fleet the relay of the first data centre holds its lease, and
        its process isn't known.
        """
        if self._duty_manager.holds_first_duty():
            return "", ""
        name = self._duty_manager.first_duty.name
        now = self._board.now()
        if self._peers.uses_relays:
            return self._peers.relays.likely_relay_ip(name, now), ""
        for ip, peer in self._peers.peers.items():
            claim = peer.heartbeat.claims.get(name)
            if (
                claim is not None
                and claim[0] == peer.heartbeat.incarnation
                and peer.is_fresh(now)
            ):
                return ip, claim[0]
        return "", ""
