"""Whether a request may wait, for how long, and when to come again.

Answers overload and the loss of groups: a request that can't be served before
its caller gives up is refused at once, with a time at which it can be.
"""

from __future__ import annotations

# Callers give a stream up after a gap of two seconds, four times the target
# or eight times the allowed pause, whichever is longest (the platform's page
# on requests).
GAP_SECONDS = 2.0
GAP_TARGETS = 4.0
GAP_PAUSES = 8.0

# Time from the sending to the first event that waiting must leave: a prompt
# is read and one pass of token steps is made.
FIRST_EVENT_SECONDS = 0.35

# Time from the sending to the first event at a head that has a slot: 0.18 to
# 0.24 s at the median of calm days.
USUAL_FIRST_EVENT_SECONDS = 0.2

# Part of the target of a plain request that its runner usually takes: work of
# 20 to 90 ms against targets of 120 to 400 ms.
USUAL_PLAIN_PART = 0.3

# Least time that is worth a send to a plain service.
LEAST_SEND_SECONDS = 0.05

# Callers honour a Retry-After up to this part of the time that they have.
RETRY_AFTER_PART = 1 / 3

# Factor on the longest time that a request takes by its lengths: it may wait
# for a slot and move to another runner on the way.
LONGEST_FACTOR = 2.0

# Part of the slots that newer requests want which they take from late ones for
# certain: demand is a mean of some seconds and leaves gaps.
NEWER_PART = 0.7

# Shortest Retry-After: one exchange of counts between routers.
LEAST_RETRY_AFTER_SECONDS = 0.1


def stream_gap_seconds(*, target_seconds: float, pause_seconds: float) -> float:
    """Returns the silence after which a caller gives a stream up."""
    return max(
        GAP_SECONDS, GAP_TARGETS * target_seconds, GAP_PAUSES * pause_seconds
    )


def on_time_until(
    *, arrived_at_seconds: float, target_seconds: float, is_stream: bool
) -> float:
    """Returns until when a sending makes the answer come within the target.

    Args:
        arrived_at_seconds: When the request came.
        target_seconds: Target of its route.
        is_stream: Whether the answer is a stream.
    """
    takes_seconds = USUAL_FIRST_EVENT_SECONDS
    if not is_stream:
        takes_seconds = target_seconds * USUAL_PLAIN_PART
    return arrived_at_seconds + target_seconds - takes_seconds


def ends_in_time(
    *,
    now_seconds: float,
    deadline_seconds: float,
    longest_seconds: float | None,
    ends_at_seconds: float,
) -> bool:
    """Returns whether a request is over before its router ends.

    Answers stops of several routers at once, when callers have nobody else to
    turn to: what fits is still served.

    Args:
        now_seconds: Monotonic time.
        deadline_seconds: When the request's time is up.
        longest_seconds: How long it takes at the most; None if nobody knows.
        ends_at_seconds: When the router ends.
    """
    if deadline_seconds <= ends_at_seconds:
        return True
    if longest_seconds is None:
        return False
    reserve = longest_seconds * LONGEST_FACTOR + FIRST_EVENT_SECONDS
    return now_seconds + reserve <= ends_at_seconds


class Patience:
    """How long a request may wait.

    Attributes:
        until_seconds: Monotonic time at which waiting ends; None if the
            request is to be refused at once.
        retry_after_seconds: When to come again, if it is refused.
    """

    __slots__ = ("retry_after_seconds", "until_seconds")

    def __init__(
        self, *, until_seconds: float | None, retry_after_seconds: float
    ) -> None:
        self.until_seconds = until_seconds
        self.retry_after_seconds = retry_after_seconds


def judge(
    *,
    now_seconds: float,
    give_up_at_seconds: float,
    deadline_seconds: float,
    is_stream: bool,
    serving_slots: int,
    ahead: int,
    busy_seconds: float,
    ready_in_seconds: float | None,
    newer_slots: float = 0.0,
) -> Patience:
    """Decides whether a request may wait for a place.

    Args:
        now_seconds: Monotonic time.
        give_up_at_seconds: When the caller gives up without a first byte.
        deadline_seconds: When the request's time is up.
        is_stream: Whether the answer is a stream.
        serving_slots: Slots of the runners that serve.
        ahead: Requests that go before, over all routers.
        busy_seconds: How long a usual request holds a slot.
        ready_in_seconds: When the next runner is expected to serve, if none
            does; None if nobody knows.
        newer_slots: Slots that newer requests want, which go before a late
            one; 0 for a request that can be in time.
    """
    least = FIRST_EVENT_SECONDS if is_stream else LEAST_SEND_SECONDS
    until = min(give_up_at_seconds, deadline_seconds) - least
    left_slots = serving_slots - newer_slots * NEWER_PART
    if serving_slots > 0 and left_slots <= 0:
        expected = float("inf")
    elif serving_slots > 0:
        expected = (ahead + 1) * busy_seconds / left_slots
    elif ready_in_seconds is not None:
        expected = ready_in_seconds + ahead * busy_seconds / 10
    else:
        expected = float("inf")
    if now_seconds + expected <= until:
        return Patience(
            until_seconds=until,
            retry_after_seconds=retry_after(
                expected,
                now_seconds=until,
                deadline_seconds=deadline_seconds,
            ),
        )
    return Patience(
        until_seconds=None,
        retry_after_seconds=retry_after(
            expected,
            now_seconds=now_seconds,
            deadline_seconds=deadline_seconds,
        ),
    )


def retry_after(
    expected_seconds: float, *, now_seconds: float, deadline_seconds: float
) -> float:
    """Returns when a refused caller had best come again.

    Args:
        expected_seconds: When there will be room; may be infinite.
        now_seconds: Monotonic time.
        deadline_seconds: When the caller's time is up.
    """
    most = max(0.0, deadline_seconds - now_seconds) * RETRY_AFTER_PART
    return max(LEAST_RETRY_AFTER_SECONDS, min(expected_seconds, most))
