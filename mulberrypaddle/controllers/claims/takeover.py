"""How a new owner loads a key range's log and shuts out the earlier owner.

It lists the segments, rewrites the tail unchanged (so that the earlier
owner's appends conflict) and creates the next segment (so that the earlier
owner can't start it). Each write is conditional on what was listed; any
conflict or lost answer starts the whole takeover again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from returns.result import Result, Success

from mulberrypaddle.blackboard import (
    ListObjects,
    Priority,
    StoredObject,
    WriteObject,
)
from mulberrypaddle.controllers.claims import segments
from mulberrypaddle.controllers.claims.segments import Segment
from mulberrypaddle.controllers.duties import membership
from mulberrypaddle.core.errors import Problem

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context

StoreReply = Callable[[Result[StoredObject, Problem]], None]


class Loaded:
    """A log that was taken over.

    Attributes:
        found: Earlier segments, in order.
        number: Number of the new tail.
        version: Version of the new tail.
        content: Serialised new tail, without entries.
    """

    __slots__ = ("content", "found", "number", "version")

    def __init__(
        self,
        found: list[Segment],
        *,
        number: int,
        version: int,
        content: bytes,
    ) -> None:
        self.found = found
        self.number = number
        self.version = version
        self.content = content


class Takeover:
    """One try to take over the log of one range.

    Attributes:
        started_at_seconds: Monotonic time of the first call.
    """

    __slots__ = (
        "_context",
        "_done",
        "_ended",
        "_fence",
        "_number_to_key",
        "_range",
        "_write_id",
        "started_at_seconds",
    )

    def __init__(
        self,
        context: Context,
        range_number: int,
        *,
        number_to_key: Callable[[int], str],
        write_id: str,
        fence: bool,
        done: Callable[[Loaded | None], None],
    ) -> None:
        self.started_at_seconds = context.now_seconds()
        self._context = context
        self._range = range_number
        self._number_to_key = number_to_key
        self._write_id = write_id
        self._fence = fence
        self._done = done
        self._ended = False

    def start(self) -> None:
        """Lists the segments."""
        self._context.board.intents.append(
            ListObjects(
                segments.range_prefix(self._range),
                priority=Priority.CLAIM,
                reply=self._listed,
            )
        )

    def cancel(self) -> None:
        """Ignores every reply from now on."""
        self._ended = True

    def _end(self, loaded: Loaded | None) -> None:
        if self._ended:
            return
        self._ended = True
        self._done(loaded)

    def _listed(self, result: Result[list[StoredObject], Problem]) -> None:
        if self._ended:
            return
        if not isinstance(result, Success):
            self._end(None)
            return
        found = []
        for stored in result.unwrap():
            found.append(Segment(stored))
        if not found:
            self._create(found)
            return
        if found[-1].parsed.epoch > membership(self._context).epoch:
            # The owner of a later membership was here already.
            self._end(None)
            return
        if not self._fence:
            self._create(found)
            return
        self._seal(found)

    def _seal(self, found: list[Segment]) -> None:
        tail = found[-1]

        def sealed(result: Result[StoredObject, Problem]) -> None:
            if not isinstance(result, Success):
                self._end(None)
                return
            tail.version = result.unwrap().version
            self._create(found)

        self._write(tail.key, tail.content + self._header(), tail, sealed)

    def _create(self, found: list[Segment]) -> None:
        if self._ended:
            return
        number = found[-1].number + 1 if found else 1
        content = self._header()

        def created(result: Result[StoredObject, Problem]) -> None:
            if not isinstance(result, Success):
                self._end(None)
                return
            version = result.unwrap().version
            loaded = Loaded(
                found, number=number, version=version, content=content
            )
            self._end(loaded)

        self._write(self._number_to_key(number), content, None, created)

    def _header(self) -> bytes:
        return segments.header(membership(self._context).epoch, self._write_id)

    def _write(
        self, key: str, content: bytes, old: Segment | None, reply: StoreReply
    ) -> None:
        self._context.board.intents.append(
            WriteObject(
                key,
                content,
                expected_version=0 if old is None else old.version,
                priority=Priority.CLAIM,
                reply=reply,
            )
        )
