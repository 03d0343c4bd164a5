"""Links between routers: one gRPC stream per pair and direction."""

from __future__ import annotations

import os

# gRPC writes its own lines to standard error unless told before its import.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

from mulberrypaddle.peers.links import PeerLinks  # noqa: E402

__all__ = ["PeerLinks"]
