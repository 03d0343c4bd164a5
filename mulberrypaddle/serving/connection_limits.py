"""Connections of callers that wait for the head of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mulberrypaddle.serving.decision_log import log_state_change

if TYPE_CHECKING:
    from mulberrypaddle.serving.caller_stream import CallerStream


class _WaitingConnection:
    """A connection that waits for the head of a request.

    Attributes:
        stream: The connection.
        idle_since_seconds: Loop time since which it is idle.
        idle_bytes: Number of bytes received before it became idle.
    """

    __slots__ = (
        "idle_bytes",
        "idle_since_seconds",
        "stream",
    )

    def __init__(
        self,
        stream: CallerStream,
        *,
        idle_since_seconds: float,
    ) -> None:
        self.stream = stream
        self.idle_since_seconds = idle_since_seconds
        self.idle_bytes = stream.received_bytes


class ConnectionLimits:
    """The connections that wait for the head of a request.

    Times are loop times, in seconds.
    """

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        # Waiting connections, by the server's object for the connection.
        self._waiting: dict[object, _WaitingConnection] = {}

    def start_waiting(
        self, connection: object, stream: CallerStream, now_seconds: float
    ) -> None:
        """Records that a connection waits for its next request."""
        self._waiting[connection] = _WaitingConnection(
            stream,
            idle_since_seconds=now_seconds,
        )

    def stop_waiting(self, connection: object) -> None:
        """Records that the head of a request is complete."""
        self._waiting.pop(connection, None)

    def record_closed(self, connection: object, now_seconds: float) -> None:
        """Records that a connection is closed; logs a request that is lost."""
        waiting = self._waiting.pop(connection, None)
        if waiting is None:
            return
        stream = waiting.stream
        received_bytes = stream.received_bytes - waiting.idle_bytes
        if not received_bytes and not stream.dropped_unread:
            return
        log_state_change(
            "request_dropped",
            received_bytes=received_bytes,
            unread=stream.dropped_unread,
            idle_seconds=round(now_seconds - waiting.idle_since_seconds, 3),
        )
