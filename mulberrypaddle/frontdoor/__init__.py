"""The HTTP server for callers, operators and the load balancer."""

from __future__ import annotations

from mulberrypaddle.frontdoor.server import serve_front_door
from mulberrypaddle.frontdoor.shared_state import FrontDoorState

__all__ = ["FrontDoorState", "serve_front_door"]
