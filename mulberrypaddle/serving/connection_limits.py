"""Limits on the time for which callers may leave connections unused.

A connection that waits for a request may be idle for a time, and the head of a
request may take a time to arrive. Callers go by the limits of the newest
configuration and use connections until shortly before the end, so a connection
is closed only if nothing has arrived on it, whatever the clock says.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.metrics import CLOSED_CONNECTIONS

if TYPE_CHECKING:
    from mulberrypaddle.serving.caller_stream import CallerStream

# Interval between two checks of the waiting connections.
CHECK_INTERVAL_SECONDS = 0.25

# Factor on the limit of a head that goes on arriving: a process that is late
# reads it and checks the limit in the same turn of the event loop.
LATE_HEAD_FACTOR = 2.0


class _WaitingConnection:
    """A connection that waits for the head of a request.

    Attributes:
        stream: The connection.
        idle_since_seconds: Loop time since which it is idle.
        idle_limit_seconds: Longest idle limit that was in force since then.
        head_limit_seconds: Longest limit of a head that was in force since
            then.
        idle_bytes: Number of bytes received before it became idle that do not
            belong to the awaited request.
        checked_bytes: Number of bytes received before the last check.
        head_since_seconds: Loop time at which the first bytes of the head were
            noticed; None before.
        closed_at_limit: Whether it was closed because a limit was over.
    """

    __slots__ = (
        "checked_bytes",
        "closed_at_limit",
        "head_limit_seconds",
        "head_since_seconds",
        "idle_bytes",
        "idle_limit_seconds",
        "idle_since_seconds",
        "stream",
    )

    def __init__(
        self,
        stream: CallerStream,
        *,
        idle_since_seconds: float,
        idle_limit_seconds: float,
        head_limit_seconds: float,
    ) -> None:
        self.stream = stream
        self.idle_since_seconds = idle_since_seconds
        self.idle_limit_seconds = idle_limit_seconds
        self.head_limit_seconds = head_limit_seconds
        self.idle_bytes = stream.received_bytes - stream.buffered_bytes
        self.checked_bytes = stream.received_bytes
        self.head_since_seconds: float | None = None
        self.closed_at_limit = False

    @property
    def has_head_begun(self) -> bool:
        """Returns whether bytes of a head were received.

        Callers may send line ends between two requests.
        """
        return (
            self.stream.received_bytes > self.idle_bytes
            and not self.stream.buffers_only_line_ends
        )

    @property
    def has_head_been_read(self) -> bool:
        """Returns whether a whole head was taken from the stream."""
        stream = self.stream
        return stream.received_bytes - stream.buffered_bytes > self.idle_bytes


class ConnectionLimits:
    """Closes connections of callers on which no request arrives in time.

    Times are loop times, in seconds.

    Attributes:
        idle_seconds: Idle limit in force.
        head_seconds: Longest time from the first byte of a head to its end.
    """

    __slots__ = ("_waiting", "head_seconds", "idle_seconds")

    def __init__(self, *, idle_seconds: float, head_seconds: float) -> None:
        self.idle_seconds = idle_seconds
        self.head_seconds = head_seconds
        # Waiting connections, by the server's object for the connection.
        self._waiting: dict[object, _WaitingConnection] = {}

    def update(self, *, idle_seconds: float, head_seconds: float) -> None:
        """Applies the limits of a new configuration.

        Connections that wait already keep their limits if the new ones are
        shorter, since their callers may not know them yet.
        """
        self.idle_seconds = idle_seconds
        self.head_seconds = head_seconds
        for waiting in self._waiting.values():
            waiting.idle_limit_seconds = max(
                waiting.idle_limit_seconds, idle_seconds
            )
            waiting.head_limit_seconds = max(
                waiting.head_limit_seconds, head_seconds
            )

    def start_waiting(
        self, connection: object, stream: CallerStream, now_seconds: float
    ) -> None:
        """Records that a connection waits for its next request."""
        self._waiting[connection] = _WaitingConnection(
            stream,
            idle_since_seconds=now_seconds,
            idle_limit_seconds=self.idle_seconds,
            head_limit_seconds=self.head_seconds,
        )

    def stop_waiting(self, connection: object) -> None:
        """Records that the head of a request is complete."""
        self._waiting.pop(connection, None)

    def has_arriving_request(self) -> bool:
        """Returns whether any part of a request has come on a connection."""
        for waiting in self._waiting.values():
            stream = waiting.stream
            if stream.received_bytes > waiting.idle_bytes:
                return True
            if stream.has_unread_bytes():
                return True
        return False

    def record_closed(self, connection: object, now_seconds: float) -> None:
        """Records that a connection is closed; logs a request that is lost."""
        waiting = self._waiting.pop(connection, None)
        if waiting is None or waiting.has_head_been_read:
            # A head that was read, but did not end the wait, was refused.
            return
        stream = waiting.stream
        if not waiting.has_head_begun and not stream.dropped_unread:
            return
        log_state_change(
            "request_dropped",
            received_bytes=stream.received_bytes - waiting.idle_bytes,
            unread=stream.dropped_unread,
            idle_seconds=round(now_seconds - waiting.idle_since_seconds, 3),
            limit_seconds=waiting.idle_limit_seconds,
            at_limit=waiting.closed_at_limit,
        )

    def close_expired(self, now_seconds: float) -> None:
        """Closes the connections whose time is over."""
        for waiting in list(self._waiting.values()):
            received_bytes = waiting.stream.received_bytes
            grows = received_bytes > waiting.checked_bytes
            waiting.checked_bytes = received_bytes
            if waiting.head_since_seconds is None and waiting.has_head_begun:
                waiting.head_since_seconds = now_seconds
            if now_seconds < self._closes_at_seconds(waiting, grows=grows):
                continue
            if waiting.stream.has_unread_bytes():
                # The process is late; the next check comes after the read.
                continue
            self._close(waiting)

    def _closes_at_seconds(
        self, waiting: _WaitingConnection, *, grows: bool
    ) -> float:
        """Returns when a connection is to be closed.

        Args:
            waiting: The connection.
            grows: Whether bytes were received since the last check.
        """
        if waiting.head_since_seconds is not None:
            factor = LATE_HEAD_FACTOR if grows else 1.0
            return (
                waiting.head_since_seconds + factor * waiting.head_limit_seconds
            )
        # The head of a request that was sent in time may be under way.
        return (
            waiting.idle_since_seconds
            + waiting.idle_limit_seconds
            + waiting.head_limit_seconds
        )

    def _close(self, waiting: _WaitingConnection) -> None:
        """Closes a connection whose time is over."""
        waiting.closed_at_limit = True
        reason = "idle" if waiting.head_since_seconds is None else "head"
        CLOSED_CONNECTIONS.labels(reason=reason).inc()
        waiting.stream.close()
