"""VMs, the platform's VM list and the weight store, all on loopback."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mulberrypaddle.core.fleet import Vm, VmState
from mulberrypaddle.standins.engine import EngineState
from mulberrypaddle.standins.vm_agent import VmAgent
from mulberrypaddle.standins.vm_list import VmListState
from mulberrypaddle.standins.vm_servers import (
    VmServerState,
    serve_vm,
    serve_vm_platform,
)
from mulberrypaddle.standins.weight_store import WeightStoreState

if TYPE_CHECKING:
    from mulberrypaddle.standins.local_server import LocalServer


class VmFleet:
    """VMs that routers form into groups.

    Attributes:
        agents: Agents by VM id.
        engines: Engines by VM id; only a group's first VM gets requests.
        list: State of the platform's VM list.
        weight_store_state: State of the weight store.
        address: `host:port` of both the VM list and the weight store.
    """

    def __init__(
        self, *, max_concurrent_loads: int = 4, list_lag_seconds: float = 0.0
    ) -> None:
        """Starts the VM list and the weight store.

        Args:
            max_concurrent_loads: Maximum of concurrent loads from the
                weight store.
            list_lag_seconds: Delay until the VM list shows a change.
        """
        self.agents: dict[str, VmAgent] = {}
        self.engines: dict[str, EngineState] = {}
        self.list = VmListState(lag_seconds=list_lag_seconds)
        self.weight_store_state = WeightStoreState(slots=max_concurrent_loads)
        platform = serve_vm_platform(self.list, self.weight_store_state)
        self.address = platform.address
        self._servers: list[LocalServer] = [platform]

    def add_vms(
        self,
        fabric_domain: str,
        count: int,
        *,
        data_centre: str,
        load_seconds: float = 0.2,
    ) -> None:
        """Starts VMs of one fabric domain and adds them to the VM list.

        Args:
            fabric_domain: Name of the fast network that the VMs share.
            count: Number of VMs.
            data_centre: Data centre of the VMs.
            load_seconds: Time to load a model on a VM.
        """
        for number in range(count):
            vm_id = f"{fabric_domain}-{number}"
            agent = VmAgent(vm_id, load_seconds=load_seconds)
            engine = EngineState(vm_id)
            self.agents[vm_id] = agent
            self.engines[vm_id] = engine
            server = serve_vm(VmServerState(agent, self.agents, engine))
            self._servers.append(server)
            vm = Vm(
                vm_id,
                address=server.address,
                data_centre=data_centre,
                fabric_domain=fabric_domain,
            )
            # Backdated by the lag, so that the list shows the VMs at once.
            listed_seconds = time.monotonic() - self.list.lag_seconds
            self.list.put(vm, now_seconds=listed_seconds)

    def kill(self, vm_id: str) -> None:
        """Stops a VM without warning; the list shows it after its lag."""
        self.agents[vm_id].kill()
        self.engines[vm_id].dead = True
        self.list.change(vm_id, VmState.GONE, now_seconds=time.monotonic())

    def started_requests(self) -> int:
        """Returns the number of distinct requests started on all VMs."""
        return sum(len(engine.runs) for engine in self.engines.values())

    async def close(self) -> None:
        """Closes every server."""
        for server in self._servers:
            await server.close()
