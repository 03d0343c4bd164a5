"""Links between routers: one gRPC stream per pair and direction."""

from __future__ import annotations

from mulberrypaddle.peers.links import PeerLinks

__all__ = ["PeerLinks"]
