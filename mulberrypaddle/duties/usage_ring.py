"""The ring of records in the store, as one router knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from mulberrypaddle.duties.usage_record import UsageRecord, slot_name
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.store import Collection
from mulberrypaddle.serving.store_era import era_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.serving.store import ObjectStore, StoredItem


class RingSlot:
    """Last known state of one object of the ring.

    Attributes:
        revision: Its revision; None if it does not exist.
        window: Window of its record; -1 if that has another length. Of an
            unreadable object the one in which it was first read, as it may have
            held the record of any before.
        record: The record that it proves; None if there is none.
    """

    __slots__ = ("record", "revision", "window")

    def __init__(
        self,
        revision: int | None,
        window: int = -1,
        record: UsageRecord | None = None,
    ) -> None:
        self.revision = revision
        self.window = window
        self.record = record


class UsageRing:
    """Reads and conditionally writes the records of the ring.

    Attributes:
        era: Latest known era of the store; 0 if unknown.
        era_seen_at_seconds: Steady time at which this router first knew of it.
        slots: Last known state of the objects, by name.
    """

    __slots__ = (
        "_now",
        "_present_window",
        "_store",
        "_window_seconds",
        "era",
        "era_seen_at_seconds",
        "slots",
    )

    def __init__(
        self,
        store: ObjectStore,
        *,
        now: Callable[[], float],
        present_window: Callable[[], int],
        window_seconds: float,
    ) -> None:
        """Creates a ring of which nothing is known yet.

        Args:
            store: The platform's store of objects.
            now: Returns the steady time in seconds.
            present_window: Returns the number of the present window; -1 if
                unknown.
            window_seconds: Length of a window.
        """
        self._window_seconds = window_seconds
        self._store = store
        self._now = now
        self._present_window = present_window
        self.era = 0
        self.era_seen_at_seconds = 0.0
        self.slots: dict[str, RingSlot] = {}

    def observe_era(self, era: int) -> None:
        """Records an era that the store is known to have reached."""
        if era > self.era:
            self.era = era
            self.era_seen_at_seconds = self._now()

    def slot(self, window: int) -> RingSlot:
        """Returns the state of the object that holds a window."""
        return self.slots.get(slot_name(window), RingSlot(None))

    def has_earlier_record(self, window: int) -> bool:
        """Returns whether a window before the given one was decided."""
        return any(
            slot.revision is not None and slot.window < window
            for slot in self.slots.values()
        )

    async def read_all(self) -> Problem | None:
        """Reads all objects; returns the problem if that failed."""
        listed = await self._store.list(Collection.USAGE)
        if not isinstance(listed, Success):
            return listed.failure()
        listing = listed.unwrap()
        self.observe_era(era_of(listing.revision))
        self.slots = {
            item.name: self._parse_slot(item) for item in listing.items
        }
        return None

    async def read(self, window: int) -> bool:
        """Reads the object of a window; returns whether that was possible."""
        name = slot_name(window)
        result = await self._store.read(Collection.USAGE, name)
        if not isinstance(result, Success):
            return False
        item = result.unwrap()
        self.slots[name] = (
            RingSlot(None) if item is None else self._parse_slot(item)
        )
        return True

    async def write(self, record: UsageRecord) -> Problem | None:
        """Writes a record if its object is as it was read last.

        Returns:
            The problem if it failed, or may have.
        """
        name = slot_name(record.window)
        result = await self._write(name, self.slot(record.window), record)
        if not isinstance(result, Success):
            return result.failure()
        item = result.unwrap()
        era = era_of(item.revision)
        self.observe_era(era)
        self.slots[name] = RingSlot(
            item.revision, record.window, record if record.era == era else None
        )
        return None

    async def _write(
        self, name: str, slot: RingSlot, record: UsageRecord
    ) -> Result[StoredItem, Problem]:
        """Writes a record if the slot is as it was read last."""
        value = record.to_value()
        if slot.revision is None:
            return await self._store.create(Collection.USAGE, name, value)
        return await self._store.replace(
            Collection.USAGE, name, value, revision=slot.revision
        )

    def _parse_slot(self, item: StoredItem) -> RingSlot:
        """Returns the state of an object that was read."""
        era = era_of(item.revision)
        self.observe_era(era)
        try:
            record = UsageRecord.from_value(self._store.value_of(item))
        except ValueError as error:
            return self._unreadable_slot(item, error)
        if record.window_seconds != self._window_seconds:
            # Its number stands for another time.
            return RingSlot(item.revision)
        # A record of another era than its object's may contradict one that a
        # restore has undone.
        is_proof = record.era == era
        return RingSlot(
            item.revision, record.window, record if is_proof else None
        )

    def _unreadable_slot(self, item: StoredItem, error: ValueError) -> RingSlot:
        """Returns the state of an object that is no record."""
        known = self.slots.get(item.name)
        if known is not None and known.revision == item.revision:
            return known
        log_state_change(
            "usage_record_unreadable", object=item.name, reason=str(error)
        )
        return RingSlot(item.revision, self._present_window())
