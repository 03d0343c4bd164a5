"""Interface that decodes stored objects into the system's types."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry, ServingConfig
    from mulberrypaddle.serving.store import StoredItem


class Decoder(abc.ABC):
    """Decodes the platform's objects; unknown formats decode to None."""

    @abc.abstractmethod
    def config(self, items: list[StoredItem]) -> ServingConfig | None:
        """Returns the configuration; None if the objects hold no valid one.

        Args:
            items: All objects of the configuration collection.
        """

    @abc.abstractmethod
    def runner(
        self, item: StoredItem, *, now_seconds: float
    ) -> RunnerEntry | None:
        """Returns a runner's entry; None if the object is no usable entry.

        Args:
            item: Object of the runners collection.
            now_seconds: Loop time, from which times in the entry are counted.
        """
