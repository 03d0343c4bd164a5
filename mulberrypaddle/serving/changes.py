"""Changes of collections that travel along with digests.

A router that keeps up has the changes of the last interval and needs no more
than the next ones; one that missed some fetches them (see `catch_up`).
"""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mulberrypaddle.serving.feed import Feed

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Longest changes, before they are compressed, that travel with a digest.
MOST_CHANGE_BYTES = 16_384


class ChangeTracker:
    """What each digest tells of the collections."""

    __slots__ = ("_feeds", "_told_revisions")

    def __init__(self, feeds: dict[str, Feed]) -> None:
        self._feeds = feeds
        self._told_revisions: dict[str, int] = {}

    def since_last(self) -> dict[str, Any]:
        """Returns what changed since the last call, by collection."""
        changes: dict[str, Any] = {}
        size_bytes = 0
        for name, feed in self._feeds.items():
            since = self._told_revisions.get(name, 0)
            if since and feed.revision > since:
                message = feed.to_message(since)
                size_bytes += len(json.dumps(message))
                if size_bytes <= MOST_CHANGE_BYTES:
                    changes[name] = message
            self._told_revisions[name] = feed.revision
        return changes

    def take(self, changes: dict[str, Any]) -> None:
        """Takes what another router told of collections that rest here."""
        for name, message in changes.items():
            feed = self._feeds.get(name)
            if feed is None or not feed.rests:
                continue
            try:
                feed.take_message(message)
            except (KeyError, TypeError, ValueError) as error:
                _LOGGER.warning(
                    "unreadable_changes",
                    extra={"collection": name, "reason": str(error)},
                )
