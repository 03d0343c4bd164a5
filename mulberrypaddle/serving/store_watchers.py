"""Which routers watch the store on behalf of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Time without a heartbeat from any router that watches the store for others,
# after which a router watches it itself: several heartbeats. Members of a large
# fleet, which rely on a relay, wait longer, since their many calls would reach
# the store all at once.
WATCHER_TIMEOUT_SECONDS = 0.6
MEMBER_WATCHER_TIMEOUT_SECONDS = 2.0


class StoreWatchers:
    """Time of the last heartbeat of each router that watches the store."""

    __slots__ = ("_received_at_seconds",)

    def __init__(self) -> None:
        # Monotonic time of the last heartbeat, by name of the router.
        self._received_at_seconds: dict[str, float] = {}

    def record(self, node: str, now_seconds: float) -> None:
        """Records a heartbeat of a router that watches the store for others."""
        self._received_at_seconds[node] = now_seconds

    def withdraw(self, node: str) -> None:
        """Records that a router no longer watches the store for others."""
        self._received_at_seconds.pop(node, None)

    def active(self, now_seconds: float, *, is_member: bool) -> Iterator[str]:
        """Yields the routers that currently watch the store for others.

        Args:
            now_seconds: Monotonic time.
            is_member: Whether this router is in a large fleet and not a relay,
                so that a longer timeout applies.
        """
        timeout_seconds = WATCHER_TIMEOUT_SECONDS
        if is_member:
            timeout_seconds = MEMBER_WATCHER_TIMEOUT_SECONDS
        for node, received_at_seconds in self._received_at_seconds.items():
            if now_seconds - received_at_seconds < timeout_seconds:
                yield node

    def has_active(
        self, now_seconds: float, *, is_member: bool, before: str = ""
    ) -> bool:
        """Returns whether a router currently watches the store for others.

        Args:
            now_seconds: Monotonic time.
            is_member: Whether this router is in a large fleet and not a relay,
                so that a longer timeout applies.
            before: If given, only routers whose names sort before it count.
        """
        return any(
            not before or node < before
            for node in self.active(now_seconds, is_member=is_member)
        )
