"""A store on virtual time, and the path of each router to it."""

from __future__ import annotations

import asyncio
import enum
import json
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    ObjectStore,
    StoredItem,
)

if TYPE_CHECKING:
    from collections.abc import Callable

# Time of a call to the store and back, and the times after which the platform's
# client gives up a call that gets no answer.
ANSWER_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 1.5
WATCH_SLACK_SECONDS = 0.8


class PathState(enum.Enum):
    """What happens to the calls of one router.

    Attributes:
        UP: They are answered.
        BUSY: They are refused.
        RESET: Their connections are reset.
        SILENT: They get no answer, nor do those that wait as it begins.
        HALF_SILENT: Every other call gets no answer.
        DEAF: Watches that wait as it begins get no answer; other calls do.
    """

    UP = "up"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    HALF_SILENT = "half_silent"
    DEAF = "deaf"


class VirtualStore:
    """Objects by collection, and their history.

    Attributes:
        revision: Revision of the last change.
        calls: Number of calls that reached the store.
        history_seconds: Time for which changes are kept.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.calls = 0
        self.history_seconds = 20.0
        # Loop time and revision of each change, the oldest first.
        self._times: list[tuple[float, int]] = []
        self._items: dict[tuple[Collection, str], StoredItem] = {}
        self._history: list[tuple[Collection, StoredItem]] = []
        self._changed = asyncio.Event()

    def put(self, collection: Collection, name: str, content: Any) -> None:
        """Writes an object with the content in the platform's format."""
        self.revision += 1
        content = json.loads(json.dumps(content))
        item = StoredItem(name, revision=self.revision, content=content)
        self._items[collection, name] = item
        self._history.append((collection, item))
        now = asyncio.get_running_loop().time()
        self._times.append((now, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    def get(self, collection: Collection, name: str) -> StoredItem | None:
        """Returns an object, or None."""
        return self._items.get((collection, name))

    def list(self, collection: Collection) -> Listing:
        """Returns all objects of a collection."""
        items = [
            item
            for (kind, _), item in self._items.items()
            if kind is collection
        ]
        return Listing(items, revision=self.revision)

    def changes(self, collection: Collection, since: int) -> Changes:
        """Returns the changes of a collection since a revision.

        Raises:
            HistoryGoneError: If there were later ones so long ago that they
                are no longer kept.
        """
        oldest = asyncio.get_running_loop().time() - self.history_seconds
        if any(at < oldest and late > since for at, late in self._times):
            raise HistoryGoneError(f"no changes since {since}")
        changed = {
            item.name: item
            for kind, item in self._history
            if kind is collection and item.revision > since
        }
        return Changes(
            list(changed.values()), removed=[], revision=self.revision
        )

    async def wait_for_change(self) -> None:
        """Returns after the next change of any object."""
        await self._changed.wait()


class StorePath(ObjectStore):
    """The store as one router reaches it."""

    def __init__(self, store: VirtualStore) -> None:
        self._store = store
        self._state = PathState.UP
        self._count = 0
        # Set when calls that wait get no answer any more.
        self._lost = asyncio.Event()
        # Loop time since which all calls are answered.
        self.sound_since_seconds = 0.0

    @property
    def state(self) -> PathState:
        """Returns what happens to the calls."""
        return self._state

    @state.setter
    def state(self, state: PathState) -> None:
        if state is not PathState.UP and state is not self._state:
            self._lost.set()
            self._lost = asyncio.Event()
        self._state = state
        self.sound_since_seconds = asyncio.get_running_loop().time()

    @property
    def is_sound(self) -> bool:
        """Returns whether calls that begin now are answered."""
        return self._state in (PathState.UP, PathState.DEAF)

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        """Returns all objects of a collection."""
        return await self._call(
            lambda: Success(self._store.list(collection)), CALL_TIMEOUT_SECONDS
        )

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        """Waits for changes after a revision."""
        loop = asyncio.get_running_loop()
        timeout_seconds = wait_seconds + WATCH_SLACK_SECONDS
        lost = self._lost
        started_at = loop.time()
        problem = await self._reach(timeout_seconds)
        if problem is not None:
            return Failure(problem)
        until = loop.time() + wait_seconds
        while True:
            changes = self._store.changes(collection, revision)
            left_seconds = until - loop.time()
            if changes.changed or left_seconds <= 1e-6 or lost.is_set():
                break
            waits = [
                asyncio.ensure_future(self._store.wait_for_change()),
                asyncio.ensure_future(lost.wait()),
            ]
            await asyncio.wait(
                waits,
                timeout=left_seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for wait in waits:
                wait.cancel()
        await asyncio.sleep(ANSWER_SECONDS / 2)
        if not lost.is_set():
            return Success(changes)
        if self._state is PathState.RESET:
            return Failure(_problem("connection reset"))
        await asyncio.sleep(started_at + timeout_seconds - loop.time())
        return Failure(_problem("no answer in time"))

    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
    ) -> Result[Changes, Problem]:
        """Returns the changes after a revision at once."""
        return await self._call(
            lambda: Success(self._store.changes(collection, revision)),
            timeout_seconds,
        )

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        """Returns an object, or None."""
        return await self._call(
            lambda: Success(self._store.get(collection, name)),
            CALL_TIMEOUT_SECONDS,
        )

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        """Creates an object."""

        def write() -> Result[StoredItem, Problem]:
            if self._store.get(collection, name) is not None:
                return Failure(Problem(ErrorKind.CONFLICT, name))
            return self._put(collection, name, value)

        return await self._call(write, CALL_TIMEOUT_SECONDS)

    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        """Replaces an object, if its revision is the expected one."""

        def write() -> Result[StoredItem, Problem]:
            old = self._store.get(collection, name)
            if old is None:
                return Failure(Problem(ErrorKind.NOT_FOUND, name))
            if revision not in (None, old.revision):
                return Failure(Problem(ErrorKind.CONFLICT, name))
            return self._put(collection, name, value)

        return await self._call(write, CALL_TIMEOUT_SECONDS)

    def value_of(self, item: StoredItem) -> Any:
        """Returns the value that was written."""
        return item.content["spec"]

    def _put(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        self._store.put(collection, name, {"spec": value})
        item = self._store.get(collection, name)
        assert item is not None
        return Success(item)

    async def _call(
        self, work: Callable[[], Any], timeout_seconds: float
    ) -> Any:
        """Runs a call at the store; its answer may get lost."""
        started_at = asyncio.get_running_loop().time()
        lost = self._lost
        problem = await self._reach(timeout_seconds)
        if problem is not None:
            return Failure(problem)
        result = work()
        await asyncio.sleep(ANSWER_SECONDS / 2)
        if lost.is_set() and self._state is not PathState.DEAF:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(started_at + timeout_seconds - now)
            return Failure(_problem("no answer in time"))
        return result

    async def _reach(self, timeout_seconds: float) -> Problem | None:
        """Waits until the store runs a call; returns the problem if not."""
        self._count += 1
        self._store.calls += 1
        state = self._state
        if state is PathState.SILENT or (
            state is PathState.HALF_SILENT and self._count % 2
        ):
            await asyncio.sleep(timeout_seconds)
            return _problem("no answer in time")
        await asyncio.sleep(ANSWER_SECONDS / 2)
        if state is PathState.BUSY:
            return _problem("status 503")
        if state is PathState.RESET:
            return _problem("connection reset")
        return None


def _problem(detail: str) -> Problem:
    """Returns the problem of a call that failed."""
    return Problem(ErrorKind.STORE_UNAVAILABLE, detail, ran=Ran.UNKNOWN)
