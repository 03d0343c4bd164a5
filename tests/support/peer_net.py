"""Routers that exchange beats in one process, without sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mulberrypaddle.serving.peer import DutyStatus
from mulberrypaddle.serving.peer_exchange import (
    HEARTBEAT_INTERVAL_SECONDS,
    PeerExchange,
)
from tests.support.front_end_harness import FrontEndHarness

if TYPE_CHECKING:
    from mulberrypaddle.serving.blackboard import Blackboard

# Millisecond counts of a lease that a test's owner tells.
LEASE_LEFT_MS = 2_000


class PlayedRouter:
    """A router's peers, and whether it lives.

    Attributes:
        ip: Address that the others send to.
        sent: Datagrams that it has sent.
        sent_bytes: Their bytes to other data centres.
        owns: Whether it owns the groups of its data centre.
    """

    def __init__(self, net: PeerNet, ip: str, data_centre: str) -> None:
        self.ip = ip
        self.data_centre = data_centre
        self.alive = True
        self.owns = False
        self.sent = 0
        self.sent_bytes = 0
        self._net = net
        self.path = FrontEndHarness()
        settings = self.path.settings
        settings.ip = ip
        settings.node = f"router-{ip}"
        settings.data_centre = data_centre
        settings.seed_ips = net.seeds
        self.peers = PeerExchange(self.board, [])
        self.peers.duty_status = self._claim
        self.peers.connection_made(self)  # type: ignore[arg-type]

    @property
    def board(self) -> Blackboard:
        """Returns its board."""
        return self.path.board

    def _claim(self) -> DutyStatus:
        if not self.owns:
            return DutyStatus()
        held = (self.peers.incarnation, 1, LEASE_LEFT_MS)
        return DutyStatus(claims={self.data_centre: held}, watches_store=True)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram, as an asyncio transport does."""
        self.sent += 1
        self._net.deliver(self, data, address[0])


class PeerNet:
    """Several data centres of routers."""

    def __init__(self, sizes: dict[str, int]) -> None:
        self.seeds: tuple[str, ...] = tuple(
            f"10.{number}.0.1" for number in range(len(sizes))
        )[:3]
        self.routers: dict[str, PlayedRouter] = {}
        for number, (data_centre, size) in enumerate(sizes.items()):
            for host in range(1, size + 1):
                ip = f"10.{number}.0.{host}"
                self.routers[ip] = PlayedRouter(self, ip, data_centre)

    def own_all(self) -> None:
        """Makes the second router of each data centre own its groups.

        Each has read the records of those that took theirs before.
        """
        told: dict[str, str] = {}
        for ip, router in self.routers.items():
            if not ip.endswith(".0.2"):
                continue
            router.owns = True
            router.peers.relays.record_reported_relays(dict(told))
            told[router.data_centre] = ip

    def of(self, data_centre: str) -> list[PlayedRouter]:
        """Returns the living routers of a data centre."""
        return [
            router
            for router in self.routers.values()
            if router.data_centre == data_centre and router.alive
        ]

    def relays(self, data_centre: str) -> list[PlayedRouter]:
        """Returns those of them that relay."""
        return [
            router
            for router in self.of(data_centre)
            if router.peers.relays.is_relay
        ]

    def deliver(self, sender: PlayedRouter, data: bytes, ip: str) -> None:
        """Hands a datagram on, if both ends live."""
        target = self.routers.get(ip)
        if target is None or not target.alive or not sender.alive:
            return
        if target.data_centre != sender.data_centre:
            sender.sent_bytes += len(data)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._receive, target, data, sender.ip)

    def _receive(self, target: PlayedRouter, data: bytes, ip: str) -> None:
        source: tuple[str | Any, int] = (ip, 0)
        if target.alive:
            target.peers.datagram_received(data, source)

    async def play(self, seconds: float) -> None:
        """Lets all routers tick for some time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for router in self.routers.values():
                if router.alive:
                    router.peers.tick()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def close(self) -> None:
        """Frees what the routers hold."""
        for router in self.routers.values():
            router.path.close()
