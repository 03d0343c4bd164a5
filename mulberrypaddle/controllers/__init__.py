"""Controllers: the decisions of a router, free of I/O."""

from __future__ import annotations

from mulberrypaddle.controllers.base import Context, Controller

__all__ = ["Context", "Controller"]
