"""Owners of duties, remembered for one membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers import duties

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.credits.terms import Protections
    from mulberrypaddle.core.ownership import Duty


class Owners:
    """Answers who owns a duty without hashing again each time."""

    __slots__ = ("_context", "_epoch", "_owners", "_protections")

    def __init__(self, context: Context, protections: Protections) -> None:
        self._context = context
        self._protections = protections
        self._epoch = -1
        self._owners: dict[str, str | None] = {}

    def owner(self, duty: Duty) -> str | None:
        """Returns the member that owns a duty by the present membership."""
        if not self._protections.shares:
            return self._context.member_id
        present = duties.membership(self._context)
        if present.epoch != self._epoch:
            self._epoch = present.epoch
            self._owners.clear()
        name = str(duty)
        if name not in self._owners:
            self._owners[name] = duties.owner(self._context, duty)
        return self._owners[name]

    def may_act(self, duty: Duty, now_seconds: float) -> bool:
        """Returns whether this router may act as the owner."""
        if not self._protections.shares:
            return True
        if self.owner(duty) != self._context.member_id:
            return False
        return duties.may_act(self._context, duty, now_seconds)
