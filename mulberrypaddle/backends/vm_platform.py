"""Carries out what controllers ask of VMs, their list and their weights."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Failure

from mulberrypaddle.backends.vm_list import HttpVmList
from mulberrypaddle.backends.vm_orders import HttpVmOrders
from mulberrypaddle.backends.weight_store import HttpWeightStore
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from mulberrypaddle.blackboard import (
        OrderRunner,
        ReadVmReport,
        ReadVms,
        ReleaseLoad,
        ReserveLoad,
    )


class VmPlatform:
    """The platform's side of groups; an unset address answers nothing."""

    def __init__(
        self, *, vm_list_address: str, weight_store_address: str
    ) -> None:
        """Takes the addresses; an empty one means that there is none.

        Args:
            vm_list_address: `host:port` of the list of VMs.
            weight_store_address: `host:port` of the weight store.
        """
        self._list: HttpVmList | None = None
        self._weights: HttpWeightStore | None = None
        self._orders = HttpVmOrders()
        if vm_list_address:
            self._list = HttpVmList(vm_list_address)
        if weight_store_address:
            self._weights = HttpWeightStore(weight_store_address)

    async def read_vms(self, intent: ReadVms) -> None:
        """Reads the list of VMs."""
        if self._list is None:
            intent.reply(Failure(_unset("vm_list")))
            return
        intent.reply(await self._list.read(intent.known_version))

    async def read_report(self, intent: ReadVmReport) -> None:
        """Asks one VM."""
        intent.reply(await self._orders.report(intent.address))

    async def order(self, intent: OrderRunner) -> None:
        """Gives an order, unless it has outlived its sender's lease."""
        if time.monotonic() >= intent.valid_until_seconds:
            problem = Problem(
                ErrorKind.NOT_OWNER, "the lease lapsed before the order left"
            )
            intent.reply(Failure(problem))
            return
        intent.reply(await self._orders.order(intent))

    async def reserve(self, intent: ReserveLoad) -> None:
        """Asks the weight store for a load."""
        if self._weights is None:
            intent.reply(Failure(_unset("weight_store")))
            return
        intent.reply(
            await self._weights.reserve(intent.load_id, model=intent.model)
        )

    async def release(self, intent: ReleaseLoad) -> None:
        """Returns a load to the weight store."""
        if self._weights is not None:
            await self._weights.release(intent.load_id)

    def close(self) -> None:
        """Closes the clients."""
        self._orders.close()
        if self._list is not None:
            self._list.close()
        if self._weights is not None:
            self._weights.close()


def _unset(name: str) -> Problem:
    return Problem(
        ErrorKind.STORE_UNAVAILABLE, f"got no {name} address in the settings"
    )
