"""Owners of pools; a benchmark can let every router own all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers import duties

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.credits.terms import Protections
    from mulberrypaddle.core.rendezvous import Duty


class Owners:
    """Answers who owns a pool and whether this router may grant of it."""

    __slots__ = ("_context", "_protections")

    def __init__(self, context: Context, protections: Protections) -> None:
        self._context = context
        self._protections = protections

    def owner(self, duty: Duty) -> str | None:
        """Returns the member that owns a duty by the present membership."""
        if not self._protections.shares:
            return self._context.member_id
        return duties.owner(self._context, duty)

    def may_act(self, duty: Duty, now_seconds: float) -> bool:
        """Returns whether this router may act as the owner."""
        if not self._protections.shares:
            return True
        return duties.may_act(self._context, duty, now_seconds)
