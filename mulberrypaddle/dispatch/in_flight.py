"""Number of requests in flight at each runner, summed over all routers."""

from __future__ import annotations

# Age at which the counts of a router that no longer reports are dropped; ten
# exchanges between routers.
PEER_COUNTS_TTL_SECONDS = 1.0


class _PeerCounts:
    """Counts reported by another router.

    Attributes:
        counts: Requests that it has in flight, by runner id.
        received_at_seconds: Monotonic time at which they were received.
    """

    __slots__ = ("counts", "received_at_seconds")

    def __init__(
        self, counts: dict[str, int], received_at_seconds: float
    ) -> None:
        self.counts = counts
        self.received_at_seconds = received_at_seconds


class InFlightCounts:
    """Requests in flight at each runner.

    Those of this router are exact, those of other routers as last reported.
    """

    __slots__ = ("_local", "_peers", "_peer_totals")

    # Counts by runner id, summed over the other routers; None when they have to
    # be recomputed.
    _peer_totals: dict[str, int] | None

    def __init__(self) -> None:
        self._local: dict[str, int] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._peer_totals = None

    @property
    def local_counts(self) -> dict[str, int]:
        """Returns this router's counts by runner id, without zeros."""
        return self._local

    def add_request(self, runner_id: str) -> None:
        """Adds a request of this router to the count of its runner."""
        self._local[runner_id] = self._local.get(runner_id, 0) + 1

    def remove_request(self, runner_id: str) -> None:
        """Removes a finished request of this router from its runner's count."""
        remaining = self._local.get(runner_id, 0) - 1
        if remaining > 0:
            self._local[runner_id] = remaining
        else:
            self._local.pop(runner_id, None)

    def apply_peer_report(
        self, node: str, counts: dict[str, int], *, now_seconds: float
    ) -> None:
        """Replaces the counts of another router.

        Args:
            node: Name of the router.
            counts: Requests that it has in flight, by runner id.
            now_seconds: Monotonic time.
        """
        self._peers[node] = _PeerCounts(counts, now_seconds)
        self._peer_totals = None

    def has_report(self, node: str) -> bool:
        """Returns whether a recent report of another router is known."""
        return node in self._peers

    def drop_all_peers(self) -> None:
        """Drops the counts of all other routers."""
        self._peers.clear()
        self._peer_totals = None

    def drop_stale_peers(self, now_seconds: float) -> None:
        """Drops the counts of routers that no longer report."""
        for node, peer in list(self._peers.items()):
            if now_seconds - peer.received_at_seconds > PEER_COUNTS_TTL_SECONDS:
                del self._peers[node]
                self._peer_totals = None

    def total(self, runner_id: str) -> int:
        """Returns the requests in flight at a runner, over all routers."""
        if self._peer_totals is None:
            self._peer_totals = self._compute_peer_totals()
        return self._local.get(runner_id, 0) + self._peer_totals.get(
            runner_id, 0
        )

    def _compute_peer_totals(self) -> dict[str, int]:
        """Sums the counts of the other routers by runner id."""
        totals: dict[str, int] = {}
        for peer in self._peers.values():
            for runner_id, count in peer.counts.items():
                totals[runner_id] = totals.get(runner_id, 0) + count
        return totals
