"""Reads what is new in the object API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.blackboard import ListObjects, Priority
from mulberrypaddle.controllers.configuration.options import (
    CONFIG_PREFIX,
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    POLL_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.errors import Problem

# A call without an answer for this long counts as lost.
_LOST_SECONDS = 15.0


class ConfigReader:
    """Lists the configuration's objects, the later ones after the first time.

    Attributes:
        listed: Whether all objects have been read once.
        answered_at_seconds: When the latest answered call was sent.
    """

    def __init__(
        self,
        context: Context,
        seen: Callable[[list[StoredObject]], None],
    ) -> None:
        self.listed = False
        self.answered_at_seconds = float("-inf")
        self._context = context
        self._seen = seen
        # Only what the object API listed counts here: a version learned
        # from a peer does not tell of the versions before it.
        self._listed_version = 0
        self._calling_since: float | None = None
        self._failures = 0
        self._next_read_seconds = 0.0

    def hurry(self, now_seconds: float) -> None:
        """Makes the next read due now."""
        self._next_read_seconds = now_seconds

    def read_if_due(self, now_seconds: float) -> None:
        """Reads if the last read is old and no call is on its way."""
        if now_seconds < self._next_read_seconds:
            return
        if (
            self._calling_since is not None
            and now_seconds - self._calling_since < _LOST_SECONDS
        ):
            return
        self._calling_since = now_seconds

        def listed(result: Result[list[StoredObject], Problem]) -> None:
            self._take(result, now_seconds)

        self._context.board.intents.append(
            ListObjects(
                CONFIG_PREFIX,
                after_version=self._listed_version,
                priority=Priority.CONFIG,
                reply=listed,
            )
        )

    def _take(
        self, result: Result[list[StoredObject], Problem], sent_seconds: float
    ) -> None:
        now_seconds = self._context.now_seconds()
        self._calling_since = None
        if not isinstance(result, Success):
            self._next_read_seconds = now_seconds + self._backoff_seconds()
            return
        self._failures = 0
        self._next_read_seconds = now_seconds + POLL_SECONDS
        self.answered_at_seconds = sent_seconds
        self.listed = True
        objects = result.unwrap()
        for stored in objects:
            self._listed_version = max(self._listed_version, stored.version)
        self._seen(objects)

    def _backoff_seconds(self) -> float:
        backoff_seconds = min(
            MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0**self._failures
        )
        self._failures = min(self._failures + 1, 8)
        return backoff_seconds * self._context.rng.uniform(0.5, 1.0)
