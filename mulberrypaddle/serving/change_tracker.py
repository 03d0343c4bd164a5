"""Changes to the store's collections that relays send with their digests.

A digest carries only the changes since the digest before. A router that missed
one fetches the missing changes over HTTP (see `CollectionSync`).
"""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from mulberrypaddle.serving.feed import Feed

_LOGGER = logging.getLogger("mulberrypaddle.peers")

# Most bytes of changes in a digest, before compression; routers fetch changes
# that do not fit.
MAX_CHANGE_BYTES = 16_384


class ChangeTracker:
    """Collects changes to send with a digest and applies received ones."""

    __slots__ = ("_feeds", "_sent_revisions")

    def __init__(self, feeds: dict[str, Feed]) -> None:
        self._feeds = feeds
        # Revision up to which changes were sent, by collection.
        self._sent_revisions: dict[str, int] = {}

    def changes_since_last_digest(self) -> dict[str, Any]:
        """Returns the changes since the last call, by collection.

        The first call returns none. Collections whose changes exceed the size
        limit are left out.
        """
        changes: dict[str, Any] = {}
        size_bytes = 0
        for name, feed in self._feeds.items():
            since = self._sent_revisions.get(name, 0)
            if since and feed.revision > since:
                message = feed.to_message(since)
                size_bytes += len(json.dumps(message))
                if size_bytes <= MAX_CHANGE_BYTES:
                    changes[name] = message
            self._sent_revisions[name] = feed.revision
        return changes

    def apply(self, changes: dict[str, Any]) -> None:
        """Applies changes that a digest brought.

        Collections that this router watches in the store itself are skipped.

        Args:
            changes: Messages of `Feed.to_message`, by collection.
        """
        for name, message in changes.items():
            feed = self._feeds.get(name)
            if feed is None or not feed.is_passive:
                continue
            try:
                feed.apply_message(message)
            except (KeyError, TypeError, ValueError) as error:
                _LOGGER.warning(
                    "unreadable_changes",
                    extra={"collection": name, "reason": str(error)},
                )
