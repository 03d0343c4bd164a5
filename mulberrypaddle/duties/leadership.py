"""Decides whether this router may make a call for a platform duty.

The holder of the duties is the router that owns the first data centre's groups,
by its lease in the store, whose fencing token is used. The lease makes the
holder unique; the pauses here keep routers from taking turns at a duty faster
than the platform accepts. Times are in seconds of a clock that counts
suspension.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Time from the first sight of a token to the first call under it. The holder
# before may have released its lease with a call in flight, which lasts 0.6 s.
HANDOVER_SECONDS = 1.0


class DutyLeadership:
    """Tracks under which fencing token calls for platform duties may be made.

    Guards against calls after the platform has refused a token, and against
    the sequence of holders A, B, A within `return_pause_seconds`: another
    router may have held the duties before this process started, or between two
    holdings of this router.

    Attributes:
        lease_token: Returns the fencing token of this router's valid lease;
            0 without one.
    """

    __slots__ = (
        "_last_call_seconds",
        "_last_token",
        "_may_call_from_seconds",
        "_on_outdated",
        "_outdated_token",
        "_return_pause_seconds",
        "_seen_at_seconds",
        "_seen_token",
        "lease_token",
    )

    def __init__(
        self,
        *,
        lease_token: Callable[[], int],
        return_pause_seconds: float,
        started_at_seconds: float,
        on_outdated: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates the state of a process that has made no call yet.

        Args:
            lease_token: Returns the fencing token of this router's valid lease;
                0 without one.
            return_pause_seconds: Time within which holders must not return.
            started_at_seconds: When the process started.
            on_outdated: Called when the platform has refused the token of the
                present lease.
        """
        self.lease_token = lease_token
        self._return_pause_seconds = return_pause_seconds
        self._on_outdated = on_outdated
        # An earlier process on this VM may have made calls just before. The
        # settings can't exclude that: they still say that the deployment
        # starts for the first time when a process is started again.
        self._may_call_from_seconds = started_at_seconds + return_pause_seconds
        self._last_token = 0
        self._last_call_seconds = 0.0
        # Highest token that the platform has refused as outdated.
        self._outdated_token = 0
        # Token of the lease as last seen, and when it was first seen.
        self._seen_token = 0
        self._seen_at_seconds = 0.0

    def observe(self, now_seconds: float) -> int:
        """Returns the token of the present lease, and records when it is new.

        Called at short intervals, so that a later call need not wait.

        Args:
            now_seconds: Time of a clock that counts suspension.
        """
        token = self.lease_token()
        if token != self._seen_token:
            self._seen_token = token
            self._seen_at_seconds = now_seconds
        return token

    def token(self, now_seconds: float) -> int | None:
        """Returns the fencing token for a call now; None if none may be made.

        Args:
            now_seconds: Time of a clock that counts suspension.
        """
        token = self.observe(now_seconds)
        if token <= 0 or token <= self._outdated_token:
            return None
        if now_seconds < max(
            self._may_call_from_seconds,
            self._seen_at_seconds + HANDOVER_SECONDS,
        ):
            return None
        if (
            self._last_token not in (0, token)
            and now_seconds - self._last_call_seconds
            < self._return_pause_seconds
        ):
            return None
        return token

    def record_call(self, token: int, now_seconds: float) -> None:
        """Records that a call was sent, or may still have been on its way.

        Args:
            token: Its fencing token.
            now_seconds: Time of a clock that counts suspension.
        """
        self._last_token = token
        self._last_call_seconds = now_seconds

    def record_outdated(self, token: int) -> None:
        """Records that the platform refused a token, which ends the holding."""
        if token <= self._outdated_token:
            return
        self._outdated_token = token
        if token == self.lease_token():
            self._on_outdated()
