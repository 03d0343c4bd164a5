"""Keeps a copy of one collection of the store up to date in this process.

A feed lists the collection once, then watches it: it waits in one call after
another for the changes since its revision. It never goes back to an older
revision, even if the store returns a stale list. While the store does not
answer this router, or another router watches it on this one's behalf, the feed
is updated with messages from other routers instead.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
import math
import time
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from mulberrypaddle.core.value_checks import (
    MAX_OBJECT_LEVELS,
    is_nested_deeper,
    require_int,
    require_name,
)
from mulberrypaddle.fleet.view import RETURN_GRACE_SECONDS
from mulberrypaddle.serving.check_schedule import CheckSchedule
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    StoredItem,
)
from mulberrypaddle.serving.store_era import era_of, is_restored_between

if TYPE_CHECKING:
    from collections.abc import Callable

    from mulberrypaddle.core.errors import Problem
    from mulberrypaddle.serving.store import ObjectStore

# Pause between two checks of whether another router still watches the store on
# behalf of this one.
PASSIVE_POLL_SECONDS = 0.1

# Pause between two checks, after the start, of whether another router has sent
# the collection.
START_POLL_SECONDS = 0.02

# Removals that are remembered for routers that ask for changes.
MAX_REMOVALS = 512

# Base and upper limit of the pause after a failed call, which doubles with each
# failure in a row: an outage must not cause a storm of calls, and its end must
# be noticed soon.
RETRY_PAUSE_SECONDS = 0.1
MAX_RETRY_PAUSE_SECONDS = 0.6

# Least time between two lists that are made since copies of other routers
# contradict this one.
RELIST_SECONDS = 2.0

# Size of the checksum of a copy, which JSON has to carry exactly.
CHECKSUM_BYTES = 6


class UpdateSource(enum.Enum):
    """Where an update of a feed came from.

    Attributes:
        LIST: A list of the store.
        WATCH: A watch of the store.
        CHECK: A check of whether the store has changes that the copy lacks.
        ROUTER: A message of another router.
    """

    LIST = "list"
    WATCH = "watch"
    CHECK = "check"
    ROUTER = "router"


class FeedUpdate:
    """One update of a feed, passed to its `on_update` callback.

    Attributes:
        complete: Whether `changed` is the complete collection.
        changed: Objects that were created or changed.
        removed: Names of objects that were removed.
        revision: Revision of the feed after the update.
        after_outage: Whether the store was unavailable until shortly before,
            so that entries that expired meanwhile may come back.
        restored: Whether the store was restored from a copy since the update
            before, so that objects may be missing or older than they were.
        source: Where the update came from.
        age_seconds: Age of the copy before the update; see `Feed.age_seconds`.
    """

    __slots__ = (
        "after_outage",
        "age_seconds",
        "changed",
        "complete",
        "removed",
        "restored",
        "revision",
        "source",
    )

    def __init__(
        self,
        changed: list[StoredItem],
        *,
        removed: list[str],
        revision: int,
        complete: bool,
        after_outage: bool,
        restored: bool = False,
        source: UpdateSource = UpdateSource.LIST,
        age_seconds: float = math.inf,
    ) -> None:
        self.changed = changed
        self.removed = removed
        self.revision = revision
        self.complete = complete
        self.after_outage = after_outage
        self.restored = restored
        self.source = source
        self.age_seconds = age_seconds


class Feed:
    """An up-to-date copy of one collection of the store.

    Attributes:
        collection: Collection that it copies.
        items: Objects by name.
        revision: Revision of the copy; 0 before the first list.
        changed_revision: Highest revision at which an object of the copy is
            known to have changed; 0 before the first list.
        version: Highest version of an object in the copy; 0 if none has one.
        checksum: Checksum of the names and revisions of all objects. Copies
            with the same checksum are equal.
        confirmed_at_seconds: Monotonic time before which the store had made no
            change that the copy lacks; None if that is not known of any time.
        connected: Whether the store answered the last call; False before the
            first one.
        check_schedule: Decides when the copy is so old that the store is
            asked whether it still holds.
        on_history_gone: Called when the store no longer keeps the changes
            since `revision`.
    """

    def __init__(
        self,
        store: ObjectStore,
        collection: Collection,
        *,
        on_update: Callable[[FeedUpdate], None],
        watch_pause_seconds: Callable[[], float],
        watch_timeout_seconds: Callable[[], float],
        peer_watches: Callable[[], bool] = lambda: False,
        retry_pause_factor: Callable[[], float] = lambda: 1.0,
        check_schedule: CheckSchedule | None = None,
        may_await_handover: Callable[[], bool] = lambda: False,
        version_of: Callable[[StoredItem], int | None] = lambda item: None,
    ) -> None:
        """Creates a feed that makes no calls until `run`.

        Args:
            store: Store that holds the collection.
            collection: Collection to copy.
            on_update: Called with each update.
            watch_pause_seconds: Returns the pause between two watches, which
                lets changes arrive in batches.
            watch_timeout_seconds: Returns how long one watch waits for
                changes. The store may stop reporting on a watch, so this
                bounds how long the copy can be out of date unnoticed.
            peer_watches: Returns whether another router watches the store on
                behalf of this one, so that the feed makes no calls except for
                the first list and requested ones.
            retry_pause_factor: Returns a factor by which the pause after a
                failed call is multiplied.
            check_schedule: Decides when the copy is checked; None for the
                default.
            may_await_handover: Returns whether, after the start, another
                router may still send the collection, so that the store need
                not be asked yet.
            version_of: Returns the version of an object whose writer only
                raises it, or None if the object has no version or can't be
                used. The copy never goes back from an object that has a version
                to an older version or to none, whatever the revisions are.
        """
        self._store = store
        self._on_update = on_update
        self._watch_pause_seconds = watch_pause_seconds
        self._watch_timeout_seconds = watch_timeout_seconds
        self._peer_watches = peer_watches
        self._retry_pause_factor = retry_pause_factor
        self._may_await_handover = may_await_handover
        self._version_of = version_of
        # Revision and name of each remembered removal, the oldest first.
        self._removals: list[tuple[int, str]] = []
        # Revision from which on all removals are remembered.
        self._history_start_revision = 0
        # Whether the next call to the store must be a list.
        self._must_list = True
        self._list_requested = asyncio.Event()
        # Watches whose results will be ignored, kept until they end.
        self._abandoned_watches: set[
            asyncio.Future[Result[Changes, Problem]]
        ] = set()
        # Failed calls in a row.
        self._failures = 0
        # Watches in a row whose changes the store no longer kept.
        self._lost_histories = 0
        # Monotonic time at which the last outage of the store ended.
        self._store_back_at_seconds = -RETURN_GRACE_SECONDS
        # Whether what other routers say of the age of the copy is ignored, and
        # the monotonic time since which earlier calls prove nothing.
        self._distrusts_reports = False
        self._distrusted_at_seconds = -math.inf
        # Monotonic time at which another copy was last found to contradict.
        self._contradicted_at_seconds = -math.inf
        self.collection = collection
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.changed_revision = 0
        self.version = 0
        self.checksum = 0
        self.confirmed_at_seconds: float | None = None
        self.connected = False
        self.check_schedule = check_schedule or CheckSchedule()
        self.on_history_gone: Callable[[], None] = lambda: None

    @property
    def is_passive(self) -> bool:
        """Returns whether another router watches the store for this feed.

        The feed then makes no calls and applies that router's messages. False
        while a list must be made.
        """
        return not self._must_list and self._peer_watches()

    @property
    def failed(self) -> bool:
        """Returns whether the last call to the store failed."""
        return self._failures > 0

    def age_seconds(self) -> float:
        """Returns the time since which changes may be missing from the copy.

        It is infinite before the store has confirmed a copy.
        """
        if self.confirmed_at_seconds is None:
            return math.inf
        return time.monotonic() - self.confirmed_at_seconds

    def record_confirmed(self, at_seconds: float) -> None:
        """Records that the copy holds all changes made before some time.

        Args:
            at_seconds: Monotonic time.
        """
        if (
            self.confirmed_at_seconds is None
            or at_seconds > self.confirmed_at_seconds
        ):
            self.confirmed_at_seconds = at_seconds

    def adopt_age(self, checksum: int, *, confirmed_at_seconds: float) -> None:
        """Takes over what another router knows of the age of an equal copy.

        Args:
            checksum: Checksum of the other router's copy. Nothing is taken over
                if that of this copy is another one.
            confirmed_at_seconds: Monotonic time of this router before which the
                store had made no change that the other copy lacks.
        """
        if self._distrusts_reports or not self.revision:
            return
        if checksum == self.checksum:
            self.record_confirmed(confirmed_at_seconds)

    @property
    def is_current(self) -> bool:
        """Returns whether other routers may rely on this copy.

        That is so if the store answered the last call and no list that was
        requested is still outstanding.
        """
        return self.connected and not self._must_list

    def request_list(self) -> None:
        """Makes the feed list the collection at once.

        The result of a watch that is waiting is then ignored.
        """
        self._must_list = True
        self._list_requested.set()

    def compare_with(self, checksum: int, *, changed_revision: int) -> None:
        """Lists the collection again if another router's copy contradicts.

        Two copies in which the last change is the same one must be equal. One
        of them may lack a removal that came before.

        Args:
            checksum: Checksum of the other router's copy.
            changed_revision: Revision of the last change in that copy.
        """
        if not self.revision or changed_revision != self.changed_revision:
            return
        if checksum == self.checksum:
            return
        now_seconds = time.monotonic()
        if now_seconds - self._contradicted_at_seconds < RELIST_SECONDS:
            return
        self._contradicted_at_seconds = now_seconds
        log_state_change(
            "copies_differ",
            collection=self.collection.value,
            changed_revision=changed_revision,
            revision=self.revision,
        )
        self.request_list()

    def is_check_due(self) -> bool:
        """Returns whether the store should be asked now what the copy lacks.

        Whatever other routers claim, that depends only on the age of the copy.
        """
        return self.revision > 0 and self.check_schedule.is_due(
            self.age_seconds(), time.monotonic()
        )

    async def check(self) -> None:
        """Asks the store once which changes the copy lacks, and applies them.

        Runs beside a list or a watch, which may hang.
        """
        schedule = self.check_schedule
        sent_at_seconds = time.monotonic()
        timeout_seconds = schedule.begin()
        succeeded = False
        try:
            changes = await self._store.changes_since(
                self.collection,
                revision=self.revision,
                timeout_seconds=timeout_seconds,
                new_connection=schedule.failed,
            )
            problem = self._apply_watch_result(changes, UpdateSource.CHECK)
            if problem is None:
                succeeded = True
                self._record_answer(sent_at_seconds)
                self._record_success()
            else:
                self._record_failure(problem)
        except HistoryGoneError:
            self._log_history_gone()
            self.request_list()
            self.on_history_gone()
        except Exception:
            # The update may be missing from what follows this copy.
            self.request_list()
            raise
        finally:
            schedule.end(time.monotonic(), succeeded=succeeded)

    def distrust_reports(self) -> None:
        """Makes the store confirm the copy before other routers may do so.

        Called when this process did not run for a while: reports that have
        waited meanwhile are older than they seem.
        """
        self.confirmed_at_seconds = None
        self._distrusts_reports = True
        self._distrusted_at_seconds = time.monotonic()

    def _record_answer(self, sent_at_seconds: float) -> None:
        """Records that the store has brought or confirmed the copy.

        Args:
            sent_at_seconds: Monotonic time at which the call was sent.
        """
        if sent_at_seconds < self._distrusted_at_seconds:
            return
        self._distrusts_reports = False
        self.record_confirmed(sent_at_seconds)

    async def run(self) -> None:
        """Keeps the copy up to date until the task is cancelled."""
        while not self.revision and self._may_await_handover():
            await asyncio.sleep(START_POLL_SECONDS)
        if self.revision and not self._list_requested.is_set():
            # Another router sent the collection; watch from its revision on.
            self._must_list = False
        while True:
            if self.is_passive:
                await asyncio.sleep(PASSIVE_POLL_SECONDS)
                continue
            try:
                problem = await self._list_or_watch()
            except HistoryGoneError:
                self._log_history_gone()
                self._must_list = True
                self.on_history_gone()
                self._lost_histories += 1
                # The first list is made at once.
                if self._lost_histories > 1:
                    await self._pause(self._lost_histories - 1)
                continue
            if problem is None:
                self._record_success()
                if not self._must_list:
                    await asyncio.sleep(self._watch_pause_seconds())
                continue
            self._record_failure(problem)
            await self._pause(self._failures)

    def _log_history_gone(self) -> None:
        """Logs that the store no longer keeps the changes since `revision`."""
        log_state_change(
            "history_gone",
            collection=self.collection.value,
            revision=self.revision,
        )

    async def _pause(self, failures: int) -> None:
        """Waits before the next call; ends early once the feed is passive.

        Args:
            failures: Number of calls in a row that failed.
        """
        pause_seconds = min(
            MAX_RETRY_PAUSE_SECONDS,
            RETRY_PAUSE_SECONDS * 2 ** min(failures, 8),
        )
        until_seconds = (
            time.monotonic() + pause_seconds * self._retry_pause_factor()
        )
        # The first router that the store answers again notifies the others, so
        # that most of them need not retry.
        while time.monotonic() < until_seconds and not self.is_passive:
            await asyncio.sleep(min(pause_seconds, PASSIVE_POLL_SECONDS))

    async def _list_or_watch(self) -> Problem | None:
        """Makes one call to the store and applies its result.

        Returns:
            Why the call failed; None if it did not.

        Raises:
            HistoryGoneError: If the changes since `revision` are gone.
        """
        if not self._must_list:
            sent_at_seconds = time.monotonic()
            watched = await self._watch()
            if watched is not None:
                self._lost_histories = 0
                problem = self._apply_watch_result(watched)
                if problem is None:
                    self._record_answer(sent_at_seconds)
                return problem
        self._list_requested.clear()
        sent_at_seconds = time.monotonic()
        listed = await self._store.list(self.collection)
        if not isinstance(listed, Success):
            return listed.failure()
        if self.apply_listing(listed.unwrap()):
            self._record_answer(sent_at_seconds)
        # A list requested while this one was in flight is made next.
        self._must_list = self._list_requested.is_set()
        return None

    async def _watch(self) -> Result[Changes, Problem] | None:
        """Waits for changes; returns None if a list is requested meanwhile."""
        watch = asyncio.ensure_future(
            self._store.watch(
                self.collection,
                revision=self.revision,
                wait_seconds=self._watch_timeout_seconds(),
            )
        )
        list_requested = asyncio.ensure_future(self._list_requested.wait())
        try:
            await asyncio.wait(
                {watch, list_requested}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            watch.cancel()
            raise
        finally:
            list_requested.cancel()
        if watch.done():
            return watch.result()
        # The call can't be cancelled. Its result is ignored, since it is older
        # than the list that follows.
        self._abandoned_watches.add(watch)
        watch.add_done_callback(self._discard_abandoned_watch)
        return None

    def _discard_abandoned_watch(
        self, watch: asyncio.Future[Result[Changes, Problem]]
    ) -> None:
        """Ignores the result of an abandoned watch; logs its error, if any."""
        self._abandoned_watches.discard(watch)
        if watch.cancelled():
            return
        error = watch.exception()
        if error is not None and not isinstance(error, HistoryGoneError):
            log_state_change(
                "watch_failed",
                collection=self.collection.value,
                reason=str(error),
            )

    def _apply_watch_result(
        self,
        watched: Result[Changes, Problem],
        source: UpdateSource = UpdateSource.WATCH,
    ) -> Problem | None:
        """Applies the result of a watch or check, or returns why it failed."""
        if not isinstance(watched, Success):
            return watched.failure()
        changes = watched.unwrap()
        if changes.revision >= self.revision:
            self._apply(
                changes.changed,
                removed=changes.removed,
                revision=changes.revision,
                complete=False,
                source=source,
            )
        return None

    def apply_listing(self, listing: Listing) -> bool:
        """Replaces the copy by a complete list, unless that is older.

        Returns:
            Whether the list was applied.
        """
        if self.revision and listing.revision < self.revision:
            return False
        self._apply(
            listing.items, removed=[], revision=listing.revision, complete=True
        )
        return True

    def _apply(
        self,
        changed: list[StoredItem],
        *,
        removed: list[str],
        revision: int,
        complete: bool,
        after_outage: bool = False,
        source: UpdateSource = UpdateSource.LIST,
    ) -> None:
        """Applies changes to the copy and calls `on_update`.

        Args:
            changed: Objects that were created or changed.
            removed: Names of removed objects; ignored if `complete`.
            revision: Revision that the changes lead to.
            complete: Whether `changed` is the complete collection.
            after_outage: Whether another router sent the changes and reported
                that the store was unavailable until shortly before.
            source: Where the changes came from.
        """
        restored = is_restored_between(self.revision, revision)
        if restored:
            log_state_change(
                "restored_copy",
                collection=self.collection.value,
                era=era_of(revision),
                revision=revision,
                before=self.revision,
            )
        changed = [self._latest_version(item, revision) for item in changed]
        if complete:
            names = {item.name for item in changed}
            removed = [name for name in self.items if name not in names]
            self._history_start_revision = revision
        removed = [name for name in removed if not self._has_version(name)]
        for name in removed:
            self._drop(name)
            self._removals.append((revision, name))
        if len(self._removals) > MAX_REMOVALS:
            self._history_start_revision = self._removals[-MAX_REMOVALS][0]
            del self._removals[:-MAX_REMOVALS]
        self._put(changed)
        self.revision = revision
        if removed:
            self.changed_revision = revision
        for item in changed:
            self.changed_revision = max(self.changed_revision, item.revision)
        if not (changed or removed or complete):
            return
        self._on_update(
            FeedUpdate(
                changed,
                removed=removed,
                revision=revision,
                complete=complete,
                after_outage=after_outage or self._is_after_outage(),
                restored=restored,
                source=source,
                age_seconds=self.age_seconds(),
            )
        )

    def _drop(self, name: str) -> None:
        """Removes an object from the copy, if it is there."""
        known = self.items.pop(name, None)
        if known is not None:
            self.checksum ^= _checksum_of(known)

    def _put(self, changed: list[StoredItem]) -> None:
        """Puts objects into the copy."""
        for item in changed:
            known = self.items.get(item.name)
            if known is not None:
                self.checksum ^= _checksum_of(known)
            self.items[item.name] = item
            self.checksum ^= _checksum_of(item)
            self.version = max(self.version, self._version_of(item) or 0)

    def _has_version(self, name: str) -> bool:
        """Returns whether the copy holds an object with a version."""
        return self._known_version(name) is not None

    def _known_version(self, name: str) -> int | None:
        """Returns the version of an object in the copy, if it has one."""
        known = self.items.get(name)
        return None if known is None else self._version_of(known)

    def _latest_version(self, item: StoredItem, revision: int) -> StoredItem:
        """Returns the known object if it has a higher version, or the new one.

        An object without a version doesn't replace one that has a version.

        Args:
            item: The new object.
            revision: Revision that the feed gets with it.
        """
        known_version = self._known_version(item.name)
        if known_version is None:
            return item
        known = self.items[item.name]
        version = self._version_of(item)
        if version is None:
            return known
        if version >= known_version:
            return item
        log_state_change(
            "older_version_held_back",
            collection=self.collection.value,
            subject=item.name,
            version=version,
            known=known_version,
            revision=revision,
        )
        return known

    def _is_after_outage(self) -> bool:
        """Returns whether the store is, or was just now, unavailable.

        Entries that expired meanwhile may still come back.
        """
        ago_seconds = time.monotonic() - self._store_back_at_seconds
        return self._failures > 0 or ago_seconds < RETURN_GRACE_SECONDS

    def _record_success(self) -> None:
        """Records that the store answered a call."""
        if self._failures:
            self._store_back_at_seconds = time.monotonic()
        if not self.connected:
            log_state_change(
                "store_reached",
                collection=self.collection.value,
                revision=self.revision,
                failures=self._failures,
            )
        self.connected = True
        self._failures = 0

    def _record_failure(self, problem: Problem) -> None:
        """Records that a call to the store failed."""
        if self.connected or self._failures == 0:
            log_state_change(
                "store_lost",
                collection=self.collection.value,
                revision=self.revision,
                reason=problem.detail,
            )
        self.connected = False
        self._failures += 1

    def to_message(self, since: int) -> dict[str, Any]:
        """Returns the message that brings another router's copy up to date.

        It holds the complete collection if the removals since that router's
        revision are no longer remembered.

        Args:
            since: Revision of the other router's copy; 0 for the complete
                collection.
        """
        complete = since <= 0 or since < self._history_start_revision
        return {
            "revision": self.revision,
            "since": since,
            "after_outage": self._is_after_outage(),
            "whole": complete,
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
                if complete or item.revision > since
            ],
        }

    def apply_message(self, message: Any) -> bool:
        """Applies a message that another router made by `to_message`.

        Args:
            message: The decoded message.

        Returns:
            Whether it was applied: it must be newer than this copy and must
            not start from a later revision. Changes across a restore of the
            store are refused unless they are complete, since what the store
            has lost is no change.

        Raises:
            KeyError: If a field is missing.
            TypeError: If a list or an object has another type.
            ValueError: If another value has another type or is out of range.
        """
        revision = require_int(message["revision"])
        items = _read_items(message)
        complete = bool(message["whole"])
        if revision <= self.revision:
            return False
        if not complete:
            since = require_int(message["since"])
            if since > self.revision or era_of(since) != era_of(revision):
                return False
        names = {item.name for item in items}
        removed = [
            require_name(name)
            for name in message["removed"]
            if name not in names and not complete
        ]
        after_outage = bool(message["after_outage"])
        try:
            self._apply(
                items,
                removed=removed,
                revision=revision,
                complete=complete,
                after_outage=after_outage,
                source=UpdateSource.ROUTER,
            )
        except Exception:
            # The update may be missing from what follows this copy.
            self.request_list()
            raise
        return True

    def adopt_versions(self, message: Any) -> bool:
        """Takes over objects with higher versions from a router's message.

        A store that was restored may hold an older version than other routers
        know, at a revision that is higher than theirs. The revision of the copy
        stays as it is. Before the first list they are only kept for it.

        Args:
            message: The decoded message, made by `to_message`.

        Returns:
            Whether it held a higher version.

        Raises:
            KeyError: If a field is missing.
            TypeError: If a list or an object has another type.
            ValueError: If another value has another type or is out of range.
        """
        newer = []
        for item in _read_items(message):
            version = self._version_of(item)
            if version is None:
                continue
            known_version = self._known_version(item.name)
            if known_version is None or version > known_version:
                newer.append(item)
        if not newer:
            return False
        self._put(newer)
        if not self.revision:
            return True
        self._on_update(
            FeedUpdate(
                newer,
                removed=[],
                revision=self.revision,
                complete=False,
                after_outage=self._is_after_outage(),
                source=UpdateSource.ROUTER,
                age_seconds=self.age_seconds(),
            )
        )
        return True


def _checksum_of(item: StoredItem) -> int:
    """Returns the share of one object in the checksum of a copy."""
    text = f"{item.revision} {item.name}"
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest)


def _read_items(message: Any) -> list[StoredItem]:
    """Returns the objects of a message of `Feed.to_message`.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a list or an object has another type.
        ValueError: If another value has another type or is out of range.
    """
    return [
        StoredItem(
            require_name(item["name"]),
            revision=require_int(item["revision"]),
            content=None
            if is_nested_deeper(item["content"], MAX_OBJECT_LEVELS)
            else item["content"],
        )
        for item in message["items"]
    ]
