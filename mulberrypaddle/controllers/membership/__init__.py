"""Membership of a region's routers: a record, leases and take-over."""

from __future__ import annotations

from mulberrypaddle.controllers.membership.controller import FleetMembership
from mulberrypaddle.controllers.membership.options import (
    LEASE_SECONDS,
    SETTLE_SECONDS,
    MembershipOptions,
)

__all__ = [
    "LEASE_SECONDS",
    "SETTLE_SECONDS",
    "FleetMembership",
    "MembershipOptions",
]
