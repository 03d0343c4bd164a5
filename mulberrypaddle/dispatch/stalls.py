"""When a stream that stands still is given up, and when that tells on its head.

A head whose group lost a member goes on to take requests and answers none. A
head that is full looks the same to a request that waits in its queue, so that
only streams that have begun are a sign, and a queue is waited for longer.
"""

from __future__ import annotations

# Silence of a head, over all streams of this router, after which its group is
# looked at: a pass of a full group takes 0.05 s, 0.3 s with long prompts.
SIGHT_SECONDS = 0.4

# Silence of a head after which its streams go on elsewhere. A runner five
# times slower than others still makes a pass in less; a caller leaves after
# two seconds.
STALL_SECONDS = 1.0

# Silence before the first event of a head that has a slot free.
FIRST_EVENT_STALL_SECONDS = 1.2

# The same at a head that is full: the request waits in its queue, and a caller
# leaves after two seconds.
QUEUED_STALL_SECONDS = 1.8

# The same at a head on which other streams stand still.
SUSPECTED_STALL_SECONDS = 0.5


def silence_limit_seconds(
    *, has_events: bool, suspected: bool, queued: bool
) -> float:
    """Returns the silence after which a stream goes on at another head.

    Args:
        has_events: Whether an event of it came from this head.
        suspected: Whether other streams of the head stand still.
        queued: Whether the head holds more requests than it has slots.
    """
    if has_events:
        return STALL_SECONDS
    if suspected:
        return SUSPECTED_STALL_SECONDS
    return QUEUED_STALL_SECONDS if queued else FIRST_EVENT_STALL_SECONDS


def tells_on_head(
    *, silent_seconds: float, has_events: bool, queued: bool
) -> bool:
    """Returns whether a silence is a sign that the head stands still.

    Args:
        silent_seconds: Silence of the head towards this router.
        has_events: Whether an event of the stream came from this head.
        queued: Whether the head holds more requests than it has slots.
    """
    if has_events:
        return silent_seconds >= SIGHT_SECONDS
    return not queued and silent_seconds >= FIRST_EVENT_STALL_SECONDS
