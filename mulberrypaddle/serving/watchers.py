"""Who watches the store for others."""

from __future__ import annotations

# Silence of the router that watches the store for all after which each watches
# for itself: some beats. The many members of a large fleet leave it to the
# relays for longer, since their calls would come all at once.
WATCHER_SILENCE_SECONDS = 0.6
MEMBER_WATCHER_SILENCE_SECONDS = 2.0


class Watchers:
    """When routers that watch the store for others were last heard."""

    __slots__ = ("_heard_at",)

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def take(self, node: str, now_seconds: float) -> None:
        """Takes that a router watches for others."""
        self._heard_at[node] = now_seconds

    def heard(
        self, now_seconds: float, *, relies: bool, before: str = ""
    ) -> bool:
        """Returns whether one of them is heard.

        Args:
            now_seconds: Monotonic time.
            relies: Whether the one who asks is one of many members that rely
                on a relay.
            before: If given, only routers whose names come before it count.
        """
        silence = WATCHER_SILENCE_SECONDS
        if relies:
            silence = MEMBER_WATCHER_SILENCE_SECONDS
        for node, heard_at in self._heard_at.items():
            if now_seconds - heard_at >= silence:
                continue
            if not before or node < before:
                return True
        return False
