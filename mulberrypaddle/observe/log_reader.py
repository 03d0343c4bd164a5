"""Parses log lines of routers and selects those that explain an event."""

from __future__ import annotations

import datetime
import json
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_FIELD = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')

# Logger of a router's view of the fleet, which applies to all of its requests.
BELIEFS_LOGGER = "mulberrypaddle.beliefs"


class LogLine:
    """One parsed log line.

    Attributes:
        text: The line as written, without the line break.
        fields: Its key=value pairs.
    """

    __slots__ = ("fields", "text")

    def __init__(self, text: str, fields: dict[str, str]) -> None:
        self.text = text
        self.fields = fields

    @property
    def at_seconds(self) -> float | None:
        """Returns its Unix time, or None if it has no valid timestamp."""
        try:
            moment = datetime.datetime.fromisoformat(self.fields["at"])
        except (KeyError, ValueError):
            return None
        return moment.timestamp()

    def mentions(self, subject: str) -> bool:
        """Returns whether one of its fields has the subject as its value."""
        return subject in self.fields.values()


def parse_line(text: str) -> LogLine:
    """Parses the key=value pairs of a line and ignores all other text."""
    fields = {}
    for name, value in _FIELD.findall(text):
        if value.startswith('"'):
            value = str(json.loads(value))
        fields[name] = value
    return LogLine(text.rstrip("\n"), fields)


def explain(
    lines: Iterable[LogLine], subject: str, *, around_seconds: float
) -> list[LogLine]:
    """Returns the lines about a subject and the routers' view at that time.

    With lines on the routers' view, the result is sorted by time and has no
    lines without a timestamp.

    Args:
        lines: Lines of one or more routers.
        subject: Id of a request, runner, group or router.
        around_seconds: Lines on the routers' view are included from this long
            before the first to this long after the last line about the
            subject; none are if it is negative.
    """
    all_lines = list(lines)
    matching = [line for line in all_lines if line.mentions(subject)]
    times = [line.at_seconds for line in matching]
    known_times = [at for at in times if at is not None]
    if not known_times or around_seconds < 0:
        return matching
    from_seconds, until_seconds = (
        min(known_times) - around_seconds,
        max(known_times) + around_seconds,
    )
    dated_lines = []
    for line in all_lines:
        at = line.at_seconds
        if at is None:
            continue
        is_belief = (
            line.fields.get("name") == BELIEFS_LOGGER
            and from_seconds <= at <= until_seconds
        )
        if is_belief or line.mentions(subject):
            dated_lines.append((at, line))
    dated_lines.sort(key=lambda pair: pair[0])
    return [line for _, line in dated_lines]
