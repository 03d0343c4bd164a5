"""Quarantine: requests that crash each runner that runs them."""

from __future__ import annotations

from mulberrypaddle.controllers.quarantine.controller import Quarantine
from mulberrypaddle.controllers.quarantine.types import (
    Clearance,
    ClearanceReply,
)

__all__ = ["Clearance", "ClearanceReply", "Quarantine"]
