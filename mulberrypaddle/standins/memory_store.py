"""In-memory stand-in for the platform's object store, with faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from mulberrypaddle.blackboard.intents import StoredObject
from mulberrypaddle.core.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES = 1_000_000


class MemoryStore:
    """Objects with versions, conditional writes and change notification.

    Attributes:
        down: While true, every call fails and has no effect.
        lost_responses_remaining: How many of the next successful writes take
            effect but return OUTCOME_UNKNOWN, as if the response were lost.
        reads: Number of calls to `read` and `list`.
        writes: Number of calls to `write` and `delete`.
    """

    def __init__(self) -> None:
        self.down = False
        self.lost_responses_remaining = 0
        self.reads = 0
        self.writes = 0
        self._objects: dict[str, StoredObject] = {}
        self._version = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Returns the version of the latest write or deletion in the store."""
        return self._version

    def read(self, key: str) -> Result[StoredObject, Problem]:
        """Returns one object; a missing one has version zero and no value."""
        self.reads += 1
        if self.down:
            return Failure(_store_unavailable())
        return Success(self._objects.get(key) or StoredObject(key, b"", 0))

    def list(
        self, prefix: str, *, after_version: int = 0
    ) -> Result[list[StoredObject], Problem]:
        """Returns objects below a prefix, sorted by key.

        Args:
            prefix: Start of the keys.
            after_version: Only objects with a higher version are returned.
        """
        self.reads += 1
        if self.down:
            return Failure(_store_unavailable())
        found = []
        for key in sorted(self._objects):
            stored = self._objects[key]
            if key.startswith(prefix) and stored.version > after_version:
                found.append(stored)
        return Success(found)

    def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Writes an object if its version is `expected_version`.

        Args:
            key: Key of the object.
            value: Content, at most MAX_VALUE_BYTES.
            expected_version: Zero if the object must not exist yet.

        Returns:
            The written object, or STORE_UNAVAILABLE, TOO_LARGE, CONFLICT or
            OUTCOME_UNKNOWN.
        """
        self.writes += 1
        if self.down:
            return Failure(_store_unavailable())
        if len(value) > MAX_VALUE_BYTES:
            return Failure(
                Problem(
                    ErrorKind.TOO_LARGE,
                    f"value of {len(value)} bytes exceeds the maximum of "
                    f"{MAX_VALUE_BYTES}",
                )
            )
        conflict = self._version_conflict(key, expected_version)
        if conflict is not None:
            return Failure(conflict)
        self._version += 1
        stored = StoredObject(key, value, self._version)
        self._objects[key] = stored
        return self._finish_write(stored)

    def delete(
        self, key: str, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Deletes an object if its version is `expected_version`."""
        self.writes += 1
        if self.down:
            return Failure(_store_unavailable())
        conflict = self._version_conflict(key, expected_version)
        if conflict is not None:
            return Failure(conflict)
        self._version += 1
        self._objects.pop(key, None)
        return self._finish_write(StoredObject(key, b"", 0))

    def add_write_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after each write or deletion."""
        self._listeners.append(listener)

    def _version_conflict(
        self, key: str, expected_version: int
    ) -> Problem | None:
        """Returns CONFLICT if the version is not the expected one."""
        known = self._objects.get(key)
        version = 0 if known is None else known.version
        if version == expected_version:
            return None
        return Problem(
            ErrorKind.CONFLICT,
            f"got expected version {expected_version} for {key}, "
            f"present is {version}",
        )

    def _finish_write(
        self, stored: StoredObject
    ) -> Result[StoredObject, Problem]:
        """Notifies the listeners and returns the result of a write."""
        for listener in list(self._listeners):
            listener()
        if self.lost_responses_remaining <= 0:
            return Success(stored)
        self.lost_responses_remaining -= 1
        return Failure(
            Problem(
                ErrorKind.OUTCOME_UNKNOWN, "the response to the write was lost"
            )
        )


def _store_unavailable() -> Problem:
    return Problem(ErrorKind.STORE_UNAVAILABLE, "the object API is down")
