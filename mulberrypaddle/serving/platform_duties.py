"""Runs the platform duties that the settings ask for."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from mulberrypaddle.duties.leadership import DutyLeadership
from mulberrypaddle.duties.scaling import RunnerCountController
from mulberrypaddle.fleet import PlatformDuty
from mulberrypaddle.replicas.ownership import StoreReachability
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.duty import boottime_seconds
from mulberrypaddle.serving.usage_duty import UsageDuty

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mulberrypaddle.duties.platform_api import PlatformApi
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.duty_manager import DutyManager
    from mulberrypaddle.serving.peer_exchange import PeerExchange
    from mulberrypaddle.serving.store import ObjectStore

# Port of the datagrams with usage sums, from the first internal port on.
USAGE_PORT_OFFSET = 1

# Shortest window that is counted: several intervals of messages.
MIN_WINDOW_SECONDS = 1.0


class PlatformDuties:
    """Creates the parts that perform platform duties, and lists their tasks."""

    def __init__(
        self,
        board: Blackboard,
        platform_api: PlatformApi | None,
        *,
        store: ObjectStore,
        duty_manager: DutyManager,
        peers: PeerExchange,
    ) -> None:
        """Creates what the settings ask for.

        Args:
            board: Shared state of this router.
            platform_api: The platform's API; None if it asks for no duty.
            store: The platform's store of objects.
            duty_manager: Holds the leases of this router.
            peers: The other routers.
        """
        self._board = board
        self._platform_api = platform_api
        self._store = store
        self._duty_manager = duty_manager
        self._peers = peers
        self._usage = self._make_usage_duty()

    def tasks(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Returns the tasks to run until the process stops, with their names.

        Each is started again if it fails.
        """
        tasks: list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]] = []
        if self._usage is not None:
            tasks += self._usage.tasks()
        if self._asks_for(PlatformDuty.RUNNER_COUNT):
            tasks.append(("runner counts", self._make_scaling().run))
        return tasks

    def _make_usage_duty(self) -> UsageDuty | None:
        """Returns the parts that report usage; None if it isn't asked for."""
        settings = self._board.settings
        if (
            not self._asks_for(PlatformDuty.USAGE_REPORT)
            or self._platform_api is None
            or settings.platform_api is None
        ):
            return None
        port = settings.internal_ports[0] + USAGE_PORT_OFFSET
        bounds = settings.bounds
        reason = ""
        if port > settings.internal_ports[1]:
            reason = f"port {port} is not in the range of internal ports"
        elif not (
            MIN_WINDOW_SECONDS <= bounds.usage_window_seconds < math.inf
            and 0 < bounds.usage_due_seconds < math.inf
        ):
            reason = "the length of windows or the time until they are due"
        if reason:
            log_state_change(
                "usage_duty_not_run", node=settings.node, reason=reason
            )
            return None
        return UsageDuty(
            self._board,
            self._platform_api,
            self._make_leadership(),
            port=port,
            store=self._store,
            duty_manager=self._duty_manager,
            peers=self._peers,
            calls_per_second=settings.platform_api.duty_calls_per_second,
        )

    def _make_scaling(self) -> RunnerCountController:
        """Returns the controller of the numbers of runners."""
        assert self._platform_api is not None
        return RunnerCountController(
            self._board,
            platform_api=self._platform_api,
            leadership=self._make_leadership(),
            holds_lease=self._duty_manager.holds_any_lease,
            store_reachable=lambda: (
                self._duty_manager.store_reachability()
                is StoreReachability.REACHABLE
            ),
            boottime=boottime_seconds,
        )

    def _asks_for(self, duty: PlatformDuty) -> bool:
        """Returns whether the settings ask for a duty."""
        settings = self._board.settings.platform_api
        return (
            settings is not None
            and self._platform_api is not None
            and duty in settings.duties
        )

    def _make_leadership(self) -> DutyLeadership:
        """Returns the state of this router's leadership of one duty."""
        settings = self._board.settings
        return DutyLeadership(
            lease_token=self._lease_token,
            return_pause_seconds=settings.bounds.duty_lease_seconds,
            started_at_seconds=boottime_seconds(),
            on_outdated=self._release_lease,
        )

    def _lease_token(self) -> int:
        """Returns the fencing token of the first duty's lease; 0 without it."""
        name = self._duty_manager.first_duty.name
        return self._duty_manager.fences().get(name, 0)

    def _release_lease(self) -> None:
        """Releases the lease of the first duty, as a higher token is in use."""
        log_state_change(
            "platform_duty_outdated",
            node=self._board.settings.node,
            token=self._lease_token(),
        )
        self._board.supervisor.start(
            "release of a duty",
            self._duty_manager.release_all(
                only=self._duty_manager.first_duty.name
            ),
        )
