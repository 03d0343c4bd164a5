"""How many requests each runner holds, over all routers."""

from __future__ import annotations

# Age after which a silent router's counts no longer hold; ten exchanges.
STALE_SECONDS = 1.0


class _PeerCounts:
    """Counts that another router told."""

    __slots__ = ("counts", "told_at_seconds")

    def __init__(self, counts: dict[str, int], told_at_seconds: float) -> None:
        self.counts = counts
        self.told_at_seconds = told_at_seconds


class Loads:
    """Requests in hand at each runner: own ones exactly, others' as told."""

    __slots__ = ("_own", "_peers", "_sums")

    # Sums over the other routers; None when they are to be made anew.
    _sums: dict[str, int] | None

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._peers: dict[str, _PeerCounts] = {}
        self._sums = None

    @property
    def own(self) -> dict[str, int]:
        """Returns the own counts by runner, without zeros."""
        return self._own

    def begin(self, runner_id: str) -> None:
        """Counts a request that is sent to a runner."""
        self._own[runner_id] = self._own.get(runner_id, 0) + 1

    def end(self, runner_id: str) -> None:
        """Counts a request off that has ended."""
        left = self._own.get(runner_id, 0) - 1
        if left > 0:
            self._own[runner_id] = left
        else:
            self._own.pop(runner_id, None)

    def take_peer(
        self, node: str, counts: dict[str, int], *, now_seconds: float
    ) -> None:
        """Takes the counts of another router."""
        self._peers[node] = _PeerCounts(counts, now_seconds)
        self._sums = None

    def drop_peers(self) -> None:
        """Forgets what all other routers told."""
        self._peers.clear()
        self._sums = None

    def forget_stale(self, now_seconds: float) -> None:
        """Drops counts of routers that have fallen silent."""
        for node, peer in list(self._peers.items()):
            if now_seconds - peer.told_at_seconds > STALE_SECONDS:
                del self._peers[node]
                self._sums = None

    def total(self, runner_id: str) -> int:
        """Returns the requests in hand at a runner."""
        if self._sums is None:
            self._sums = self._sum_up()
        return self._own.get(runner_id, 0) + self._sums.get(runner_id, 0)

    def _sum_up(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for peer in self._peers.values():
            for runner_id, count in peer.counts.items():
                sums[runner_id] = sums.get(runner_id, 0) + count
        return sums
