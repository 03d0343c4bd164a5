"""Stand-in for the platform's weight store, which limits loads."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from mulberrypaddle.core.errors import ErrorKind, Problem

# A reservation that is not released expires after this time.
LOAD_RESERVATION_SECONDS = 1_800.0


class WeightStoreState:
    """Reservations of concurrent loads, up to a limit.

    Attributes:
        slots: Maximum of concurrent loads.
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
        """Reserves a load, or returns its existing reservation.

        Args:
            load_id: Id of the load.
            now_seconds: Monotonic time.

        Returns:
            The seconds until the reservation expires, or LIMIT_REACHED.
        """
        for known, expires_at_seconds in list(self.reserved.items()):
            if now_seconds >= expires_at_seconds:
                del self.reserved[known]
        if load_id in self.reserved:
            return Success(self.reserved[load_id] - now_seconds)
        if len(self.reserved) >= self.slots:
            return Failure(
                Problem(
                    ErrorKind.LIMIT_REACHED,
                    f"load would be number {len(self.reserved) + 1}, "
                    f"the maximum is {self.slots} concurrent loads",
                )
            )
        self.reserved[load_id] = now_seconds + LOAD_RESERVATION_SECONDS
        self.order.append(load_id)
        return Success(LOAD_RESERVATION_SECONDS)

    def release(self, load_id: str) -> None:
        """Releases a reservation; an unknown one is ignored."""
        self.reserved.pop(load_id, None)
