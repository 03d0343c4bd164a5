"""How many slots the requests for each model keep busy."""

from __future__ import annotations

import collections

# Window over which demand is measured: some shifts of traffic are seconds
# long, and a group takes seconds to form.
WINDOW_SECONDS = 3.0


class DemandMeter:
    """Sums what arrives at this router and what others told."""

    __slots__ = ("_arrivals", "_peers", "seen")

    def __init__(self) -> None:
        self._arrivals: dict[str, collections.deque[tuple[float, float]]] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self.seen = False

    def arrived(
        self, model: str, *, busy_seconds: float, now_seconds: float
    ) -> None:
        """Counts a request and the time that it will hold a slot."""
        self.seen = True
        self._arrivals.setdefault(model, collections.deque()).append(
            (now_seconds, busy_seconds)
        )

    def own_slots(self, now_seconds: float) -> dict[str, float]:
        """Returns the slots that own arrivals keep busy, by model."""
        slots: dict[str, float] = {}
        for model, arrivals in self._arrivals.items():
            while arrivals and arrivals[0][0] < now_seconds - WINDOW_SECONDS:
                arrivals.popleft()
            busy_seconds = sum(busy for _, busy in arrivals)
            slots[model] = busy_seconds / WINDOW_SECONDS
        return slots

    def take_peer(self, node: str, slots: dict[str, float]) -> None:
        """Takes the slots that another router's arrivals keep busy."""
        self._peers[node] = slots
        if any(slots.values()):
            self.seen = True

    def take_only(self, node: str, slots: dict[str, float]) -> None:
        """Takes what one message tells of all other routers."""
        self._peers.clear()
        self.take_peer(node, slots)

    def drop_peers(self) -> None:
        """Forgets what all other routers told."""
        self._peers.clear()

    def drop_peer(self, node: str) -> None:
        """Forgets a router that is gone."""
        self._peers.pop(node, None)

    def all_slots(self, now_seconds: float) -> dict[str, float]:
        """Returns the slots that all arrivals keep busy, by model."""
        total = self.own_slots(now_seconds)
        for slots in self._peers.values():
            for model, value in slots.items():
                total[model] = total.get(model, 0.0) + value
        return total
