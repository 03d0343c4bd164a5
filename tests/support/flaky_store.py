"""A store whose writes lose their responses at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result

from mulberrypaddle.core.errors import ErrorKind, Problem
from mulberrypaddle.standins.memory_store import MemoryStore

if TYPE_CHECKING:
    import random

    from mulberrypaddle.blackboard import StoredObject


class FlakyStore(MemoryStore):
    """Memory store whose writes sometimes end with OUTCOME_UNKNOWN.

    Attributes:
        lost_response_share: Fraction of writes whose response is lost, 0 to 1.
        applied_share: Fraction of these that take effect nevertheless.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        lost_response_share: float = 0.0,
        applied_share: float = 0.5,
    ) -> None:
        super().__init__()
        self.lost_response_share = lost_response_share
        self.applied_share = applied_share
        self._rng = rng

    def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> Result[StoredObject, Problem]:
        """Writes an object; may lose the write or only its response."""
        if self._rng.random() >= self.lost_response_share:
            return super().write(key, value, expected_version=expected_version)
        if self._rng.random() < self.applied_share:
            super().write(key, value, expected_version=expected_version)
        return Failure(
            Problem(
                ErrorKind.OUTCOME_UNKNOWN, "the response to the write was lost"
            )
        )
