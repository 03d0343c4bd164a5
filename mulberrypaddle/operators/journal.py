"""Keeps recent decisions by subject, to explain what was done and why."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.core.decision import Decision

MAX_SUBJECTS = 4096
MAX_DECISIONS_PER_SUBJECT = 32


class Journal:
    """A bounded memory of decisions; the oldest subject goes first."""

    __slots__ = ("_by_subject",)

    def __init__(self) -> None:
        self._by_subject: OrderedDict[str, list[Decision]] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Remembers a decision under its subject."""
        subject = decision.subject
        kept = self._by_subject.setdefault(subject, [])
        self._by_subject.move_to_end(subject)
        kept.append(decision)
        del kept[:-MAX_DECISIONS_PER_SUBJECT]
        while len(self._by_subject) > MAX_SUBJECTS:
            self._by_subject.popitem(last=False)

    def about(self, subject: str) -> list[Decision]:
        """Returns what is remembered about a subject, oldest first."""
        return list(self._by_subject.get(subject, ()))
