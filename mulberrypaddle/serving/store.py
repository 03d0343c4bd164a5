"""Interface of a store of objects with revisions and watches.

The platform implements it. Each write of an object gives it a higher revision,
and writes can be made conditional on the revision that they replace.
"""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from mulberrypaddle.core.errors import Problem


class Collection(enum.Enum):
    """Collections of objects that the system keeps in the store.

    Attributes:
        CONFIGURATION: Objects that make up the configuration in force.
        EVACUATIONS: Data centres that are evacuated, by name.
        RUNNERS: Entries of the live runners.
        ROUTERS: Addresses of the routers.
        DUTIES: Lease objects of the duties, by data centre.
        USAGE: Decided counts of usage windows; a ring of objects.
        CRASHES: Requests that crash runners.
    """

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    RUNNERS = "runners"
    ROUTERS = "routers"
    DUTIES = "duties"
    USAGE = "usage"
    CRASHES = "crashes"


class StoredItem:
    """One object of a collection.

    Attributes:
        name: Name of the object.
        revision: Revision of its last change.
        content: Decoded JSON of the object, in the platform's format.
    """

    __slots__ = ("content", "name", "revision")

    def __init__(self, name: str, *, revision: int, content: Any) -> None:
        self.name = name
        self.revision = revision
        self.content = content


class Listing:
    """All objects of a collection at one revision.

    Attributes:
        items: The objects.
        revision: Revision at which the collection was listed.
    """

    __slots__ = ("items", "revision")

    def __init__(self, items: list[StoredItem], *, revision: int) -> None:
        self.items = items
        self.revision = revision


class Changes:
    """Changes of a collection between two revisions.

    Attributes:
        changed: Objects that were created or changed, in their latest state.
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
    """The store no longer keeps the changes since a revision; list again."""


def _ignore() -> None:
    """Does nothing."""


class ObjectStore(abc.ABC):
    """Reads, watches and conditionally writes objects.

    Attributes:
        on_restored: Called when a call shows that the store was restored from a
            copy since the call before.
    """

    on_restored: Callable[[], None] = staticmethod(_ignore)

    @abc.abstractmethod
    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        """Returns all objects of a collection.

        Args:
            collection: Collection to list.
            may_be_stale: Whether the store may return a state that is some
                seconds old.
        """

    @abc.abstractmethod
    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        """Waits for changes after a revision.

        Args:
            collection: Collection to watch.
            revision: Revision of the last list or watch.
            wait_seconds: Longest time to wait; the result is empty if nothing
                changed by then.

        Raises:
            HistoryGoneError: If the changes are no longer kept.
        """

    @abc.abstractmethod
    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
    ) -> Result[Changes, Problem]:
        """Returns the changes after a revision at once, also if there are none.

        Args:
            collection: Collection to read.
            revision: Revision of the last list or watch.
            timeout_seconds: Time within which the answer must be complete.
            new_connection: Whether to use a new connection; kept ones may be
                dead.

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
        """Creates an object; fails with CONFLICT if it exists."""

    @abc.abstractmethod
    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        """Replaces an object, if its revision is the expected one.

        Args:
            collection: Collection of the object.
            name: Name of the object.
            value: New value.
            revision: Expected revision; None to replace any revision.

        Returns:
            The object as written; or a failure: CONFLICT if the object has
            another revision, STORE_UNAVAILABLE if it was certainly not
            written, OUTCOME_UNKNOWN if it may have been written.
        """

    @abc.abstractmethod
    def value_of(self, item: StoredItem) -> Any:
        """Returns the value that was given to `create` or `replace`.

        Args:
            item: Object that one of them wrote.

        Returns:
            The value; None if the object was written in another form.
        """
