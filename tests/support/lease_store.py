"""A store of lease objects whose writes can be lost or take effect late.

It can be restored from a copy, as the platform's store may be.
"""

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
    Listing,
    ObjectStore,
    StoredItem,
)
from mulberrypaddle.serving.store_era import (
    FIRST_ERA,
    era_of,
    make_revision,
    store_revision_of,
)

if TYPE_CHECKING:
    import random

# Time for which a call waits for an answer, and for an answer that comes.
CALL_TIMEOUT_SECONDS = 1.5
ANSWER_SECONDS = 0.004

# Bounds of the time after which a late write takes effect.
LATE_SECONDS = (0.2, 6.0)


class LinkState(enum.Enum):
    """What happens to the calls of one process to the store.

    Attributes:
        UP: They are answered.
        BUSY: They are refused and have no effect.
        SILENT: They get no answer and have no effect.
        UNANSWERED_WRITES: Writes take effect and get no answer.
        LOST_WRITES: Writes get no answer and have no effect.
        LATE_WRITES: Writes get no answer and take effect later.
    """

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"
    UNANSWERED_WRITES = "unanswered_writes"
    LOST_WRITES = "lost_writes"
    LATE_WRITES = "late_writes"


class LeaseObjects:
    """Objects of the store; a write that changes nothing keeps the revision.

    Revisions are those of the store itself.

    Attributes:
        revision: Revision of the last change of any object.
        era: Era of the store.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.era = FIRST_ERA
        self._items: dict[str, StoredItem] = {}
        # States of the store in the order of their times.
        self._copies = [(0.0, self.revision, dict(self._items))]

    def restore(self, age_seconds: float) -> None:
        """Goes back to the state of some time ago and begins a new era."""
        now = asyncio.get_running_loop().time()
        while len(self._copies) > 1 and self._copies[-1][0] > now - age_seconds:
            self._copies.pop()
        _, self.revision, items = self._copies[-1]
        self._items = dict(items)
        self.era += 1

    def items(self) -> list[StoredItem]:
        """Returns all objects."""
        return list(self._items.values())

    def get(self, name: str) -> StoredItem | None:
        """Returns an object, or None if there is none."""
        return self._items.get(name)

    def write(
        self, name: str, value: Any, *, create: bool, revision: int | None
    ) -> Result[StoredItem, Problem]:
        """Creates or replaces an object, if its revision is the expected."""
        old = self._items.get(name)
        if create:
            if old is not None:
                return Failure(Problem(ErrorKind.CONFLICT, name))
        elif old is None:
            return Failure(Problem(ErrorKind.NOT_FOUND, name))
        elif revision not in (None, old.revision):
            return Failure(Problem(ErrorKind.CONFLICT, name))
        content = json.loads(json.dumps(value))
        if old is not None and old.content == content:
            return Success(old)
        self.revision += 1
        item = StoredItem(name, revision=self.revision, content=content)
        self._items[name] = item
        now = asyncio.get_running_loop().time()
        self._copies.append((now, self.revision, dict(self._items)))
        return Success(item)


class LeaseStore(ObjectStore):
    """The store as one process reaches it.

    It orders revisions by the era, as the client of the platform's store does.

    Attributes:
        state: What happens to the calls.
    """

    def __init__(self, objects: LeaseObjects, rng: random.Random) -> None:
        self._objects = objects
        self._rng = rng
        # Era of the last answer.
        self._era = FIRST_ERA
        self.state = LinkState.UP

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        """Returns all objects."""
        problem = await self._find_problem()
        if problem is not None:
            return Failure(problem)
        era = self._objects.era
        items = [_in_era(item, era) for item in self._objects.items()]
        revision = make_revision(self._objects.revision, era)
        problem = await self._await_answer(era)
        if problem is not None:
            return Failure(problem)
        return Success(Listing(items, revision=revision))

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        """Not needed for leases."""
        raise NotImplementedError

    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
    ) -> Result[Changes, Problem]:
        """Not needed for leases."""
        raise NotImplementedError

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        """Returns an object, or None if there is none."""
        problem = await self._find_problem()
        if problem is not None:
            return Failure(problem)
        era = self._objects.era
        item = self._objects.get(name)
        problem = await self._await_answer(era)
        if problem is not None:
            return Failure(problem)
        return Success(None if item is None else _in_era(item, era))

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        """Creates an object."""
        return await self._write(name, value, create=True, revision=None)

    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        """Replaces an object, if its revision is the expected one."""
        return await self._write(name, value, create=False, revision=revision)

    def value_of(self, item: StoredItem) -> Any:
        """Returns the value that was written."""
        return item.content

    async def _write(
        self, name: str, value: Any, *, create: bool, revision: int | None
    ) -> Result[StoredItem, Problem]:
        """Writes an object as the state of the link allows."""
        if revision is not None and era_of(revision) < self._era:
            return Failure(Problem(ErrorKind.CONFLICT, name))
        state = self.state
        problem = await self._find_problem()
        if problem is not None:
            return Failure(problem)

        def execute() -> Result[StoredItem, Problem]:
            return self._objects.write(
                name,
                value,
                create=create,
                revision=(
                    None if revision is None else store_revision_of(revision)
                ),
            )

        if state is LinkState.LATE_WRITES:
            asyncio.get_running_loop().call_later(
                self._rng.uniform(*LATE_SECONDS), execute
            )
        elif state is not LinkState.LOST_WRITES:
            era = self._objects.era
            result = execute()
            if state is LinkState.UP:
                problem = await self._await_answer(era)
                if problem is not None:
                    return Failure(problem)
                if revision is not None and era_of(revision) != era:
                    return Failure(Problem(ErrorKind.CONFLICT, name))
                return result.map(lambda item: _in_era(item, era))
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        return Failure(_no_answer())

    async def _await_answer(self, era: int) -> Problem | None:
        """Waits for an answer; returns the problem if its era has ended."""
        await asyncio.sleep(ANSWER_SECONDS / 2)
        if era < self._era:
            return _no_answer()
        self._era = era
        return None

    async def _find_problem(self) -> Problem | None:
        """Waits until the store runs a call; returns the problem if not."""
        if self.state is LinkState.SILENT:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            return _no_answer()
        await asyncio.sleep(ANSWER_SECONDS / 2)
        if self.state is LinkState.BUSY:
            return Problem(ErrorKind.STORE_UNAVAILABLE, "busy", ran=Ran.NOT_RUN)
        return None


def _in_era(item: StoredItem, era: int) -> StoredItem:
    """Returns an object with the revision that stands for its own one."""
    return StoredItem(
        item.name,
        revision=make_revision(item.revision, era),
        content=item.content,
    )


def _no_answer() -> Problem:
    """Returns the problem of a call that got no answer in time."""
    return Problem(
        ErrorKind.STORE_UNAVAILABLE, "no answer in time", ran=Ran.UNKNOWN
    )
