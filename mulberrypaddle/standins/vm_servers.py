"""HTTP servers for the stand-ins of VMs, their list and the weight store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import tornado.web
from returns.result import Success

from mulberrypaddle.backends.vm_list import vm_to_json
from mulberrypaddle.backends.vm_orders import report_to_json
from mulberrypaddle.blackboard.intents import RunnerOrder
from mulberrypaddle.standins.engine import EngineState, engine_routes
from mulberrypaddle.standins.web import JsonHandler, LocalServer

if TYPE_CHECKING:
    from mulberrypaddle.standins.vm_agent import VmAgent
    from mulberrypaddle.standins.vm_list import VmListState
    from mulberrypaddle.standins.weight_store import WeightStoreState


class VmServerState:
    """One VM: its agent, the VMs around it and its engine.

    Attributes:
        agent: Takes orders.
        agents: Every VM of the fleet, by id.
        engine: Executes requests while the VM is its group's first.
    """

    def __init__(
        self, agent: VmAgent, agents: dict[str, VmAgent], engine: EngineState
    ) -> None:
        self.agent = agent
        self.agents = agents
        self.engine = engine

    def sync_engine(self) -> None:
        """Shows the agent's state in what the engine reports."""
        report = self.agent.report(time.monotonic(), self.agents.get)
        self.engine.dead = self.agent.silent
        self.engine.member_vm_ids = report.member_vm_ids
        if self.engine.generation != report.generation:
            self.engine.restart()
        self.engine.generation = report.generation


class _VmHandler(JsonHandler):
    """Knows the VM's state; a silent VM cuts every connection."""

    def initialize(self, state: VmServerState) -> None:
        """Takes the VM to serve."""
        self.state = state

    def prepare(self) -> None:
        """Cuts the connection if the VM is silent."""
        if not self.state.agent.silent:
            return
        self._finished = True
        connection = self.request.connection
        if connection is not None:
            connection.stream.close()  # type: ignore[attr-defined]


class _OrderHandler(_VmHandler):
    """Takes LOAD and STOP."""

    def post(self) -> None:
        """Answers with the confirmed generation, or refuses."""
        value = self.parse_json_body()
        result = self.state.agent.take_order(
            RunnerOrder(value["order"]),
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
    """Reports the VM's generation and phase."""

    def get(self) -> None:
        """Answers with the state of this moment."""
        agent = self.state.agent
        agent.running_requests = len(self.state.engine.running)
        report = agent.report(time.monotonic(), self.state.agents.get)
        self.send_json(200, report_to_json(report))


class _VmListHandler(JsonHandler):
    """Shows the lagging list."""

    def initialize(self, state: VmListState) -> None:
        """Takes the list to serve."""
        self.state = state

    def get(self) -> None:
        """Answers with the list, without rows if it is known."""
        if self.state.down:
            self.send_json(503, {"detail": "the list is down"})
            return
        known_version = int(self.get_query_argument("known_version", "0"))
        listed = self.state.read(known_version, now_seconds=time.monotonic())
        rows = None
        if listed.vms is not None:
            rows = [vm_to_json(vm) for vm in listed.vms]
        self.send_json(200, {"version": listed.version, "vms": rows})


class _LoadReservationHandler(JsonHandler):
    """Reserves and releases loads."""

    def initialize(self, state: WeightStoreState) -> None:
        """Takes the weight store to serve."""
        self.state = state

    def post(self, load_id: str) -> None:
        """Reserves a load, or answers that the limit is reached."""
        result = self.state.reserve(load_id, now_seconds=time.monotonic())
        if not isinstance(result, Success):
            self.send_json(429, {"detail": result.failure().detail})
            return
        self.send_json(200, {"expires_seconds": result.unwrap()})

    def delete(self, load_id: str) -> None:
        """Releases a load."""
        self.state.release(load_id)
        self.send_json(200, {})


def serve_vm(state: VmServerState, *, port: int = 0) -> LocalServer:
    """Starts one VM, agent and engine, on the loopback address."""
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
    vm_list: VmListState, weights: WeightStoreState, *, port: int = 0
) -> LocalServer:
    """Starts the list of VMs and the weight store on one address."""
    return LocalServer(
        tornado.web.Application(
            [
                (r"/vms", _VmListHandler, {"state": vm_list}),
                (r"/loads/(.+)", _LoadReservationHandler, {"state": weights}),
            ]
        ),
        port=port,
    )
