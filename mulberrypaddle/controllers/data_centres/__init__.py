"""Data centres that leave and return."""

from __future__ import annotations

from mulberrypaddle.controllers.data_centres.move import (
    MoveAdvice,
    ServiceMargin,
    check_move,
    reported_load,
)

__all__ = ["MoveAdvice", "ServiceMargin", "check_move", "reported_load"]
