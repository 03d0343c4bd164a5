"""Keeps the records of requests that crash runners in the store.

Routers tell one another of lost runners by heartbeats, but a loss of all
routers at once would make the fleet pay for the same knowledge again. The
holder of the first duty therefore writes the records into one object of the
store. It writes only when they change, and nothing while no request has crashed
several runners. All writes are conditional: one that takes effect late fails.

After a restart the object is read once, in the background, by some routers. The
others learn of it by heartbeats, in which new losses come first.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.core.errors import Ran
from mulberrypaddle.dispatch.crash_record_codec import (
    CrashRecord,
    decode,
    encode,
    select_records,
)
from mulberrypaddle.dispatch.crash_records import LOSS_RETENTION_SECONDS
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.store import Collection

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.serving.blackboard import Blackboard
    from mulberrypaddle.serving.peer_exchange import PeerExchange
    from mulberrypaddle.serving.store import ObjectStore, StoredItem

# Name of the only object of the collection.
OBJECT_NAME = "fleet"

# Least time between two calls to the store, which is also the base of the pause
# after failures in a row, and its upper limit.
CALL_PAUSE_SECONDS = 1.0
MAX_CALL_PAUSE_SECONDS = 16.0

# Time by which a request may have come again since the last write before it is
# written again: stored records expire like those in memory, after
# `LOSS_RETENTION_SECONDS` without the request.
REFRESH_SECONDS = LOSS_RETENTION_SECONDS / 5

# Time after the start in which a heartbeat may tell that other routers have
# been running for longer, so that they know the records.
DISCOVERY_SECONDS = 0.15

# Time after the start from which the routers of a small fleet read the records
# that are not among the first `MAX_EARLY_READERS` seeds. Until then a router of
# a large fleet has heard how large it is.
SMALL_FLEET_DELAY_SECONDS = 1.0

# Seeds that read the records at once after the start, so that the other routers
# need not, in fleets of any size.
MAX_EARLY_READERS = 4

# Time after the start in which the records are read, unless calls fail.
START_SECONDS = 10.0

# Invalid records that one log entry describes at most.
_MAX_LOGGED_PROBLEMS = 3

# Losses and trials of each request: what makes records differ.
_Signature = dict[str, tuple[frozenset[str], int]]


def _signature(records: dict[str, CrashRecord]) -> _Signature:
    """Returns what a change of makes it necessary to write records."""
    return {
        key: (frozenset(record.losses), record.trials)
        for key, record in records.items()
    }


class CrashRecordStore:
    """Writes the records of this router to the store, and reads them."""

    __slots__ = (
        "_board",
        "_calls_from_seconds",
        "_create_may_be_late",
        "_failures",
        "_is_calling",
        "_is_holder",
        "_must_read",
        "_peers",
        "_revision",
        "_seen_at_seconds",
        "_started_at_seconds",
        "_store",
        "_stored",
        "_wall_seconds",
    )

    def __init__(
        self,
        board: Blackboard,
        store: ObjectStore,
        peers: PeerExchange,
        *,
        wall_seconds: Callable[[], float] = time.time,
    ) -> None:
        """Creates an object that makes no call until `tick`.

        Args:
            board: Shared state of this router.
            store: The platform's store of objects.
            peers: The other routers.
            wall_seconds: Returns the wall time, since the start of 1970.
        """
        self._board = board
        self._store = store
        self._peers = peers
        self._wall_seconds = wall_seconds
        self._started_at_seconds = board.now()
        # At the first start of a deployment the store holds no records.
        self._must_read = not board.settings.first_start
        board.crashes.remembers_answers = self._must_read
        self._is_calling = False
        self._calls_from_seconds = 0.0
        # Failed calls in a row.
        self._failures = 0
        self._is_holder = False
        # What the store is known to hold, its revision (None if there is no
        # object) and when each request was last seen; None if not known.
        self._stored: _Signature | None = None
        self._revision: int | None = None
        self._seen_at_seconds: dict[str, float] = {}
        # Whether a creation that got no answer may still take effect.
        self._create_may_be_late = False

    def tick(self, *, may_write: bool) -> None:
        """Starts a due call to the store; called at short intervals.

        Args:
            may_write: Whether this router is the one that writes the records.
        """
        now = self._board.now()
        if may_write and not self._is_holder:
            # Another router may have written since the last read.
            self._stored = None
        self._is_holder = may_write
        running_seconds = now - self._started_at_seconds
        if running_seconds >= LOSS_RETENTION_SECONDS:
            self._board.crashes.forget_answers()
        if self._is_calling or now < self._calls_from_seconds:
            return
        if self._must_read and self._is_read_due(now):
            self._start("read of crash records", self._read())
        elif may_write and self._is_write_due(now):
            self._start("write of crash records", self._write())

    def _start(self, name: str, call: Coroutine[None, None, None]) -> None:
        """Runs one call, or two, in the background."""
        self._is_calling = True
        self._board.supervisor.start(name, self._run(call))

    async def _run(self, call: Coroutine[None, None, None]) -> None:
        """Runs a call and sets when the next one may follow."""
        self._failures += 1
        try:
            await call
        finally:
            self._is_calling = False
            pause_seconds = min(
                MAX_CALL_PAUSE_SECONDS,
                CALL_PAUSE_SECONDS * 2 ** min(16, max(0, self._failures - 1)),
            )
            self._calls_from_seconds = self._board.now() + pause_seconds

    # Reading after a start.

    def _is_read_due(self, now: float) -> bool:
        """Returns whether to read the records now, at the start.

        A router that starts beside others learns the records from them. If all
        start together, some read the store: otherwise, the calls of a large
        fleet would come all at once.
        """
        running_seconds = now - self._started_at_seconds
        if running_seconds < DISCOVERY_SECONDS:
            return False
        if self._is_holder or self._peers.relays.is_relay or self._failures:
            return True
        if running_seconds >= START_SECONDS:
            self._must_read = False
            return False
        if self._peers.collections_available:
            return False
        settings = self._board.settings
        if settings.ip in sorted(settings.seed_ips)[:MAX_EARLY_READERS]:
            return True
        return (
            running_seconds >= SMALL_FLEET_DELAY_SECONDS
            and not self._peers.uses_relays
        )

    async def _read(self) -> None:
        """Reads the records and merges them into those of this router."""
        read = await self._store.read(Collection.CRASHES, OBJECT_NAME)
        if not isinstance(read, Success):
            self._handle_failure("read", read.failure())
            return
        self._failures = 0
        self._must_read = False
        item = read.unwrap()
        self._revision = None if item is None else item.revision
        self._stored = {}
        self._seen_at_seconds = {}
        if item is not None:
            self._merge(item)

    def _merge(self, item: StoredItem) -> None:
        """Merges the valid records of an object; logs the others."""
        value = self._store.value_of(item)
        problems: list[str] = []
        records: dict[str, CrashRecord] = {}
        try:
            decoded = decode(value, wall_seconds=self._wall_seconds())
            records, problems = decoded.records, decoded.problems
        except ValueError as error:
            problems = [str(error)]
        if problems:
            log_state_change(
                "crash_records_invalid",
                revision=item.revision,
                count=len(problems),
                reason="; ".join(problems[:_MAX_LOGGED_PROBLEMS]),
            )
        now = self._board.now()
        self._board.crashes.merge_stored(records, now)
        self._record_stored(records, now)
        log_state_change(
            "crash_records_read",
            revision=item.revision,
            requests=len(records),
        )

    def _record_stored(
        self, records: dict[str, CrashRecord], now: float
    ) -> None:
        """Records what the store holds."""
        self._stored = _signature(records)
        self._seen_at_seconds = {
            key: now - record.seen_age_seconds
            for key, record in records.items()
        }

    # Writing.

    def _is_write_due(self, now: float) -> bool:
        """Returns whether the store may hold other records than it should."""
        crashes = self._board.crashes
        records = select_records(crashes.to_store(now))
        if self._stored is None:
            return bool(records) or crashes.has_answered_suspects()
        if self._create_may_be_late and not records:
            return True
        if _signature(records) != self._stored:
            return True
        return any(
            now - record.seen_age_seconds - self._seen_at_seconds[key]
            >= REFRESH_SECONDS
            for key, record in records.items()
        )

    async def _write(self) -> None:
        """Writes the records, after a read if it is not known what is stored.

        What was read is merged first. A request that was answered after its
        losses is not taken over again.
        """
        if self._stored is None:
            await self._read()
            if self._stored is None or not self._is_write_due(
                self._board.now()
            ):
                return
        now = self._board.now()
        records = select_records(self._board.crashes.to_store(now))
        value = encode(records, wall_seconds=self._wall_seconds())
        revision = self._revision
        written = await (
            self._store.create(Collection.CRASHES, OBJECT_NAME, value)
            if revision is None
            else self._store.replace(
                Collection.CRASHES, OBJECT_NAME, value, revision=revision
            )
        )
        if not isinstance(written, Success):
            problem = written.failure()
            self._create_may_be_late |= (
                revision is None and problem.ran is not Ran.NOT_RUN
            )
            self._stored = None
            self._handle_failure("write", problem)
            return
        self._failures = 0
        self._create_may_be_late = False
        self._revision = written.unwrap().revision
        self._record_stored(records, now)
        log_state_change(
            "crash_records_written",
            revision=self._revision,
            requests=len(records),
        )

    def _handle_failure(self, call: str, problem: Problem) -> None:
        """Logs a call that failed. It is repeated after a pause."""
        log_state_change(
            "crash_records_call_failed",
            call=call,
            kind=problem.kind.value,
            reason=problem.detail,
            failures=self._failures,
        )
