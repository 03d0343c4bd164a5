"""Claims: a request that must run at most once is claimed before it is sent."""

from __future__ import annotations

from mulberrypaddle.controllers.claims.controller import Claims
from mulberrypaddle.controllers.claims.idempotency_key import (
    CLOCK_TOLERANCE_SECONDS,
    RETENTION_SECONDS,
    check_key,
    key_millis,
)
from mulberrypaddle.controllers.claims.types import (
    ClaimReply,
    ClaimStart,
    Protections,
    StoredAnswer,
)

__all__ = [
    "CLOCK_TOLERANCE_SECONDS",
    "RETENTION_SECONDS",
    "ClaimReply",
    "ClaimStart",
    "Claims",
    "StoredAnswer",
    "Protections",
    "check_key",
    "key_millis",
]
