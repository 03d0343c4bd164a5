"""Typed entries with one writer, a version and a freshness time."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, Generic, TypeVar, cast

if TYPE_CHECKING:
    from mulberrypaddle.blackboard.intents import Intent
    from mulberrypaddle.core.decision import Decision

T = TypeVar("T")

MAX_DECISIONS = 4096


class Key(Generic[T]):
    """Names an entry, the type of its value and its only writer.

    Attributes:
        name: Unique name on the board.
        writer: The controller that may write it.
    """

    __slots__ = ("name", "writer")

    def __init__(self, name: str, *, writer: str) -> None:
        self.name = name
        self.writer = writer


class Entry(Generic[T]):
    """A value with its version and the time at which it was true.

    Attributes:
        value: What was written.
        version: Counts the writes to this entry.
        fresh_at_seconds: Monotonic time at which the value was known true.
    """

    __slots__ = ("fresh_at_seconds", "value", "version")

    def __init__(self, value: T, version: int, fresh_at_seconds: float) -> None:
        self.value = value
        self.version = version
        self.fresh_at_seconds = fresh_at_seconds


class Board:
    """Shared state of one router; controllers meet only here.

    Attributes:
        intents: Wishes for I/O, drained by the adapters.
        decisions: Decisions not yet logged, drained by the adapters.
    """

    __slots__ = ("_entries", "decisions", "intents")

    def __init__(self) -> None:
        self._entries: dict[str, Entry[Any]] = {}
        self.intents: deque[Intent] = deque()
        self.decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def write(
        self, key: Key[T], value: T, *, writer: str, now_seconds: float
    ) -> None:
        """Replaces an entry.

        Args:
            key: Which entry.
            value: The new value; readers must not change it.
            writer: Name of the controller that writes.
            now_seconds: Monotonic time at which the value is true.

        Raises:
            PermissionError: If the key belongs to another writer.
        """
        if writer != key.writer:
            raise PermissionError(
                f"got writer {writer!r} for {key.name!r}, "
                f"allowed is {key.writer!r}"
            )
        old = self._entries.get(key.name)
        version = 1 if old is None else old.version + 1
        self._entries[key.name] = Entry(value, version, now_seconds)

    def entry(self, key: Key[T]) -> Entry[T] | None:
        """Returns an entry whatever its age, or None if never written."""
        return cast("Entry[T] | None", self._entries.get(key.name))

    def read(
        self, key: Key[T], *, max_age_seconds: float, now_seconds: float
    ) -> T | None:
        """Returns a value that is fresh enough, or None.

        Args:
            key: Which entry.
            max_age_seconds: Oldest age that the reader accepts.
            now_seconds: Monotonic time of the reader.
        """
        entry = self.entry(key)
        if entry is None:
            return None
        if now_seconds - entry.fresh_at_seconds > max_age_seconds:
            return None
        return entry.value

    def latest(self, key: Key[T], default: T) -> T:
        """Returns a value whatever its age, or `default`."""
        entry = self.entry(key)
        return default if entry is None else entry.value
