"""Measures the control cost of a router as the region's fleet grows.

Runs routers with the membership and configuration controllers on a simulated
network and store. For each fleet size prints the calls of the platform's
store per second, and the bytes to peers and the processor time per second and
router, then the slopes between the smallest and the largest size. In the
baseline each router reads the configuration from the store. Processor time is
that of the controllers alone, without the network. Run as
`python -m benchmarks.control_plane_cost`.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from mulberrypaddle.controllers.configuration import ConfigurationOptions
from tests.support.configured_routers import ConfiguredRouters, document

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from mulberrypaddle.blackboard import SendToPeer
    from mulberrypaddle.controllers import Controller
    from mulberrypaddle.node import Node

SIZES = (7, 25, 50, 100)
SETTLE_SECONDS = 40.0
MEASURED_SECONDS = 20.0
STEP_SECONDS = 0.1
# The driver of a real router steps the controllers this many times as often
# as the simulation.
DRIVER_STEPS_PER_STEP = 5.0
# Framing of one message and its share of the envelope.
OVERHEAD_BYTES = 70
CHANGE_INTERVAL_SECONDS = 1.25


class Costs:
    """Totals of all routers in one run, by name of the controller.

    Attributes:
        peer_bytes: Size of the messages sent, with `OVERHEAD_BYTES` each.
        step_cpu_seconds: Processor time in `step`.
        receive_cpu_seconds: Processor time in `receive`.
    """

    __slots__ = ("peer_bytes", "receive_cpu_seconds", "step_cpu_seconds")

    def __init__(self) -> None:
        self.peer_bytes: dict[str, int] = {}
        self.step_cpu_seconds: dict[str, float] = {}
        self.receive_cpu_seconds: dict[str, float] = {}


class MeasuredFleet(ConfiguredRouters):
    """Measures the bytes sent and the processor time of each controller."""

    def __init__(self, count: int, *, spread: bool) -> None:
        self.costs = Costs()
        super().__init__(count, config=ConfigurationOptions(spread=spread))

    def check_single_owner(self) -> float:
        """Skips the check, whose cost would exceed that of the controllers."""
        return 0.0

    def start(self, member_id: str) -> Node:
        """Starts a node whose controllers are timed."""
        node = super().start(member_id)
        for controller in node.controllers:
            _time_controller(controller, self.costs)
        return node

    def send(self, sender: Node, intent: SendToPeer) -> None:
        """Counts the bytes of a message and sends it."""
        for controller in sender.controllers:
            if type(intent.message) not in controller.message_types:
                continue
            size_bytes = intent.message.ByteSize() + OVERHEAD_BYTES
            previous = self.costs.peer_bytes.get(controller.name, 0)
            self.costs.peer_bytes[controller.name] = previous + size_bytes
        super().send(sender, intent)


def _time_controller(controller: Controller, costs: Costs) -> None:
    """Wraps `step` and `receive` to add their processor time to `costs`."""
    step = controller.step
    receive = controller.receive
    name = controller.name

    def timed_step(now_seconds: float) -> None:
        started = time.process_time()
        step(now_seconds)
        spent_seconds = time.process_time() - started
        costs.step_cpu_seconds[name] = (
            costs.step_cpu_seconds.get(name, 0.0) + spent_seconds
        )

    def timed_receive(
        sender: str, message: Message, now_seconds: float
    ) -> None:
        started = time.process_time()
        receive(sender, message, now_seconds)
        spent_seconds = time.process_time() - started
        previous = costs.receive_cpu_seconds.get(name, 0.0)
        costs.receive_cpu_seconds[name] = previous + spent_seconds

    controller.step = timed_step  # type: ignore[method-assign]
    controller.receive = timed_receive  # type: ignore[method-assign]


def measure(count: int, *, spread: bool) -> dict[str, float]:
    """Returns the costs per second of one router, by name.

    Only `platform_calls` are those of all routers together, and `members` is
    the number of members that the first router knows.

    Args:
        count: Number of routers in the region.
        spread: Whether routers send configuration changes to their peers;
            otherwise each router reads them from the store.
    """
    fleet = MeasuredFleet(count, spread=spread)
    fleet.run(SETTLE_SECONDS, step_seconds=STEP_SECONDS)
    fleet.costs.__init__()  # type: ignore[misc]
    reads, writes = fleet.store.reads, fleet.store.writes
    end_seconds = fleet.clock.monotonic_seconds() + MEASURED_SECONDS
    number = 0
    while fleet.clock.monotonic_seconds() < end_seconds:
        version = fleet.version("router-1")
        text = document("out" if number % 2 == 0 else "in")
        fleet.submit("router-1", text, expected_version=version)
        number += 1
        fleet.run(CHANGE_INTERVAL_SECONDS, step_seconds=STEP_SECONDS)
    per_router = MEASURED_SECONDS * count
    figures = {
        "members": float(len(fleet.membership("router-1").members)),
        "platform_calls": (
            fleet.store.reads - reads + fleet.store.writes - writes
        )
        / MEASURED_SECONDS,
    }
    for name in ("membership", "configuration"):
        sent = fleet.costs.peer_bytes.get(name, 0)
        figures[f"{name}_bytes"] = sent / per_router
        spent_seconds = fleet.costs.step_cpu_seconds[
            name
        ] * DRIVER_STEPS_PER_STEP + fleet.costs.receive_cpu_seconds.get(
            name, 0.0
        )
        figures[f"{name}_core_percent"] = 100 * spent_seconds / per_router
    return figures


def _print_figures(count: int, variant: str, figures: dict[str, float]) -> None:
    shown = " ".join(f"{key}={value:.4f}" for key, value in figures.items())
    print(f"routers={count} way={variant} {shown}", flush=True)


def main() -> None:
    """Prints the costs of each size, and the slopes from first to last."""
    logging.disable(logging.CRITICAL)
    for variant, spread in (("each_reads", False), ("spread", True)):
        first = last = None
        for count in SIZES:
            last = measure(count, spread=spread)
            first = first or last
            _print_figures(count, variant, last)
        assert first is not None and last is not None
        for key, value in last.items():
            slope = (value - first[key]) / (SIZES[-1] - SIZES[0])
            print(f"way={variant} slope_per_router={key} value={slope:.6f}")


if __name__ == "__main__":
    main()
