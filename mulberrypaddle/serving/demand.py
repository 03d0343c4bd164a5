"""Measures how many slots the requests for each model keep busy."""

from __future__ import annotations

import collections

# Window over which demand is averaged: some traffic shifts last only seconds,
# and a group takes seconds to form.
WINDOW_SECONDS = 3.0


class DemandMeter:
    """Measures this router's demand and adds the demand of other routers.

    Demand is a number of slots: the busy time of the requests that arrived
    within the window, divided by the window.

    Attributes:
        any_demand_seen: Whether any demand was measured or reported yet.
    """

    __slots__ = ("_arrivals", "_peer_slots", "any_demand_seen")

    def __init__(self) -> None:
        self._arrivals: dict[str, collections.deque[tuple[float, float]]] = {}
        self._peer_slots: dict[str, dict[str, float]] = {}
        self.any_demand_seen = False

    def record_arrival(
        self, model: str, *, busy_seconds: float, now_seconds: float
    ) -> None:
        """Records a request and how long it is expected to hold a slot."""
        self.any_demand_seen = True
        self._arrivals.setdefault(model, collections.deque()).append(
            (now_seconds, busy_seconds)
        )

    def local_slots(self, now_seconds: float) -> dict[str, float]:
        """Returns this router's demand in slots, by model."""
        slots: dict[str, float] = {}
        for model, arrivals in self._arrivals.items():
            while arrivals and arrivals[0][0] < now_seconds - WINDOW_SECONDS:
                arrivals.popleft()
            busy_seconds = sum(busy for _, busy in arrivals)
            slots[model] = busy_seconds / WINDOW_SECONDS
        return slots

    def apply_peer_report(self, node: str, slots: dict[str, float]) -> None:
        """Records the demand that another router reported.

        Args:
            node: Name of the router.
            slots: Its demand in slots, by model.
        """
        self._peer_slots[node] = slots
        if any(slots.values()):
            self.any_demand_seen = True

    def replace_peer_reports(self, node: str, slots: dict[str, float]) -> None:
        """Replaces all routers' reports by one that aggregates them.

        Args:
            node: Name under which the aggregate is stored.
            slots: Demand of all other routers in slots, by model.
        """
        self._peer_slots.clear()
        self.apply_peer_report(node, slots)

    def drop_peer_reports(self) -> None:
        """Removes the reports of all other routers."""
        self._peer_slots.clear()

    def remove_peer_report(self, node: str) -> None:
        """Removes the report of a router that has left."""
        self._peer_slots.pop(node, None)

    def total_slots(self, now_seconds: float) -> dict[str, float]:
        """Returns the demand of all routers in slots, by model."""
        total = self.local_slots(now_seconds)
        for slots in self._peer_slots.values():
            for model, value in slots.items():
                total[model] = total.get(model, 0.0) + value
        return total
