"""Settings that a router process reads at its start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet.deployment_limits import DeploymentLimits
    from mulberrypaddle.fleet.platform_api_settings import PlatformApiSettings


# Assumed if the settings omit the memory of the VM: that of small ones.
DEFAULT_MEMORY_MEGABYTES = 200.0


class NodeSettings:
    """Settings of one router process.

    Attributes:
        node: Name of the VM that the router runs on.
        data_centre: Data centre of the VM.
        data_centres: All data centres of the deployment, sorted.
        capacity: Capacity of the VM for work other than serving callers, such
            as relaying heartbeats: percent of a core or Mbit/s of its link,
            whichever is less.
        ip: IP address of the VM.
        caller_address: Host and port of the listener for callers.
        readiness_address: Host and port of the readiness check.
        peer_port: First port for traffic between routers, the same on every VM.
        seed_ips: IP addresses of VMs that may know the other routers.
        store_address: Address of the platform's object API, as host:port.
        first_start: Whether the whole deployment is starting for the first
            time.
        bounds: Limits of the deployment.
        memory_megabytes: Memory of the VM.
        platform_api: The platform's API for duties; None if it asks for none.
        internal_ports: First and last port that are free for traffic between
            routers on every VM.
        hedge_ratio: Share of a service's requests that may be sent to a second
            runner while the first has not answered; 0 for none.
    """

    __slots__ = (
        "bounds",
        "caller_address",
        "capacity",
        "data_centre",
        "data_centres",
        "first_start",
        "hedge_ratio",
        "internal_ports",
        "ip",
        "memory_megabytes",
        "node",
        "peer_port",
        "platform_api",
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
        bounds: DeploymentLimits,
        memory_megabytes: float = DEFAULT_MEMORY_MEGABYTES,
        platform_api: PlatformApiSettings | None = None,
        internal_ports: tuple[int, int] | None = None,
        hedge_ratio: float = 0.0,
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
        self.memory_megabytes = memory_megabytes
        self.platform_api = platform_api
        self.hedge_ratio = hedge_ratio
        self.internal_ports = internal_ports or (peer_port, peer_port)
