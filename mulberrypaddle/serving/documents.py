"""The narrow base that turns stored objects into the product's types."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry, ServingConfig
    from mulberrypaddle.serving.store import StoredItem


class Decoder(abc.ABC):
    """Reads what the platform keeps; objects of other forms name nothing."""

    @abc.abstractmethod
    def config(self, items: list[StoredItem]) -> ServingConfig | None:
        """Returns the configuration, or None if it can't be read."""

    @abc.abstractmethod
    def runner(
        self, item: StoredItem, *, now_seconds: float
    ) -> RunnerEntry | None:
        """Returns a runner, or None if the entry names none to use."""
