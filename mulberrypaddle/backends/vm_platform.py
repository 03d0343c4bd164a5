"""Executes intents that concern VMs, the VM list and the weight store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Failure

from mulberrypaddle.backends.vm_agents import HttpVmAgents
from mulberrypaddle.backends.vm_list import HttpVmList
from mulberrypaddle.backends.weight_store import HttpWeightStore
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from mulberrypaddle.blackboard import (
        ReadVmReport,
        ReadVms,
        ReleaseWeightLoad,
        ReserveWeightLoad,
        SendVmOrder,
    )


class VmPlatform:
    """Executes the intents by which controllers form and load groups.

    Each method but `close` executes one intent and calls its `reply`, if it
    has one. An intent for a service without an address fails.
    """

    def __init__(
        self, *, vm_list_address: str, weight_store_address: str
    ) -> None:
        """Creates the clients of the services that have an address.

        Args:
            vm_list_address: `host:port` of the list of VMs; empty if none.
            weight_store_address: `host:port` of the weight store; empty if
                none.
        """
        self._vm_list: HttpVmList | None = None
        self._weight_store: HttpWeightStore | None = None
        self._vm_agents = HttpVmAgents()
        if vm_list_address:
            self._vm_list = HttpVmList(vm_list_address)
        if weight_store_address:
            self._weight_store = HttpWeightStore(weight_store_address)

    async def read_vms(self, intent: ReadVms) -> None:
        """Reads the list of VMs."""
        if self._vm_list is None:
            intent.reply(Failure(_unset_address_problem("vm_list")))
            return
        intent.reply(await self._vm_list.read(intent.known_version))

    async def read_report(self, intent: ReadVmReport) -> None:
        """Requests the report of one VM."""
        intent.reply(await self._vm_agents.report(intent.address))

    async def order(self, intent: SendVmOrder) -> None:
        """Sends an order, unless the sender's lease has expired meanwhile."""
        if time.monotonic() >= intent.valid_until_seconds:
            problem = Problem(
                ErrorKind.NOT_OWNER,
                "the lease expired before the order was sent",
            )
            intent.reply(Failure(problem))
            return
        intent.reply(await self._vm_agents.order(intent))

    async def reserve(self, intent: ReserveWeightLoad) -> None:
        """Reserves a load at the weight store."""
        if self._weight_store is None:
            intent.reply(Failure(_unset_address_problem("weight_store")))
            return
        intent.reply(
            await self._weight_store.reserve(intent.load_id, model=intent.model)
        )

    async def release(self, intent: ReleaseWeightLoad) -> None:
        """Releases a load at the weight store, if there is one."""
        if self._weight_store is not None:
            await self._weight_store.release(intent.load_id)

    def close(self) -> None:
        """Closes all HTTP clients."""
        self._vm_agents.close()
        if self._vm_list is not None:
            self._vm_list.close()
        if self._weight_store is not None:
            self._weight_store.close()


def _unset_address_problem(name: str) -> Problem:
    """Returns the problem of a call to a service without an address."""
    return Problem(
        ErrorKind.STORE_UNAVAILABLE, f"the settings have no address of {name}"
    )
