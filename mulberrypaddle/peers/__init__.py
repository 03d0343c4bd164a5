"""Connections between routers: one gRPC stream per pair and direction."""

from __future__ import annotations

import os

# gRPC reads this variable at import; by default it logs to standard error.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

from mulberrypaddle.peers.links import PeerLinks  # noqa: E402

__all__ = ["PeerLinks"]
