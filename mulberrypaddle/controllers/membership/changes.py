"""Changes of the record: joining, leaving, removing the dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.controllers.membership.joins import Joins
from mulberrypaddle.controllers.membership.options import (
    JOIN_ALONE_SECONDS,
    MAX_TURNS,
    MAX_WRITE_BACKOFF_SECONDS,
    MIN_WRITE_BACKOFF_SECONDS,
    REJOIN_SECONDS,
    TURN_SECONDS,
)
from mulberrypaddle.controllers.membership.record import change_record

if TYPE_CHECKING:
    from mulberrypaddle.controllers.base import Context
    from mulberrypaddle.controllers.membership.liveness import Liveness
    from mulberrypaddle.controllers.membership.settlement import Settlement
    from mulberrypaddle.controllers.membership.store_access import RecordStore
    from mulberrypaddle.controllers.membership.view import RecordView
    from mulberrypaddle.peers.proto.membership_pb2 import MemberEntry


class RecordChanges:
    """Decides when this router writes the record.

    Attributes:
        joins: Routers that asked to be added.
    """

    def __init__(
        self,
        context: Context,
        *,
        view: RecordView,
        store: RecordStore,
        liveness: Liveness,
        settlement: Settlement,
    ) -> None:
        self.joins = Joins(view)
        self._context = context
        self._view = view
        self._store = store
        self._liveness = liveness
        self._settlement = settlement
        self._writes = 0
        self._attempts = 0
        self._next_write_seconds = 0.0
        self._join_alone_seconds: float | None = None

    def step(
        self, now_seconds: float, *, stopping: bool, stopped_acting: bool
    ) -> None:
        """Writes the record if it has to change and this router may.

        Args:
            now_seconds: Monotonic time.
            stopping: Whether this router is on its way out.
            stopped_acting: Whether it acts as an owner no more.
        """
        if now_seconds < self._next_write_seconds:
            return
        if self._store.failing(now_seconds):
            return
        if not self._store.idle(now_seconds) or not self._store.loaded:
            return
        if stopping:
            if stopped_acting and self._view.is_listed:
                self._write(
                    "leave",
                    removed=[self._view.own],
                    stopped=True,
                    now_seconds=now_seconds,
                )
            return
        if self._view.is_superseded:
            return
        if not self._view.is_listed:
            self._join(now_seconds)
            return
        self._change_others(now_seconds)

    def adopted(self, now_seconds: float, *, was_listed: bool) -> None:
        """Takes note that another record is in force."""
        if self._view.is_listed:
            self._attempts = 0
            return
        if not was_listed:
            return
        self._join_alone_seconds = None
        self._next_write_seconds = now_seconds + (
            REJOIN_SECONDS * self._context.rng.uniform(1, 2)
        )

    def asks_to_join(self, now_seconds: float) -> bool:
        """Returns whether lease holders are to add this router."""
        if self._view.is_listed or self._view.is_superseded:
            return False
        return now_seconds >= self._next_write_seconds

    def _join(self, now_seconds: float) -> None:
        """Joins a fleet whose lease holders don't do it."""
        if self._join_alone_seconds is None:
            self._join_alone_seconds = now_seconds + (
                JOIN_ALONE_SECONDS * self._context.rng.uniform(1, 2)
            )
        if self._view.members and now_seconds < self._join_alone_seconds:
            return
        own = self._view.own
        old = self._view.members.get(own.member_id)
        self._write(
            "join",
            added=[own],
            removed=[] if old is None else [old],
            now_seconds=now_seconds,
        )

    def _change_others(self, now_seconds: float) -> None:
        """Adds those who asked and removes the dead, in one write."""
        if self._first_alive(now_seconds) != self._view.own.member_id:
            return
        holders = self._view.holders
        dead = self._liveness.dead(holders, now_seconds)
        if not self._view.is_holder:
            dead = [name for name in dead if name in holders]
        added = self.joins.pending(now_seconds)
        removed = []
        for member_id in sorted({*dead, *(e.member_id for e in added)}):
            entry = self._view.members.get(member_id)
            if entry is not None:
                removed.append(entry)
        if not added and not removed:
            return
        self._write(
            "change", added=added, removed=removed, now_seconds=now_seconds
        )

    def _first_alive(self, now_seconds: float) -> str:
        """Returns the first holder that is heard; others wait in turn."""
        own_id = self._view.own.member_id
        own_position = self._view.ranked.index(own_id)
        grace_seconds = TURN_SECONDS * min(own_position, MAX_TURNS)
        for member_id in self._view.holders[:own_position]:
            if not self._liveness.is_silent(
                member_id, now_seconds, grace_seconds=grace_seconds
            ):
                return member_id
        return own_id

    def _write(
        self,
        reason: str,
        *,
        added: list[MemberEntry] | None = None,
        removed: list[MemberEntry] | None = None,
        stopped: bool = False,
        now_seconds: float,
    ) -> None:
        self._writes += 1
        self._back_off(now_seconds)
        own = self._view.own
        record = change_record(
            self._view.record,
            added=added or [],
            removed=removed or [],
            stopped=stopped,
            write_id=f"{own.member_id}/{own.incarnation}/{self._writes}",
            oldest_unsettled_epoch=self._settlement.oldest_epoch(
                self._view.epoch
            ),
        )
        self._context.decide(
            "membership",
            subject=f"epoch-{record.epoch}",
            outcome="write",
            reason=reason,
            added=",".join(entry.member_id for entry in added or []),
            removed=",".join(entry.member_id for entry in removed or []),
        )
        self._store.write(
            record,
            expected_version=self._view.version,
            now_seconds=now_seconds,
        )

    def _back_off(self, now_seconds: float) -> None:
        backoff_seconds = min(
            MAX_WRITE_BACKOFF_SECONDS,
            MIN_WRITE_BACKOFF_SECONDS * 2.0**self._attempts,
        )
        self._attempts = min(self._attempts + 1, 8)
        self._next_write_seconds = now_seconds + (
            backoff_seconds * self._context.rng.uniform(0.2, 1.0)
        )
