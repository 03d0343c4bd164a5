"""Where other routers may be, and which of them are tried now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from mulberrypaddle.fleet import NodeSettings
    from mulberrypaddle.serving.peer import Peer

# Pause between beats to addresses that do not answer, and between two answers
# to a router that is looking for its relay.
KNOCK_SECONDS = 1.0

# Addresses that are tried at a time: a router that knows hundreds need not try
# all of them.
MOST_KNOCKS = 16


class Addresses:
    """Addresses of routers as far as one of them knows.

    Attributes:
        listed: Data centre of routers that others or the store named, by
            address.
    """

    __slots__ = ("_knocked_at", "_peers", "_random", "_settings", "listed")

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
        self._knocked_at: dict[str, float] = {}
        self.listed: dict[str, str] = {}

    def count(self) -> int:
        """Returns the routers that were named, this one counted."""
        return len(self.listed.keys() | {self._settings.ip})

    def known(self, *, large: bool) -> set[str]:
        """Returns addresses that may be those of other routers.

        Args:
            large: Whether only those of the own data centre are wanted.
        """
        known = {*self._settings.seed_ips, *self.listed, *self._peers}
        for peer in self._peers.values():
            known.update(peer.beat.known)
        known.discard(self._settings.ip)
        if not large:
            return known
        return {ip for ip in known if self.is_local(ip)}

    def is_local(self, ip: str) -> bool:
        """Returns whether a router may be one of the own data centre."""
        own = self._settings.data_centre
        peer = self._peers.get(ip)
        if peer is not None:
            return peer.beat.data_centre == own
        return self.listed.get(ip, own) == own

    def may_knock(self, ip: str, now_seconds: float) -> bool:
        """Returns whether an address may be tried; it counts as tried if so."""
        tried_at = self._knocked_at.get(ip, -KNOCK_SECONDS)
        if now_seconds - tried_at < KNOCK_SECONDS:
            return False
        self._knocked_at[ip] = now_seconds
        return True

    def knocks(self, ips: set[str], now_seconds: float) -> list[str]:
        """Returns some addresses that were not tried just now."""
        due = sorted(
            ip
            for ip in ips
            if now_seconds - self._knocked_at.get(ip, -KNOCK_SECONDS)
            >= KNOCK_SECONDS
        )
        if len(due) > MOST_KNOCKS:
            due = self._random.sample(due, MOST_KNOCKS)
        for ip in due:
            self._knocked_at[ip] = now_seconds
        return due
