"""Interface for decoding objects of the store into the fleet's types."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry, ServingConfig
    from mulberrypaddle.serving.store import StoredItem


class Decoder(abc.ABC):
    """Decodes objects in the platform's format; invalid ones give None."""

    @abc.abstractmethod
    def decode_config(self, items: list[StoredItem]) -> ServingConfig | None:
        """Decodes the configuration; None if the objects hold no valid one.

        Args:
            items: All objects of the configuration collection.
        """

    @abc.abstractmethod
    def config_version(self, item: StoredItem) -> int | None:
        """Returns the version of the configuration that an object holds.

        The operator only raises it. None if `decode_config` gives None for the
        object, so that no version that can't be used displaces others.

        Args:
            item: Object of the configuration collection.
        """

    @abc.abstractmethod
    def decode_runner(
        self, item: StoredItem, *, now_seconds: float
    ) -> RunnerEntry | None:
        """Decodes the entry of a runner; None if the object is invalid.

        Args:
            item: Object of the runners collection.
            now_seconds: Current loop time, to which the entry's times are
                converted.
        """
