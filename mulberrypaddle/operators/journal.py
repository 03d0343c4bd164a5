"""Stores recent decisions by subject, so that operators can query them."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.decision import Decision

# Limits of the memory used.
MAX_SUBJECTS = 4096
MAX_DECISIONS_PER_SUBJECT = 32


class Journal:
    """A bounded store of decisions.

    The subject whose last decision is the oldest is removed first.
    """

    __slots__ = ("_decisions_by_subject",)

    def __init__(self) -> None:
        self._decisions_by_subject: OrderedDict[str, list[Decision]] = (
            OrderedDict()
        )

    def add(self, decision: Decision) -> None:
        """Stores a decision under its subject."""
        subject = decision.subject
        kept = self._decisions_by_subject.setdefault(subject, [])
        self._decisions_by_subject.move_to_end(subject)
        kept.append(decision)
        del kept[:-MAX_DECISIONS_PER_SUBJECT]
        while len(self._decisions_by_subject) > MAX_SUBJECTS:
            self._decisions_by_subject.popitem(last=False)

    def decisions_about(self, subject: str) -> list[Decision]:
        """Returns the stored decisions about a subject, oldest first."""
        return list(self._decisions_by_subject.get(subject, ()))
