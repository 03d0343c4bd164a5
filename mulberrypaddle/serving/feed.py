"""Keeps one collection of the store current in this process.

A feed lists once, then watches. It never goes back to an older revision, also
after a list that is served stale, and it takes what another router knows when
the store does not serve this one.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS
from mulberrypaddle.serving.events_log import log_belief
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    StoredItem,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.serving.store import ObjectStore

# Pause between two looks while another router watches for this one.
REST_SECONDS = 0.1

# Pause between two looks for a collection that another router may hand over.
START_LOOK_SECONDS = 0.02

# Removals that are remembered for routers that ask what changed.
MOST_REMOVALS = 512

# First and longest pause between failed calls: an outage must not become a
# storm of calls, and its end must be seen soon.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.6


class Update:
    """What changed in a collection.

    Attributes:
        whole: Whether `changed` is the whole collection.
        changed: Objects that were made or changed.
        removed: Names of objects that were removed.
        revision: Revision that the feed stands at now.
        after_outage: Whether the store has not answered until shortly
            before.
    """

    __slots__ = ("after_outage", "changed", "removed", "revision", "whole")

    def __init__(
        self,
        changed: list[StoredItem],
        *,
        removed: list[str],
        revision: int,
        whole: bool,
        after_outage: bool,
    ) -> None:
        self.changed = changed
        self.removed = removed
        self.revision = revision
        self.whole = whole
        self.after_outage = after_outage


class Feed:
    """One collection, kept current.

    Attributes:
        collection: What it keeps.
        items: Objects by name.
        revision: Revision that they stand at; 0 before the first list.
        changed_revision: Revision of the last change that was seen.
        connected: Whether the store answered the last call.
        on_history_gone: Called when the store has dropped its history.
    """

    def __init__(
        self,
        store: ObjectStore,
        collection: Collection,
        *,
        on_update: Callable[[Update], None],
        pause_seconds: Callable[[], float],
        wait_seconds: Callable[[], float],
        may_rest: Callable[[], bool] = lambda: False,
        pause_factor: Callable[[], float] = lambda: 1.0,
        may_wait: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepares a feed.

        Args:
            store: Where the collection lies.
            collection: What to keep.
            on_update: Takes each change.
            pause_seconds: Returns how long to wait between two watches, so
                that changes come together.
            wait_seconds: Returns how long one watch waits. The store may go
                silent on a watch, so that this bounds how old the collection
                can get unnoticed.
            may_rest: Returns whether another router watches for this one.
            pause_factor: Returns the factor on the pause between failed calls.
            may_wait: Returns whether, after the start, another router may yet
                hand the collection over, so that the store need not be asked.
        """
        self._store = store
        self._on_update = on_update
        self._pause_seconds = pause_seconds
        self._wait_seconds = wait_seconds
        self._may_rest = may_rest
        self._pause_factor = pause_factor
        self._may_wait = may_wait
        self._removals: list[tuple[int, str]] = []
        self._whole_since = 0
        self._must_list = True
        self._list_asked = asyncio.Event()
        self._unheard: set[asyncio.Future[Result[Changes, Problem]]] = set()
        self._failures = 0
        self._returned_at_seconds = -RETURN_GRACE_SECONDS
        self.collection = collection
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.changed_revision = 0
        self.connected = False
        self.on_history_gone: Callable[[], None] = lambda: None

    @property
    def rests(self) -> bool:
        """Returns whether another router watches for this one now."""
        return not self._must_list and self._may_rest()

    @property
    def failed(self) -> bool:
        """Returns whether the store did not answer the last call."""
        return self._failures > 0

    @property
    def current(self) -> bool:
        """Returns whether the store has served it since it was last asked to.

        Only then may other routers rely on it.
        """
        return self.connected and not self._must_list

    def list_again(self) -> None:
        """Lists at once, also while a watch waits."""
        self._must_list = True
        self._list_asked.set()

    async def run(self) -> None:
        """Keeps the collection current until the task is cancelled."""
        while not self.revision and self._may_wait():
            await asyncio.sleep(START_LOOK_SECONDS)
        if self.revision:
            # What another router handed over is watched from there.
            self._must_list = False
        while True:
            if self.rests:
                await asyncio.sleep(REST_SECONDS)
                continue
            try:
                problem = await self._step()
            except HistoryGoneError:
                log_belief(
                    "history_gone",
                    collection=self.collection.value,
                    revision=self.revision,
                )
                self._must_list = True
                self.on_history_gone()
                continue
            if problem is None:
                self._note_connected()
                if not self._must_list:
                    await asyncio.sleep(self._pause_seconds())
                continue
            self._note_failure(problem)
            await self._pause_after_failure()

    async def _pause_after_failure(self) -> None:
        pause = min(
            LONGEST_PAUSE_SECONDS,
            FIRST_PAUSE_SECONDS * 2 ** min(self._failures, 8),
        )
        until = time.monotonic() + pause * self._pause_factor()
        # Whoever is served first tells the others, so that many need not try.
        while time.monotonic() < until and not self.rests:
            await asyncio.sleep(min(pause, REST_SECONDS))

    async def _step(self) -> Problem | None:
        if not self._must_list:
            watched = await self._watch()
            if watched is not None:
                return self._take_watched(watched)
        self._list_asked.clear()
        listed = await self._store.list(self.collection)
        if not isinstance(listed, Success):
            return listed.failure()
        self.take_listing(listed.unwrap())
        # Asked again while the answer was on its way, it is read once more.
        self._must_list = self._list_asked.is_set()
        return None

    async def _watch(self) -> Result[Changes, Problem] | None:
        """Waits for changes; returns None if a list is to go before them."""
        watch = asyncio.ensure_future(
            self._store.watch(
                self.collection,
                revision=self.revision,
                wait_seconds=self._wait_seconds(),
            )
        )
        asked = asyncio.ensure_future(self._list_asked.wait())
        try:
            await asyncio.wait(
                {watch, asked}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            watch.cancel()
            raise
        finally:
            asked.cancel()
        if watch.done():
            return watch.result()
        # A call can't be taken back; what it still says is older than the list.
        self._unheard.add(watch)
        watch.add_done_callback(self._drop_unheard)
        return None

    def _drop_unheard(
        self, watch: asyncio.Future[Result[Changes, Problem]]
    ) -> None:
        self._unheard.discard(watch)
        if watch.cancelled():
            return
        error = watch.exception()
        if error is not None and not isinstance(error, HistoryGoneError):
            log_belief(
                "watch_failed",
                collection=self.collection.value,
                reason=str(error),
            )

    def _take_watched(
        self, watched: Result[Changes, Problem]
    ) -> Problem | None:
        if not isinstance(watched, Success):
            return watched.failure()
        changes = watched.unwrap()
        if changes.revision >= self.revision:
            self._take(
                changes.changed,
                removed=changes.removed,
                revision=changes.revision,
                whole=False,
            )
        return None

    def take_listing(self, listing: Listing) -> bool:
        """Takes a whole collection, if it is not older than what is known."""
        if self.revision and listing.revision < self.revision:
            return False
        self._take(
            listing.items, removed=[], revision=listing.revision, whole=True
        )
        return True

    def _take(
        self,
        changed: list[StoredItem],
        *,
        removed: list[str],
        revision: int,
        whole: bool,
        after_outage: bool = False,
    ) -> None:
        if whole:
            names = {item.name for item in changed}
            removed = [name for name in self.items if name not in names]
        if whole:
            self._whole_since = revision
        for name in removed:
            self.items.pop(name, None)
            self._removals.append((revision, name))
        if len(self._removals) > MOST_REMOVALS:
            self._whole_since = self._removals[-MOST_REMOVALS][0]
            del self._removals[:-MOST_REMOVALS]
        for item in changed:
            self.items[item.name] = item
        self.revision = revision
        if removed:
            self.changed_revision = revision
        for item in changed:
            self.changed_revision = max(self.changed_revision, item.revision)
        if not (changed or removed or whole):
            return
        self._on_update(
            Update(
                changed,
                removed=removed,
                revision=revision,
                whole=whole,
                after_outage=after_outage or self._after_outage(),
            )
        )

    def _after_outage(self) -> bool:
        """Returns whether entries that lapsed meanwhile may yet come back."""
        ago_seconds = time.monotonic() - self._returned_at_seconds
        return self._failures > 0 or ago_seconds < RETURN_GRACE_SECONDS

    def _note_connected(self) -> None:
        if self._failures:
            self._returned_at_seconds = time.monotonic()
        if not self.connected:
            log_belief(
                "store_reached",
                collection=self.collection.value,
                revision=self.revision,
                failures=self._failures,
            )
        self.connected = True
        self._failures = 0

    def _note_failure(self, problem: Problem) -> None:
        if self.connected or self._failures == 0:
            log_belief(
                "store_lost",
                collection=self.collection.value,
                revision=self.revision,
                reason=problem.detail,
            )
        self.connected = False
        self._failures += 1

    def to_message(self, since: int) -> dict[str, Any]:
        """Returns what another router lacks.

        Args:
            since: Revision that it stands at; 0 for the whole collection.
        """
        whole = since <= 0 or since < self._whole_since
        return {
            "revision": self.revision,
            "since": since,
            "after_outage": self._after_outage(),
            "whole": whole,
            "removed": [
                name for revision, name in self._removals if revision > since
            ],
            "items": [
                {
                    "name": item.name,
                    "revision": item.revision,
                    "content": item.content,
                }
                for item in self.items.values()
                if whole or item.revision > since
            ],
        }

    def take_message(self, message: Any) -> bool:
        """Takes what another router knows of the collection.

        Returns:
            Whether it was newer than what is known here.

        Raises:
            KeyError: If a field is missing.
            TypeError: If it is no such message.
            ValueError: If a number is none.
        """
        revision = int(message["revision"])
        items = [
            StoredItem(
                str(item["name"]),
                revision=int(item["revision"]),
                content=item["content"],
            )
            for item in message["items"]
        ]
        whole = bool(message["whole"])
        if revision <= self.revision:
            return False
        if not whole and int(message["since"]) > self.revision:
            return False
        names = {item.name for item in items}
        removed = [
            str(name)
            for name in message["removed"]
            if name not in names and not whole
        ]
        self._take(
            items,
            removed=removed,
            revision=revision,
            whole=whole,
            after_outage=bool(message["after_outage"]),
        )
        return True
