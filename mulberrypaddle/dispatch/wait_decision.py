"""Decides whether a request may wait for a slot, and its Retry-After if not.

Guards against overload and the loss of groups: a request that can't be served
before its caller gives up is refused at once, with the time at which capacity
is expected.
"""

from __future__ import annotations

# Callers abandon a stream after a gap of two seconds, four times the target or
# eight times the allowed pause, whichever is longest (documented on the
# platform's page on requests).
MIN_CALLER_GAP_SECONDS = 2.0
CALLER_GAP_PER_TARGET = 4.0
CALLER_GAP_PER_PAUSE = 8.0

# Time from sending to the first event that must remain after waiting: the
# engine reads the prompt and makes one pass of token steps.
FIRST_EVENT_RESERVE_SECONDS = 0.35

# Typical time from sending to the first event at a head with a free slot.
TYPICAL_FIRST_EVENT_SECONDS = 0.2

# Fraction of the target of a plain request that its runner typically needs:
# processing takes 20 to 90 ms, targets are 120 to 400 ms.
TYPICAL_PLAIN_FRACTION = 0.3

# Least remaining time with which a request is still sent to a runner.
MIN_SEND_SECONDS = 0.05

# Callers honour a Retry-After up to this fraction of their remaining time.
MAX_RETRY_AFTER_FRACTION = 1 / 3

# Safety factor on the longest duration computed from the lengths of prompt and
# answer: the request may wait for a slot and move to another runner.
MAX_DURATION_MARGIN = 2.0

# Fraction of the slots demanded by newer requests that late requests can't get.
# That demand is a mean over some seconds and leaves gaps, which late requests
# use.
NEWER_DEMAND_FRACTION = 0.7

# Shortest Retry-After: the interval at which routers exchange their counts.
MIN_RETRY_AFTER_SECONDS = 0.1


def stream_gap_seconds(*, target_seconds: float, pause_seconds: float) -> float:
    """Returns the silence after which a caller abandons a stream.

    Args:
        target_seconds: Latency target of the route.
        pause_seconds: Longest pause of the route between two events.
    """
    return max(
        MIN_CALLER_GAP_SECONDS,
        CALLER_GAP_PER_TARGET * target_seconds,
        CALLER_GAP_PER_PAUSE * pause_seconds,
    )


def on_time_until(
    *, arrived_at_seconds: float, target_seconds: float, is_stream: bool
) -> float:
    """Returns the latest time to send a request that is to meet its target.

    Args:
        arrived_at_seconds: Monotonic time at which the request arrived.
        target_seconds: Latency target of its route.
        is_stream: Whether the answer is a stream.
    """
    service_seconds = TYPICAL_FIRST_EVENT_SECONDS
    if not is_stream:
        service_seconds = target_seconds * TYPICAL_PLAIN_FRACTION
    return arrived_at_seconds + target_seconds - service_seconds


class WaitDecision:
    """Decision on whether and how long a request may wait.

    Attributes:
        until_seconds: Monotonic time at which waiting ends; None if the
            request is refused at once.
        retry_after_seconds: Retry-After of a refusal, whether at once or at
            the end of waiting.
    """

    __slots__ = ("retry_after_seconds", "until_seconds")

    def __init__(
        self, *, until_seconds: float | None, retry_after_seconds: float
    ) -> None:
        self.until_seconds = until_seconds
        self.retry_after_seconds = retry_after_seconds


def decide_wait(
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
) -> WaitDecision:
    """Decides whether a request may wait for a free slot.

    Args:
        now_seconds: Monotonic time.
        give_up_at_seconds: Monotonic time at which the caller gives up if it
            receives nothing until then.
        deadline_seconds: Monotonic time of the request's deadline.
        is_stream: Whether the answer is a stream.
        serving_slots: Total slots of the runners that accept requests now.
        ahead: Number of waiting requests with a higher priority, over all
            routers.
        busy_seconds: How long an average request holds a slot.
        ready_in_seconds: Time until the next runner is expected to serve, used
            if none serves now; None if unknown.
        newer_slots: Slots demanded by newer requests, which have priority over
            a request that misses its target; 0 for one that can meet it.
    """
    min_send_seconds = (
        FIRST_EVENT_RESERVE_SECONDS if is_stream else MIN_SEND_SECONDS
    )
    wait_until_seconds = (
        min(give_up_at_seconds, deadline_seconds) - min_send_seconds
    )
    available_slots = serving_slots - newer_slots * NEWER_DEMAND_FRACTION
    if serving_slots > 0 and available_slots <= 0:
        expected_wait_seconds = float("inf")
    elif serving_slots > 0:
        expected_wait_seconds = (ahead + 1) * busy_seconds / available_slots
    elif ready_in_seconds is not None:
        expected_wait_seconds = ready_in_seconds + ahead * busy_seconds / 10
    else:
        expected_wait_seconds = float("inf")
    if now_seconds + expected_wait_seconds <= wait_until_seconds:
        return WaitDecision(
            until_seconds=wait_until_seconds,
            retry_after_seconds=retry_after(
                expected_wait_seconds,
                now_seconds=wait_until_seconds,
                deadline_seconds=deadline_seconds,
            ),
        )
    return WaitDecision(
        until_seconds=None,
        retry_after_seconds=retry_after(
            expected_wait_seconds,
            now_seconds=now_seconds,
            deadline_seconds=deadline_seconds,
        ),
    )


def retry_after(
    expected_seconds: float, *, now_seconds: float, deadline_seconds: float
) -> float:
    """Returns the Retry-After of a refused request, in seconds.

    Args:
        expected_seconds: Time until capacity is expected; may be infinite.
        now_seconds: Monotonic time.
        deadline_seconds: Monotonic time of the request's deadline.
    """
    max_seconds = (
        max(0.0, deadline_seconds - now_seconds) * MAX_RETRY_AFTER_FRACTION
    )
    return max(MIN_RETRY_AFTER_SECONDS, min(expected_seconds, max_seconds))
