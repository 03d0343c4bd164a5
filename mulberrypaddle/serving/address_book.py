"""Addresses at which other routers may run, and which of them to probe.

A probe is a heartbeat that is sent to an address from which none is received.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from mulberrypaddle.fleet import NodeSettings
    from mulberrypaddle.serving.peer import Peer

# Pause between two probes of an address, and between two referrals: messages
# that name the relay to a router that searches for it.
PROBE_INTERVAL_SECONDS = 1.0

# Most addresses that are probed at a time: a router that knows hundreds of them
# finds a live one without probing all.
MAX_PROBES = 16


class AddressBook:
    """Addresses of other routers, and when they were last probed.

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
        """Returns the number of routers in the list, plus the local one.

        The list is `data_centre_by_ip`.
        """
        return len(self.data_centre_by_ip.keys() | {self._settings.ip})

    def candidate_ips(self, *, local_only: bool) -> set[str]:
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
        """Returns whether the router at an address may be in this data centre.

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

        If so, the time is recorded, and the next one is allowed only after
        `PROBE_INTERVAL_SECONDS`.
        """
        probed_at_seconds = self._probed_at_seconds.get(
            ip, -PROBE_INTERVAL_SECONDS
        )
        if now_seconds - probed_at_seconds < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at_seconds[ip] = now_seconds
        return True

    def select_probes(self, ips: set[str], now_seconds: float) -> list[str]:
        """Chooses up to `MAX_PROBES` addresses to probe now.

        Addresses that were probed within `PROBE_INTERVAL_SECONDS` are left out.
        The time of the probe is recorded.
        """
        due = sorted(
            ip
            for ip in ips
            if now_seconds
            - self._probed_at_seconds.get(ip, -PROBE_INTERVAL_SECONDS)
            >= PROBE_INTERVAL_SECONDS
        )
        if len(due) > MAX_PROBES:
            due = self._random.sample(due, MAX_PROBES)
        for ip in due:
            self._probed_at_seconds[ip] = now_seconds
        return due
