"""Reads and writes of the membership record."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf import json_format
from returns.result import Success

from mulberrypaddle.blackboard import Priority, ReadObject, WriteObject
from mulberrypaddle.controllers.membership.options import (
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    POLL_SECONDS,
    REACHABLE_SECONDS,
)
from mulberrypaddle.controllers.membership.record import (
    format_record,
    parse_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.blackboard import StoredObject
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.peers.proto.membership_pb2 import MembershipRecord

    Seen = Callable[[MembershipRecord, int, float], None]

# A call without an answer for this long counts as lost.
_LOST_SECONDS = 15.0
# How long a failed call tells that the object API can't be reached.
_FAILED_SECONDS = 10.0


class RecordStore:
    """One region's record in the object API, one call at a time.

    A write is never answered by its own reply alone: whatever comes back,
    the record is read again unless the write surely took effect, so that a
    lost answer needs no case of its own.

    Attributes:
        loaded: Whether the record has been read once.
    """

    def __init__(self, context: Context, key: str, seen: Seen) -> None:
        """Prepares access to a record.

        Args:
            context: Where intents are left.
            key: Key of the record.
            seen: Called with the record, its version, and the time at which
                the call that returned it was sent.
        """
        self._context = context
        self._key = key
        self._seen = seen
        self.loaded = False
        self._calling_since: float | None = None
        self._call_number = 0
        self._failures = 0
        self._next_read_seconds = 0.0
        self._succeeded_at_seconds = float("-inf")
        self._failed_at_seconds = float("-inf")
        self._trusted_since_seconds = float("-inf")

    def idle(self, now_seconds: float) -> bool:
        """Returns whether no call is on its way."""
        if self._calling_since is None:
            return True
        return now_seconds - self._calling_since > _LOST_SECONDS

    def reachable(self, now_seconds: float) -> bool:
        """Returns whether the object API answered lately."""
        return now_seconds - self._succeeded_at_seconds <= REACHABLE_SECONDS

    def failing(self, now_seconds: float) -> bool:
        """Returns whether the latest call failed, not long ago."""
        if self._failed_at_seconds <= self._succeeded_at_seconds:
            return False
        return now_seconds - self._failed_at_seconds <= _FAILED_SECONDS

    def distrust(self, now_seconds: float) -> None:
        """Makes answers to earlier calls prove nothing any more."""
        self._trusted_since_seconds = now_seconds
        self._next_read_seconds = now_seconds

    def hurry(self, now_seconds: float) -> None:
        """Makes the next read due now, unless the calls are failing."""
        if self._failures == 0:
            self._next_read_seconds = now_seconds

    def read_if_due(self, now_seconds: float) -> None:
        """Reads the record if the last read is old."""
        if now_seconds < self._next_read_seconds or not self.idle(now_seconds):
            return
        self._context.board.intents.append(
            ReadObject(
                self._key,
                priority=Priority.FENCING,
                reply=self._begin(now_seconds, is_write=False),
            )
        )

    def write(
        self,
        record: MembershipRecord,
        *,
        expected_version: int,
        now_seconds: float,
    ) -> None:
        """Replaces the record if its version is as expected."""
        self._context.board.intents.append(
            WriteObject(
                self._key,
                format_record(record),
                expected_version=expected_version,
                priority=Priority.FENCING,
                reply=self._begin(now_seconds, is_write=True),
            )
        )

    def _begin(
        self, sent_seconds: float, *, is_write: bool
    ) -> Callable[[Result[StoredObject, Problem]], None]:
        self._calling_since = sent_seconds
        self._call_number += 1
        number = self._call_number

        def reply(result: Result[StoredObject, Problem]) -> None:
            now_seconds = self._context.now_seconds()
            if number == self._call_number:
                self._calling_since = None
            if isinstance(result, Success):
                self._succeed(result.unwrap(), sent_seconds, now_seconds)
                return
            self._fail(now_seconds, is_write=is_write)

        return reply

    def _succeed(
        self, stored: StoredObject, sent_seconds: float, now_seconds: float
    ) -> None:
        try:
            record = parse_record(stored.value)
        except json_format.ParseError:
            self._fail(now_seconds, is_write=False)
            return
        self.loaded = True
        self._failures = 0
        self._succeeded_at_seconds = now_seconds
        self._next_read_seconds = now_seconds + POLL_SECONDS
        if sent_seconds < self._trusted_since_seconds:
            self._next_read_seconds = now_seconds
            sent_seconds = float("-inf")
        self._seen(record, stored.version, sent_seconds)

    def _fail(self, now_seconds: float, *, is_write: bool) -> None:
        if is_write:
            self._next_read_seconds = now_seconds
            return
        self._failed_at_seconds = now_seconds
        backoff_seconds = min(
            MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0**self._failures
        )
        self._failures = min(self._failures + 1, 8)
        self._next_read_seconds = now_seconds + (
            backoff_seconds * self._context.rng.uniform(0.5, 1.0)
        )
