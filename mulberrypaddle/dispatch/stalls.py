"""Detection of stalled streams and of stalled heads.

A head is the member of a group of runners that receives its requests. A head
whose group lost a member keeps accepting requests and answers none of them. To
a request that waits in its queue, a full head looks the same. Therefore a full
head is suspected only because of streams that have started, and a queued
request is given more time.
"""

from __future__ import annotations

# Silence of a head, over all streams of this router, after which it is
# suspected and its group is checked: a pass of a full group takes 0.05 s, 0.3 s
# with long prompts.
SUSPECT_AFTER_SECONDS = 0.4

# Silence of a head after which its streams move to another head. Even a runner
# five times slower than the others makes a pass in less time; a caller leaves
# after two seconds.
STALL_SECONDS = 1.0

# Silence before the first event after which a request moves away from a head
# with a free slot.
FIRST_EVENT_STALL_SECONDS = 1.2

# The same for a head that is full: the request waits in its queue, and a caller
# leaves after two seconds.
QUEUED_STALL_SECONDS = 1.8

# The same for a head on which other streams have stalled.
SUSPECTED_STALL_SECONDS = 0.5


def silence_limit_seconds(
    *, has_events: bool, is_suspected: bool, queued: bool
) -> float:
    """Returns the silence after which a stream moves to another head.

    Args:
        has_events: Whether the stream has received an event from this head.
        is_suspected: Whether other streams of the head have stalled.
        queued: Whether the head has more requests than slots.
    """
    if has_events:
        return STALL_SECONDS
    if is_suspected:
        return SUSPECTED_STALL_SECONDS
    return QUEUED_STALL_SECONDS if queued else FIRST_EVENT_STALL_SECONDS


def is_head_stalled(
    *, silent_seconds: float, has_events: bool, queued: bool
) -> bool:
    """Returns whether the silence of a head indicates that it has stalled.

    Args:
        silent_seconds: Time since this router last received an event from the
            head, over all streams.
        has_events: Whether the stream has received an event from this head.
        queued: Whether the head has more requests than slots.
    """
    if has_events:
        return silent_seconds >= SUSPECT_AFTER_SECONDS
    return not queued and silent_seconds >= FIRST_EVENT_STALL_SECONDS
