"""Quarantine: requests that crash each runner that runs them."""

from __future__ import annotations

from mulberrypaddle.controllers.quarantine.controller import (
    Clearance,
    ClearanceReply,
    Quarantine,
)

__all__ = ["Clearance", "ClearanceReply", "Quarantine"]
