"""HTTP servers for the stand-ins of VMs, VM list and weight store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import tornado.web
from returns.result import Success

from mulberrypaddle.backends.vm_agents import report_to_json
from mulberrypaddle.backends.vm_list import vm_to_json
from mulberrypaddle.blackboard.intents import VmOrder
from mulberrypaddle.standins.engine import EngineState, engine_routes
from mulberrypaddle.standins.local_server import JsonHandler, LocalServer

if TYPE_CHECKING:
    from mulberrypaddle.standins.vm_agent import VmAgent
    from mulberrypaddle.standins.vm_list import VmListState
    from mulberrypaddle.standins.weight_store import WeightStoreState


class VmServerState:
    """One VM: its agent, its engine and the agents of the other VMs.

    Attributes:
        agent: Agent of the VM, which executes orders.
        agents: Agents of all VMs of the fleet, by VM id.
        engine: Engine of the VM; gets requests if the VM is the first of
            its group.
    """

    def __init__(
        self, agent: VmAgent, agents: dict[str, VmAgent], engine: EngineState
    ) -> None:
        self.agent = agent
        self.agents = agents
        self.engine = engine

    def sync_engine(self) -> None:
        """Copies the agent's state to the engine.

        The engine restarts if the generation changed.
        """
        report = self.agent.report(time.monotonic(), self.agents.get)
        self.engine.dead = self.agent.unresponsive
        self.engine.member_vm_ids = report.member_vm_ids
        if self.engine.generation != report.generation:
            self.engine.restart()
        self.engine.generation = report.generation


class _VmHandler(JsonHandler):
    """Base of a VM's handlers; a silent VM aborts every connection."""

    def initialize(self, state: VmServerState) -> None:
        """Sets the VM to serve; called by tornado for each request."""
        self.state = state

    def prepare(self) -> None:
        """Aborts the connection if the VM is dead or unreachable."""
        if not self.state.agent.unresponsive:
            return
        self._finished = True
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _OrderHandler(_VmHandler):
    """Receives LOAD and STOP orders."""

    def post(self) -> None:
        """Returns the confirmed generation, or 409 if the order is refused."""
        value = self.parse_json_body()
        result = self.state.agent.execute_order(
            VmOrder(value["order"]),
            generation=value["generation"],
            fencing=value["fencing"],
            vm_ids=tuple(value["vm_ids"]),
            now_seconds=time.monotonic(),
        )
        self.state.sync_engine()
        if not isinstance(result, Success):
            self.send_json(409, {"detail": result.failure().detail})
            return
        self.send_json(200, {"generation": result.unwrap()})


class _VmReportHandler(_VmHandler):
    """Serves the VM's report with its generation and phase."""

    def get(self) -> None:
        """Returns the current report."""
        agent = self.state.agent
        agent.running_requests = len(self.state.engine.running)
        report = agent.report(time.monotonic(), self.state.agents.get)
        self.send_json(200, report_to_json(report))


class _VmListHandler(JsonHandler):
    """Serves the VM list."""

    def initialize(self, state: VmListState) -> None:
        """Sets the list to serve; called by tornado for each request."""
        self.state = state

    def get(self) -> None:
        """Returns the list, without VMs if `known_version` is current."""
        if self.state.down:
            self.send_json(503, {"detail": "the VM list is unavailable"})
            return
        known_version = int(self.get_query_argument("known_version", "0"))
        listed = self.state.read(known_version, now_seconds=time.monotonic())
        rows = None
        if listed.vms is not None:
            rows = [vm_to_json(vm) for vm in listed.vms]
        self.send_json(200, {"version": listed.version, "vms": rows})


class _LoadReservationHandler(JsonHandler):
    """Reserves and releases loads from the weight store."""

    def initialize(self, state: WeightStoreState) -> None:
        """Sets the weight store; called by tornado for each request."""
        self.state = state

    def post(self, load_id: str) -> None:
        """Reserves a load, or returns 429 if the limit is reached."""
        result = self.state.reserve(load_id, now_seconds=time.monotonic())
        if not isinstance(result, Success):
            self.send_json(429, {"detail": result.failure().detail})
            return
        self.send_json(200, {"expires_seconds": result.unwrap()})

    def delete(self, load_id: str) -> None:
        """Releases the reservation of a load."""
        self.state.release(load_id)
        self.send_json(200, {})


def serve_vm(state: VmServerState, *, port: int = 0) -> LocalServer:
    """Starts the server of a VM's agent and engine on loopback."""
    arguments = {"state": state}
    return LocalServer(
        tornado.web.Application(
            [
                (r"/v1/orders", _OrderHandler, arguments),
                (r"/v1/vm-report", _VmReportHandler, arguments),
                *engine_routes(state.engine, before=state.sync_engine),
            ]
        ),
        port=port,
    )


def serve_vm_platform(
    vm_list: VmListState, weight_store_state: WeightStoreState, *, port: int = 0
) -> LocalServer:
    """Starts one server for both the VM list and the weight store."""
    return LocalServer(
        tornado.web.Application(
            [
                (r"/vms", _VmListHandler, {"state": vm_list}),
                (
                    r"/loads/(.+)",
                    _LoadReservationHandler,
                    {"state": weight_store_state},
                ),
            ]
        ),
        port=port,
    )
