"""The blackboard and its typed entries.

Each entry has a single writer, a version and the time at which it was valid.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, Generic, TypeVar, cast

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.intents import Intent
    from mulberrypaddle.core.decision import Decision

T = TypeVar("T")

# Oldest decisions are discarded beyond this number.
MAX_DECISIONS = 4096


class Key(Generic[T]):
    """Identifies an entry, the type of its value and its only writer.

    Attributes:
        name: Name of the entry, unique on the board.
        writer: Name of the only controller that may write the entry.
    """

    __slots__ = ("name", "writer")

    def __init__(self, name: str, *, writer: str) -> None:
        self.name = name
        self.writer = writer


class Entry(Generic[T]):
    """A value with its version and the time at which it was valid.

    Attributes:
        value: The value last written; readers must not change it.
        version: Number of writes to this entry so far.
        fresh_at_seconds: Monotonic time at which the value was valid.
    """

    __slots__ = ("fresh_at_seconds", "value", "version")

    def __init__(self, value: T, version: int, fresh_at_seconds: float) -> None:
        self.value = value
        self.version = version
        self.fresh_at_seconds = fresh_at_seconds


class Board:
    """Shared state of one router, through which its controllers communicate.

    Attributes:
        intents: Requests for I/O, in order, until the driver takes and
            executes them.
        decisions: Decisions that the driver has not yet logged.
    """

    __slots__ = ("_entries", "decisions", "intents")

    def __init__(self) -> None:
        self._entries: dict[str, Entry[Any]] = {}
        self.intents: deque[Intent] = deque()
        self.decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def write(
        self, key: Key[T], value: T, *, writer: str, now_seconds: float
    ) -> None:
        """Replaces the value of an entry and increments its version.

        Args:
            key: Key of the entry.
            value: The new value; readers must not change it.
            writer: Name of the controller that writes.
            now_seconds: Monotonic time at which the value is valid.

        Raises:
            PermissionError: If the key belongs to another writer.
        """
        if writer != key.writer:
            raise PermissionError(
                f"controller {writer!r} may not write {key.name!r}, "
                f"which belongs to {key.writer!r}"
            )
        old = self._entries.get(key.name)
        version = 1 if old is None else old.version + 1
        self._entries[key.name] = Entry(value, version, now_seconds)

    def entry(self, key: Key[T]) -> Entry[T] | None:
        """Returns an entry of any age, or None if it was never written."""
        return cast("Entry[T] | None", self._entries.get(key.name))

    def read(
        self, key: Key[T], *, max_age_seconds: float, now_seconds: float
    ) -> T | None:
        """Returns the value of an entry, or None if it is absent or too old.

        Args:
            key: Key of the entry.
            max_age_seconds: Highest age of the value that is accepted.
            now_seconds: Current monotonic time.
        """
        entry = self.entry(key)
        if entry is None:
            return None
        if now_seconds - entry.fresh_at_seconds > max_age_seconds:
            return None
        return entry.value

    def latest(self, key: Key[T], default: T) -> T:
        """Returns the value of an entry, or `default` if never written."""
        entry = self.entry(key)
        return default if entry is None else entry.value
