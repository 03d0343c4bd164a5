"""Sums up, from the logs of all routers, what delayed or cost requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from mulberrypaddle.observe.log_reader import LogLine

# Events of requests that were not answered on time, and the field with the
# cause.
_CAUSE_FIELD_BY_EVENT = {"late": "cause", "refused": "kind", "cut": "kind"}


class LossCount:
    """Number of requests that were late or not answered for one reason.

    Attributes:
        interval_seconds: Unix time at which the interval begins; 0 if the
            counts are not divided by time.
        model: Requested model; empty for plain services.
        event: "late", "refused" or "cut".
        cause: Cause of the lateness, or kind of the error.
        requests: Number of requests.
    """

    __slots__ = ("cause", "event", "interval_seconds", "model", "requests")

    def __init__(
        self, interval_seconds: float, *, model: str, event: str, cause: str
    ) -> None:
        self.interval_seconds = interval_seconds
        self.model = model
        self.event = event
        self.cause = cause
        self.requests = 0


def count_losses(
    lines: Iterable[LogLine], *, interval_seconds: float = 0.0
) -> list[LossCount]:
    """Counts the requests that were late or not answered, by cause.

    Args:
        lines: Log lines of one or more routers.
        interval_seconds: Length of the intervals to divide the counts by; 0
            for a single count.

    Returns:
        The counts, by interval and then the most frequent first.
    """
    counts: dict[tuple[float, str, str, str], LossCount] = {}
    for line in lines:
        event = line.fields.get("event", "")
        cause_field = _CAUSE_FIELD_BY_EVENT.get(event)
        if cause_field is None:
            continue
        begins_seconds = 0.0
        if interval_seconds > 0:
            at_seconds = line.at_seconds
            if at_seconds is None:
                continue
            begins_seconds = at_seconds - at_seconds % interval_seconds
        model = line.fields.get("model", "")
        cause = line.fields.get(cause_field, "")
        count = counts.setdefault(
            (begins_seconds, model, event, cause),
            LossCount(begins_seconds, model=model, event=event, cause=cause),
        )
        count.requests += 1
    return sorted(
        counts.values(),
        key=lambda count: (count.interval_seconds, -count.requests),
    )
