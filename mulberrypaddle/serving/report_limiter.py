"""Limits the log entries on objects of the store that can't be used."""

from __future__ import annotations

# Objects that are remembered; another writer may leave any number of them.
MAX_REMEMBERED = 1_024


class ReportLimiter:
    """Remembers which objects were reported, by name and revision."""

    __slots__ = ("_revisions",)

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}

    def is_new(self, name: str, revision: int) -> bool:
        """Returns whether an object was not reported; it then counts as so.

        Args:
            name: Name of the object.
            revision: Its revision; another one is reported again.
        """
        if self._revisions.pop(name, None) == revision:
            self._revisions[name] = revision
            return False
        self._revisions[name] = revision
        while len(self._revisions) > MAX_REMEMBERED:
            del self._revisions[next(iter(self._revisions))]
        return True
