"""Times of a planned stop, and which requests are sent to runners during one.

At the end of a stop the router answers what is in flight with an error, and can
only close a stream that has begun. An estimate does not tell whether a request
ends before that: its runner may be silent, slow or crowded, or it may need
another one. Only its deadline does.
"""

from __future__ import annotations

# Time after the signal up to which a stream may be accepted on an estimate: a
# caller that is sent to this router until it notices the stop, by two readiness
# checks a second apart, may have its stream closed at the end of the stop. The
# platform allows that for requests sent up to 3 s after the signal.
EXCUSED_ARRIVAL_SECONDS = 2.5

# Part of the grace period that is reserved for writing the last answers and for
# closing; the smaller of the two. Streams may be closed only in the last sixth
# of the grace period.
STOP_MARGIN_SECONDS = 0.7
STOP_MARGIN_FRACTION = 0.1

# Fraction of that margin within which the process exits: the interpreter takes
# some hundred milliseconds on a busy VM.
EXIT_FRACTION = 2 / 3


class StopSchedule:
    """When the steps of a planned stop are due.

    Attributes:
        signalled_at_seconds: Loop time of the signal to stop.
        excused_until_seconds: Loop time up to which arriving requests may be
            accepted on an estimate.
        ends_at_seconds: Loop time at which requests in flight are ended.
        exits_at_seconds: Loop time at which all connections are closed, however
            slowly callers read.
    """

    __slots__ = (
        "ends_at_seconds",
        "excused_until_seconds",
        "signalled_at_seconds",
        "exits_at_seconds",
    )

    def __init__(
        self, *, signalled_at_seconds: float, grace_seconds: float
    ) -> None:
        """Plans a stop.

        Args:
            signalled_at_seconds: Loop time of the signal to stop.
            grace_seconds: Time from the signal until the process is killed.
        """
        margin_seconds = min(
            STOP_MARGIN_SECONDS, STOP_MARGIN_FRACTION * grace_seconds
        )
        self.signalled_at_seconds = signalled_at_seconds
        killed_at_seconds = signalled_at_seconds + grace_seconds
        self.ends_at_seconds = killed_at_seconds - margin_seconds
        self.exits_at_seconds = killed_at_seconds - (
            EXIT_FRACTION * margin_seconds
        )
        self.excused_until_seconds = min(
            signalled_at_seconds + EXCUSED_ARRIVAL_SECONDS, self.ends_at_seconds
        )

    def may_send(
        self,
        *,
        now_seconds: float,
        arrived_at_seconds: float,
        deadline_seconds: float,
        needed_seconds: float | None,
        is_stream: bool,
        may_repeat: bool,
    ) -> bool:
        """Returns whether a request that has not run is sent to a runner.

        One whose deadline comes before the end of the stop always is. When all
        routers stop at once, callers have no other router, so some others are,
        if they are expected to end in time: those that arrived soon after the
        signal, and later ones whose caller loses nothing by an error at the
        end, that is, those with a plain answer that may be repeated.

        Args:
            now_seconds: Loop time.
            arrived_at_seconds: Loop time at which the request arrived.
            deadline_seconds: Loop time of the request's deadline.
            needed_seconds: Time that it is expected to need; None if unknown.
            is_stream: Whether its answer is a stream, which the caller receives
                as it is made.
            may_repeat: Whether it may run more than once.
        """
        if deadline_seconds <= self.ends_at_seconds:
            return True
        if needed_seconds is None:
            return False
        if now_seconds + needed_seconds > self.ends_at_seconds:
            return False
        if arrived_at_seconds <= self.excused_until_seconds:
            return True
        return may_repeat and not is_stream
