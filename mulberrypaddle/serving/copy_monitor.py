"""Watches how old this router's copies of the store's collections are."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mulberrypaddle.serving.decision_log import (
    log_state_change,
    loggable_age_seconds,
)
from mulberrypaddle.serving.store import Collection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from mulberrypaddle.fleet import DeploymentLimits
    from mulberrypaddle.serving.feed import Feed

# Part of the bound on a collection's age from which its copy counts as old. A
# copy is checked earlier, so that it gets so old only if the check fails.
OLD_SHARE = 0.6


def age_bounds_seconds(limits: DeploymentLimits) -> dict[Collection, float]:
    """Returns the time within which changes must take effect, by collection.

    Args:
        limits: Limits of the deployment.
    """
    return {
        Collection.CONFIGURATION: limits.config_apply_seconds,
        Collection.EVACUATIONS: limits.evacuate_seconds,
        Collection.RUNNERS: limits.drain_seconds,
    }


class CopyMonitor:
    """Logs copies that become old, and those that are confirmed again."""

    __slots__ = ("_bounds_seconds", "_feeds", "_longest_age_seconds")

    def __init__(self, feeds: Iterable[Feed], limits: DeploymentLimits) -> None:
        """Creates a monitor of some feeds.

        Args:
            feeds: The copies.
            limits: Limits of the deployment.
        """
        self._feeds = list(feeds)
        self._bounds_seconds = age_bounds_seconds(limits)
        # Longest age of each copy that is old, by collection.
        self._longest_age_seconds: dict[Collection, float] = {}

    def tick(self, watchers: Callable[[], list[str]]) -> None:
        """Logs copies that have become old or are no longer old.

        Args:
            watchers: Returns the routers that are believed to watch the store
                for others.
        """
        for feed in self._feeds:
            age_seconds = feed.age_seconds()
            if math.isinf(age_seconds):
                continue
            limit_seconds = OLD_SHARE * self._bounds_seconds[feed.collection]
            longest_seconds = self._longest_age_seconds.get(feed.collection)
            if age_seconds >= limit_seconds:
                if longest_seconds is None:
                    log_state_change(
                        "copy_old",
                        collection=feed.collection.value,
                        age=loggable_age_seconds(age_seconds),
                        revision=feed.revision,
                        passive=feed.is_passive,
                        failed=feed.failed,
                        watchers=watchers(),
                    )
                self._longest_age_seconds[feed.collection] = max(
                    age_seconds, longest_seconds or 0.0
                )
            elif longest_seconds is not None:
                del self._longest_age_seconds[feed.collection]
                log_state_change(
                    "copy_confirmed",
                    collection=feed.collection.value,
                    age=loggable_age_seconds(age_seconds),
                    longest=loggable_age_seconds(longest_seconds),
                    revision=feed.revision,
                )
