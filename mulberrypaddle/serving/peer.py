"""What one router keeps of another one, and what it tells of itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mulberrypaddle.serving.beat import Beat

# Silence after which a router counts as gone.
SILENT_SECONDS = 1.0


class Peer:
    """Another router, or the sum of a data centre.

    Attributes:
        beat: What it told last.
        heard_at_seconds: When.
    """

    __slots__ = ("beat", "heard_at_seconds")

    def __init__(self, beat: Beat, heard_at_seconds: float) -> None:
        self.beat = beat
        self.heard_at_seconds = heard_at_seconds

    def is_fresh(self, now_seconds: float) -> bool:
        """Returns whether it was heard lately."""
        return now_seconds - self.heard_at_seconds <= SILENT_SECONDS


class Claim:
    """What this router tells of its duties and of the store.

    Attributes:
        claims: Own process, renewals and milliseconds left, by duty held.
        resigned: Revision up to which it has handed a duty over, by duty.
        opening: Milliseconds until a group opens, by model.
        reads: Whether it reads the store for others, and is served.
        store_sight: What it lately saw of the store.
        store_sight_age_ms: How long ago.
        asks_for_store: Whether it wants to know what others see of it.
    """

    __slots__ = (
        "asks_for_store",
        "claims",
        "opening",
        "reads",
        "resigned",
        "store_sight",
        "store_sight_age_ms",
    )

    def __init__(
        self,
        *,
        claims: dict[str, tuple[str, int, int]] | None = None,
        resigned: dict[str, int] | None = None,
        opening: dict[str, int] | None = None,
        reads: bool = False,
        store_sight: int = -1,
        store_sight_age_ms: int = 0,
        asks_for_store: bool = False,
    ) -> None:
        self.claims = claims or {}
        self.resigned = resigned or {}
        self.opening = opening or {}
        self.reads = reads
        self.store_sight = store_sight
        self.store_sight_age_ms = store_sight_age_ms
        self.asks_for_store = asks_for_store
