"""Faults of the platform's store and of the link to it."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from tests.support.fault_proxy import FaultProxy, ProxyMode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.support.disruptions import Disruptions
    from tests.support.simulated_deployment import (
        SimulatedDeployment,
        StoreCopy,
    )

# Time in which the store's answers to writes may be lost, and their share.
ANSWER_LOSS_SECONDS = 2.0
ANSWER_LOSS_PROBABILITY = 0.4

# Time between two copies of the store, the number of those that are kept, and
# of the last ones that are too young.
COPY_INTERVAL_SECONDS = 0.5
KEPT_COPIES = 18
YOUNG_COPIES = 2
# Shortest and longest time for which the store is away before it comes back
# from a copy, and from then until the operator has written its objects again.
AWAY_SECONDS = (0.1, 2.0)
OPERATOR_DELAY_SECONDS = (0.1, 1.0)
# Shortest and longest time until the first restore.
FIRST_RESTORE_SECONDS = (2.0, 6.0)
# Share of the restores that are followed by another one, and how soon.
SECOND_SHARE = 0.4
SECOND_SECONDS = (0.2, 3.0)
# Time after a restore in which groups may be interrupted.
SETTLE_SECONDS = 2.0


class StoreFaults:
    """Disrupts the store and the link to it, and restores it from copies.

    Attributes:
        proxy: Proxy between the routers and the store.
        restores: Number of restores.
    """

    def __init__(
        self,
        deployment: SimulatedDeployment,
        disruptions: Disruptions,
        rng: random.Random,
        *,
        call_later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Prepares the faults.

        Args:
            deployment: The deployment that they are injected into.
            disruptions: Records the faults.
            rng: Source of random choices.
            call_later: Calls a function after some seconds.
        """
        self._deployment = deployment
        self._store = deployment.store
        self._disruptions = disruptions
        self._rng = rng
        self._call_later = call_later
        self._copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        # The end of an outage does nothing if another one has begun.
        self._outages = 0
        self.proxy = FaultProxy(deployment.store_address)
        self.restores = 0

    async def run(self) -> None:
        """Copies and restores the store until the task is cancelled."""
        restore_at_seconds = time.monotonic() + self._rng.uniform(
            *FIRST_RESTORE_SECONDS
        )
        while True:
            if self._store.state == "up":
                self._copies.append(self._store.make_copy())
            if time.monotonic() > restore_at_seconds:
                restore_at_seconds = float("inf")
                self.restore()
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    def is_reachable(self) -> bool:
        """Returns whether routers reach the store and get its answers."""
        return self._store.state == "up" and self.proxy.mode is ProxyMode.PASS

    def disrupt(self) -> None:
        """Makes the store answer 503 or not at all for a while."""
        self._go_away(self._rng.uniform(0.2, 4.0))

    def lose_answers(self) -> None:
        """Drops the answers to some of the store's writes for a while."""
        self._store.answer_loss_probability = ANSWER_LOSS_PROBABILITY
        self._disruptions.add("store", ANSWER_LOSS_SECONDS)
        self._call_later(ANSWER_LOSS_SECONDS, self._answer_writes)

    def disrupt_link(self) -> None:
        """Sets a random mode of the proxy in front of the store for a while."""
        self.proxy.mode = self._rng.choice(list(ProxyMode))
        seconds = self._rng.uniform(0.2, 3.0)
        self._disruptions.add("store", seconds)
        self._call_later(
            seconds, lambda: setattr(self.proxy, "mode", ProxyMode.PASS)
        )

    def drop_history(self) -> None:
        """Makes the store forget old revisions, so that watches restart."""
        self._store.drop_history()
        self._disruptions.add("store", 0.0)

    def restore(self) -> None:
        """Lets the store come back from a copy, sometimes twice in a row."""
        self._restore_once()
        if self._rng.random() < SECOND_SHARE:
            self._call_later(
                self._rng.uniform(*SECOND_SECONDS), self._restore_once
            )

    def clear(self) -> None:
        """Ends all faults."""
        self._store.state = "up"
        self._answer_writes()
        self.proxy.mode = ProxyMode.PASS

    def _go_away(self, seconds: float) -> None:
        """Makes the store silent or busy for a while."""
        self._store.state = self._rng.choice(("busy", "silent"))
        self._disruptions.add("store", seconds)
        self._outages += 1
        self._call_later(seconds, partial(self._end_outage, self._outages))

    def _end_outage(self, outage: int) -> None:
        """Ends an outage, unless another one has begun meanwhile."""
        if outage == self._outages:
            self._store.state = "up"

    def _restore_once(self) -> None:
        """Lets the store go away and come back from a copy."""
        if len(self._copies) <= YOUNG_COPIES:
            return
        seconds = self._rng.uniform(*AWAY_SECONDS)
        self._go_away(seconds)
        self._disruptions.add("store", seconds + SETTLE_SECONDS)
        self._call_later(seconds, self._come_back)

    def _come_back(self) -> None:
        """Restores the store from one of the copies.

        The later ones are dropped, since the store never was what they hold.
        """
        if len(self._copies) <= YOUNG_COPIES:
            return
        index = self._rng.randrange(len(self._copies) - YOUNG_COPIES)
        while len(self._copies) > index + 1:
            self._copies.pop()
        self.restores += 1
        self._deployment.restore_store(
            self._copies[index],
            rewritten_after_seconds=self._rng.uniform(*OPERATOR_DELAY_SECONDS),
        )

    def _answer_writes(self) -> None:
        """Ends the loss of answers."""
        self._store.answer_loss_probability = 0.0
