"""A runner that a request left before its answer, and may return to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.fleet import RunnerEntry


class SilentRunner:
    """A runner that the request left since it sent nothing.

    Attributes:
        entry: Its entry when the request was sent to it.
        left_at_seconds: Loop time at which the request left it.
    """

    __slots__ = ("entry", "left_at_seconds")

    def __init__(self, entry: RunnerEntry, left_at_seconds: float) -> None:
        self.entry = entry
        self.left_at_seconds = left_at_seconds
