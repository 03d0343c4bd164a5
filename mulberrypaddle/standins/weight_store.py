"""The stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem

LOAD_RESERVATION_SECONDS = 1_800.0


class WeightStoreState:
    """Reservations for loads, at most a few at once.

    Attributes:
        slots: Most loads at once.
        reserved: Expiry of each reservation in monotonic seconds, by load id.
        order: Load ids in the order in which they were first reserved.
    """

    def __init__(self, *, slots: int = 4) -> None:
        self.slots = slots
        self.reserved: dict[str, float] = {}
        self.order: list[str] = []

    def reserve(
        self, load_id: str, *, now_seconds: float
    ) -> Result[float, Problem]:
        """Returns the seconds that a load may take, or LIMIT_REACHED."""
        for known, expires_at_seconds in list(self.reserved.items()):
            if now_seconds >= expires_at_seconds:
                del self.reserved[known]
        if load_id in self.reserved:
            return Success(self.reserved[load_id] - now_seconds)
        if len(self.reserved) >= self.slots:
            return Failure(
                Problem(
                    ErrorKind.LIMIT_REACHED,
                    f"got {len(self.reserved) + 1} loads, "
                    f"allowed are {self.slots}",
                )
            )
        self.reserved[load_id] = now_seconds + LOAD_RESERVATION_SECONDS
        self.order.append(load_id)
        return Success(LOAD_RESERVATION_SECONDS)

    def release(self, load_id: str) -> None:
        """Ends a reservation."""
        self.reserved.pop(load_id, None)
