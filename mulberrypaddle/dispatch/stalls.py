"""Detection of stalled streams and of stalled heads.

A head is the member of a group of runners that receives its requests. A head
whose group lost a member keeps accepting requests and answers none of them. To
a request that waits in its queue, a full head looks the same. Therefore a full
head is suspected only because of streams that have started, and a queued
request is given more time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Silence of a head after which it is suspected and its group is checked, as a
# multiple of its longest recent pause between two events of a stream. Reading a
# long prompt delays the events of all streams.
SUSPECT_AFTER_PAUSES = 2.0

# Bounds on that silence, and its value before any pause was observed.
MIN_SUSPECT_AFTER_SECONDS = 0.2
MAX_SUSPECT_AFTER_SECONDS = 0.8
DEFAULT_SUSPECT_AFTER_SECONDS = 0.4

# Part of the longest recent pause that is kept with each further event: some
# tens of events halve it.
PAUSE_KEPT_FRACTION = 0.98

# Silence of a head after which its streams move to another head. Even a runner
# five times slower than the others makes a pass in less time; a caller leaves
# after two seconds.
STALL_SECONDS = 1.0

# Silence before the first event after which a request moves away from a head
# with a free slot.
FIRST_EVENT_STALL_SECONDS = 1.2

# The same for a head that is full: the request waits in its queue, and a caller
# leaves after two seconds.
QUEUED_STALL_SECONDS = 1.8

# The same for a head on which other streams have stalled.
SUSPECTED_STALL_SECONDS = 0.5


class HeadProgress:
    """When heads last sent an event, and how long their streams pause.

    Covers the streams of this router. Times are monotonic, in seconds.
    """

    __slots__ = ("_last_event_at", "_longest_pause_seconds")

    def __init__(self) -> None:
        self._last_event_at: dict[str, float] = {}
        # Longest recent pause between two events of a stream, by head.
        self._longest_pause_seconds: dict[str, float] = {}

    def record_event(
        self, runner_id: str, *, pause_seconds: float | None, now_seconds: float
    ) -> None:
        """Records an event of a stream.

        Args:
            runner_id: The head that sent it.
            pause_seconds: Time since the event before in the same stream; None
                for the first.
            now_seconds: Monotonic time.
        """
        self._last_event_at[runner_id] = now_seconds
        if pause_seconds is None:
            return
        longest = self._longest_pause_seconds.get(runner_id, 0.0)
        self._longest_pause_seconds[runner_id] = max(
            pause_seconds, longest * PAUSE_KEPT_FRACTION
        )

    def last_event_at(self, runner_id: str) -> float:
        """Returns when a head last sent an event; 0 if it never did."""
        return self._last_event_at.get(runner_id, 0.0)

    def suspect_after_seconds(self, runner_id: str) -> float:
        """Returns the silence after which a head is suspected."""
        longest = self._longest_pause_seconds.get(runner_id)
        if longest is None:
            return DEFAULT_SUSPECT_AFTER_SECONDS
        return min(
            MAX_SUSPECT_AFTER_SECONDS,
            max(MIN_SUSPECT_AFTER_SECONDS, SUSPECT_AFTER_PAUSES * longest),
        )

    def retain_only(self, runner_ids: Iterable[str]) -> None:
        """Drops the records of all heads except the given ones."""
        known = set(runner_ids)
        for kept in (self._last_event_at, self._longest_pause_seconds):
            for runner_id in list(kept):
                if runner_id not in known:
                    del kept[runner_id]


def silence_limit_seconds(
    *, has_events: bool, is_suspected: bool, queued: bool
) -> float:
    """Returns the silence after which a stream moves to another head.

    Args:
        has_events: Whether the stream has received an event from this head.
        is_suspected: Whether other streams of the head have stalled.
        queued: Whether the head has more requests than slots.
    """
    if has_events:
        return STALL_SECONDS
    if is_suspected:
        return SUSPECTED_STALL_SECONDS
    return QUEUED_STALL_SECONDS if queued else FIRST_EVENT_STALL_SECONDS


def is_head_stalled(
    *,
    silent_seconds: float,
    has_events: bool,
    queued: bool,
    suspect_after_seconds: float = DEFAULT_SUSPECT_AFTER_SECONDS,
) -> bool:
    """Returns whether the silence of a head indicates that it has stalled.

    Args:
        silent_seconds: Time since this router last received an event from the
            head, over all streams.
        has_events: Whether the stream has received an event from this head.
        queued: Whether the head has more requests than slots.
        suspect_after_seconds: Silence after which a head with started streams
            is suspected; see `HeadProgress`.
    """
    if has_events:
        return silent_seconds >= suspect_after_seconds
    return not queued and silent_seconds >= FIRST_EVENT_STALL_SECONDS
