"""The HTTP server for callers, operators and the load balancer."""

from __future__ import annotations

from mulberrypaddle.frontdoor.door import FrontDoor
from mulberrypaddle.frontdoor.server import serve_front_door

__all__ = ["FrontDoor", "serve_front_door"]
