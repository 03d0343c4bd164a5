"""Reads the log lines of routers back, to explain what happened."""

from __future__ import annotations

import datetime
import json
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_FIELD = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')

# Events that say what a router believed, for every request that it handles.
BELIEFS_LOGGER = "mulberrypaddle.beliefs"


class LogLine:
    """One line.

    Attributes:
        text: The line as it was written.
        fields: Its key=value pairs.
    """

    __slots__ = ("fields", "text")

    def __init__(self, text: str, fields: dict[str, str]) -> None:
        self.text = text
        self.fields = fields

    @property
    def at_seconds(self) -> float | None:
        """Returns its Unix time, or None if it bears none."""
        try:
            moment = datetime.datetime.fromisoformat(self.fields["at"])
        except (KeyError, ValueError):
            return None
        return moment.timestamp()

    def names(self, subject: str) -> bool:
        """Returns whether one of its fields is the subject."""
        return subject in self.fields.values()


def parse_line(text: str) -> LogLine:
    """Reads the key=value pairs of a line; what else it holds is left out."""
    fields = {}
    for name, value in _FIELD.findall(text):
        if value.startswith('"'):
            value = str(json.loads(value))
        fields[name] = value
    return LogLine(text.rstrip("\n"), fields)


def explain(
    lines: Iterable[LogLine], subject: str, *, around_seconds: float
) -> list[LogLine]:
    """Returns the lines about a subject, and what routers believed then.

    Args:
        lines: Lines of one or more routers.
        subject: Id of a request, runner, group or router.
        around_seconds: How long before the first and after the last line
            about the subject beliefs are shown; negative for none.
    """
    everything = list(lines)
    matching = [line for line in everything if line.names(subject)]
    times = [line.at_seconds for line in matching]
    known_times = [at for at in times if at is not None]
    if not known_times or around_seconds < 0:
        return matching
    first, last = (
        min(known_times) - around_seconds,
        max(known_times) + around_seconds,
    )
    found = []
    for line in everything:
        at = line.at_seconds
        if at is None:
            continue
        is_belief = (
            line.fields.get("name") == BELIEFS_LOGGER and first <= at <= last
        )
        if is_belief or line.names(subject):
            found.append((at, line))
    found.sort(key=lambda pair: pair[0])
    return [line for _, line in found]
