"""Faults of the paths of single routers to the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.fault_proxy import FaultProxy, ProxyMode

if TYPE_CHECKING:
    import random

    from tests.support.disruptions import Disruptions
    from tests.support.simulated_deployment import Router, SimulatedDeployment

# Shortest and longest time between two losses of a path, and of a loss.
PAUSE_SECONDS = (0.5, 3.0)
LOSS_SECONDS = (0.3, 5.0)


class PathFaults:
    """Disrupts the path of one router after the other; the others' are sound.

    The first may be the router that watches the store for the others.

    Attributes:
        losses: Number of lost paths.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        disruptions: Disruptions,
        rng: random.Random,
    ) -> None:
        """Prepares the faults.

        Args:
            deployment: The deployment that they are injected into.
            disruptions: Records the faults.
            rng: Source of random choices.
        """
        self._deployment = deployment
        self._disruptions = disruptions
        self._rng = rng
        # Proxy in front of the store, by number of the router.
        self._proxies: dict[int, FaultProxy] = {}
        self.losses = 0

    async def start(self, routers: int) -> None:
        """Starts a proxy for each router; before the routers are added.

        Args:
            routers: Number of routers.
        """
        for number in range(1, routers + 1):
            proxy = FaultProxy(self._deployment.store_address)
            self._proxies[number] = proxy
            address = await proxy.start()
            self._deployment.store_address_by_router[number] = address

    async def run(self) -> None:
        """Loses and restores paths until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
            proxy = self._rng.choice(list(self._proxies.values()))
            seconds = self._rng.uniform(*LOSS_SECONDS)
            proxy.mode = self._rng.choice(
                (ProxyMode.SILENT, ProxyMode.RESET, ProxyMode.NO_ANSWERS)
            )
            self.losses += 1
            self._disruptions.add("store", seconds)
            try:
                await asyncio.sleep(seconds)
            finally:
                proxy.mode = ProxyMode.PASS

    def is_reachable(self, router: Router) -> bool:
        """Returns whether a router's own path is sound."""
        proxy = self._proxies.get(router.number)
        return proxy is None or proxy.mode is ProxyMode.PASS

    def close(self) -> None:
        """Stops all proxies."""
        for proxy in self._proxies.values():
            proxy.close()
