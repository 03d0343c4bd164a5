"""Addresses of possible other routers, and which of them to probe."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from mulberrypaddle.fleet import NodeSettings
    from mulberrypaddle.serving.peer import Peer

# Pause between two heartbeats to an address that does not answer, and between
# two referrals to a router that searches for its relay.
PROBE_SECONDS = 1.0

# Most addresses that are probed at a time: a router that knows hundreds need
# not probe all of them.
MAX_PROBES = 16


class AddressBook:
    """Addresses of routers that the local router knows of.

    They come from the settings, the store, other routers and heartbeats.

    Attributes:
        data_centre_by_ip: Data centre of each router that the store or another
            router listed, by address.
    """

    __slots__ = (
        "_probed_at_seconds",
        "_peers",
        "_random",
        "_settings",
        "data_centre_by_ip",
    )

    def __init__(
        self,
        settings: NodeSettings,
        peers: dict[str, Peer],
        *,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._random = rng
        # Loop time of the last probe or referral, by address.
        self._probed_at_seconds: dict[str, float] = {}
        self.data_centre_by_ip: dict[str, str] = {}

    def count(self) -> int:
        """Returns the number of listed routers, the local one included."""
        return len(self.data_centre_by_ip.keys() | {self._settings.ip})

    def candidates(self, *, local_only: bool) -> set[str]:
        """Returns all addresses at which other routers may be.

        Args:
            local_only: Whether to return only those that may be in the local
                data centre.
        """
        candidates = {
            *self._settings.seed_ips,
            *self.data_centre_by_ip,
            *self._peers,
        }
        for peer in self._peers.values():
            candidates.update(peer.heartbeat.known)
        candidates.discard(self._settings.ip)
        if not local_only:
            return candidates
        return {ip for ip in candidates if self.is_local(ip)}

    def is_local(self, ip: str) -> bool:
        """Returns whether a router may be in the local data centre.

        True also if its data centre is unknown.
        """
        local_data_centre = self._settings.data_centre
        peer = self._peers.get(ip)
        if peer is not None:
            return peer.heartbeat.data_centre == local_data_centre
        return (
            self.data_centre_by_ip.get(ip, local_data_centre)
            == local_data_centre
        )

    def allow_probe(self, ip: str, now_seconds: float) -> bool:
        """Returns whether a probe or referral may be sent to an address now.

        If so, it is recorded: the address is due again after a pause.
        """
        probed_at_seconds = self._probed_at_seconds.get(ip, -PROBE_SECONDS)
        if now_seconds - probed_at_seconds < PROBE_SECONDS:
            return False
        self._probed_at_seconds[ip] = now_seconds
        return True

    def select_probes(self, ips: set[str], now_seconds: float) -> list[str]:
        """Returns addresses that are due for a probe, and records it."""
        due = sorted(
            ip
            for ip in ips
            if now_seconds - self._probed_at_seconds.get(ip, -PROBE_SECONDS)
            >= PROBE_SECONDS
        )
        if len(due) > MAX_PROBES:
            due = self._random.sample(due, MAX_PROBES)
        for ip in due:
            self._probed_at_seconds[ip] = now_seconds
        return due
