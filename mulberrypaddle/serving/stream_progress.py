"""How much of a stream has reached its caller."""

from __future__ import annotations


class StreamProgress:
    """Events of one stream that were forwarded to the caller, in all attempts.

    Attributes:
        last_event_id: Id of the last forwarded event; None before the first.
        last_event_at: Loop time in seconds at which the last event was
            forwarded; 0 before the first.
        first_event_at: Loop time in seconds at which the first event was
            forwarded; 0 before that.
        longest_pause_seconds: Longest time between two forwarded events.
    """

    __slots__ = (
        "first_event_at",
        "last_event_at",
        "last_event_id",
        "longest_pause_seconds",
    )

    def __init__(self) -> None:
        self.last_event_id: int | None = None
        self.last_event_at = 0.0
        self.first_event_at = 0.0
        self.longest_pause_seconds = 0.0

    def record_event(self, event_id: int, now_seconds: float) -> None:
        """Records that an event was forwarded."""
        if self.first_event_at:
            self.longest_pause_seconds = max(
                self.longest_pause_seconds, now_seconds - self.last_event_at
            )
        else:
            self.first_event_at = now_seconds
        self.last_event_id = event_id
        self.last_event_at = now_seconds
