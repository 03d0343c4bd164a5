"""The narrow base of a store of objects with revisions and watches."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from returns.result import Result

    from mulberrypaddle.core.errors import Problem


class Collection(enum.Enum):
    """What the store keeps for the system."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    RUNNERS = "runners"
    ROUTERS = "routers"
    DUTIES = "duties"


class StoredItem:
    """One object of a collection.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
        content: Decoded JSON of the object; its form is the platform's.
    """

    __slots__ = ("content", "name", "revision")

    def __init__(self, name: str, *, revision: int, content: Any) -> None:
        self.name = name
        self.revision = revision
        self.content = content


class Listing:
    """A whole collection at one revision."""

    __slots__ = ("items", "revision")

    def __init__(self, items: list[StoredItem], *, revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes:
    """What happened to a collection between two revisions.

    Attributes:
        changed: Objects that were made or changed, the newest state of each.
        removed: Names of objects that were removed.
        revision: Revision to watch from next.
    """

    __slots__ = ("changed", "removed", "revision")

    def __init__(
        self,
        changed: list[StoredItem],
        *,
        removed: list[str],
        revision: int,
    ) -> None:
        self.changed = changed
        self.removed = removed
        self.revision = revision


class HistoryGoneError(Exception):
    """The changes since a revision are no longer kept; list again."""


class ObjectStore(abc.ABC):
    """Reads, watches and conditionally writes objects."""

    @abc.abstractmethod
    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        """Returns a whole collection.

        Args:
            collection: What to list.
            may_be_stale: Whether seconds-old content will do.
        """

    @abc.abstractmethod
    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        """Waits for changes after a revision.

        Raises:
            HistoryGoneError: If the changes are no longer kept.
        """

    @abc.abstractmethod
    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        """Returns one object, or None if there is none."""

    @abc.abstractmethod
    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        """Makes an object; CONFLICT if it exists."""

    @abc.abstractmethod
    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        """Replaces an object, under a condition on its revision if given.

        Returns:
            The object; CONFLICT if its revision is another one;
            STORE_UNAVAILABLE if it was surely not written; OUTCOME_UNKNOWN.
        """

    @abc.abstractmethod
    def value_of(self, item: StoredItem) -> Any:
        """Returns the value that the system wrote into an object."""
