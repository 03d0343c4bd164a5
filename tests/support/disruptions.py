"""Unplanned disruptions that excuse the loss of requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tests.support.simulated_deployment import STABLE_WINDOW_SECONDS

if TYPE_CHECKING:
    from tests.support.kept_callers import SentRequest
    from tests.support.simulated_deployment import Router


class Disruptions:
    """Unplanned disruptions, by what they hit. Times are monotonic.

    What they hit is the address of a router, `store` or `runners`.
    """

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, duration_seconds: float) -> None:
        """Records a disruption that begins now."""
        now = time.monotonic()
        self._spans.setdefault(name, []).append((now, now + duration_seconds))

    def add_pause(self, router: Router, duration_seconds: float) -> None:
        """Records that the process of a router stands still from now on."""
        self.add(_pause_name(router), duration_seconds)

    def ends_process(self, request: SentRequest) -> bool:
        """Returns whether the process was killed that a request was sent to."""
        return any(
            request.idle_since_seconds <= began <= request.ended_at_seconds
            for began, _ in self._spans.get(request.router.ip, ())
        )

    def stops_process(self, request: SentRequest) -> bool:
        """Returns whether the process stood still or was gone meanwhile."""
        for name in (request.router.ip, _pause_name(request.router)):
            for began, ended in self._spans.get(name, ()):
                if (
                    ended >= request.sent_at_seconds
                    and began <= request.ended_at_seconds
                ):
                    return True
        return False

    def excuse(self, request: SentRequest, *, is_stream: bool) -> bool:
        """Returns whether a disruption excuses the loss of a request.

        The store, and a lost member of a group, excuse only streams.
        """
        names = [request.router.ip, _pause_name(request.router)]
        if is_stream:
            names += ["store", "runners"]
        begin = request.sent_at_seconds - STABLE_WINDOW_SECONDS
        for name in names:
            for began, ended in self._spans.get(name, ()):
                if ended >= begin and began <= request.ended_at_seconds:
                    return True
        return False


def _pause_name(router: Router) -> str:
    """Returns the name of pauses of a router among the disruptions."""
    return f"pause of {router.ip}"
