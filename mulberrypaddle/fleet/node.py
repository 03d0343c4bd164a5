"""What one router process is told about itself at its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.bounds import Bounds


class NodeSettings:
    """Settings of one router process.

    Attributes:
        node: Name of the VM.
        data_centre: Data centre of the VM.
        data_centres: All data centres of the deployment, sorted.
        capacity: Fitness of the VM for duties beside its callers: percent of
            a core or Mbit/s of its link, whichever is less.
        ip: Address of the VM.
        caller_address: Where callers connect, as host and port.
        readiness_address: Where readiness is asked, as host and port.
        peer_port: First port for traffic between routers, on every VM.
        seed_ips: VMs that may know the other routers.
        store_address: Platform's object API, as host:port.
        first_start: Whether the whole system starts for the first time.
        bounds: Bounds of the deployment.
    """

    __slots__ = (
        "bounds",
        "caller_address",
        "capacity",
        "data_centre",
        "data_centres",
        "first_start",
        "ip",
        "node",
        "peer_port",
        "readiness_address",
        "seed_ips",
        "store_address",
    )

    def __init__(
        self,
        *,
        node: str,
        data_centre: str,
        data_centres: tuple[str, ...],
        capacity: int,
        ip: str,
        caller_address: tuple[str, int],
        readiness_address: tuple[str, int],
        peer_port: int,
        seed_ips: tuple[str, ...],
        store_address: str,
        first_start: bool,
        bounds: Bounds,
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self.data_centres = data_centres
        self.capacity = capacity
        self.ip = ip
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_port = peer_port
        self.seed_ips = seed_ips
        self.store_address = store_address
        self.first_start = first_start
        self.bounds = bounds
