"""How many requests a second a router sends to a cold runner.

What a cold runner bears is parted evenly among the routers alive. Where that
is less than one a second for each, a router sends one and then pauses; it
begins at a random point of its pause, so that routers that see a runner turn
cold, or start themselves, don't all send at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class _Account:
    """What a router has sent to one runner.

    Attributes:
        began_at_seconds: Start of the present span.
        sent: Requests sent in it.
    """

    __slots__ = ("began_at_seconds", "sent")

    def __init__(self, began_at_seconds: float, *, sent: int) -> None:
        self.began_at_seconds = began_at_seconds
        self.sent = sent


class ColdRate:
    """Keeps one router's share of what cold runners bear."""

    __slots__ = ("_accounts", "_random")

    def __init__(self, rng: random.Random) -> None:
        self._accounts: dict[str, _Account] = {}
        self._random = rng

    def allows(
        self,
        runner_id: str,
        *,
        requests_per_second: float,
        routers: int,
        now_seconds: float,
    ) -> bool:
        """Returns whether one more request may be sent now.

        Args:
            runner_id: The cold runner.
            requests_per_second: What it bears, over all routers; above 0.
            routers: Routers that may be alive, this one counted.
            now_seconds: Monotonic time.
        """
        share = requests_per_second / max(1, routers)
        span_seconds = max(1.0, 1.0 / share)
        account = self._accounts.get(runner_id)
        if account is None:
            if share >= 1:
                return True
            account = _Account(
                now_seconds - self._random.uniform(0, span_seconds), sent=1
            )
            self._accounts[runner_id] = account
        if now_seconds - account.began_at_seconds >= span_seconds:
            return True
        return account.sent < int(share)

    def sent(self, runner_id: str, now_seconds: float) -> None:
        """Counts a request that was sent to a cold runner."""
        account = self._accounts.get(runner_id)
        if account is None or now_seconds - account.began_at_seconds >= 1.0:
            self._accounts[runner_id] = _Account(now_seconds, sent=1)
            return
        account.sent += 1
