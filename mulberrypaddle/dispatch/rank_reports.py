"""Counts by rank, level and organisation in the messages between routers.

They travel as further keys beside the count of each queue, which earlier builds
pass on, add up and otherwise ignore.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from mulberrypaddle.dispatch.rank_shares import RankCounts

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Between the name of a queue and the kind of a count.
SEPARATOR = "|"

# Kinds of counts: waiting requests by level, arrivals by rank, and slots in use
# by rank and organisation.
WAITING = "w"
ARRIVALS = "a"
IN_USE = "u"

# Longest number of a level or rank that is read.
MAX_DIGITS = 4

# Most organisations of which a router reports the slots in use, by queue. They
# are those with the most slots; the others are surely within their share.
MAX_ORGANISATIONS = 16

# Most counts of slots in use that an aggregate of many routers reports.
MAX_AGGREGATED_USES = 128


class RankReport:
    """What the routers that report ranks say about one queue.

    Attributes:
        counts: Waiting requests and arrivals.
        uses: Slots in use by organisation, by rank.
    """

    __slots__ = ("counts", "uses")

    def __init__(
        self, counts: RankCounts, uses: dict[int, collections.Counter[str]]
    ) -> None:
        self.counts = counts
        self.uses = uses


def encode_counts(
    queue: str,
    *,
    waiting: Mapping[int, int],
    arrivals: Mapping[int, int],
    uses: Mapping[tuple[int, str], int],
) -> dict[str, int]:
    """Returns the counts of a queue as keys of a message.

    Args:
        queue: Name of the queue in messages.
        waiting: Number of waiting requests, by level.
        arrivals: Number of recent arrivals, by rank.
        uses: Slots in use, by rank and organisation; empty to report none.
    """
    prefix = queue + SEPARATOR
    fields = {
        f"{prefix}{WAITING}{level}": count for level, count in waiting.items()
    }
    for rank, count in arrivals.items():
        fields[f"{prefix}{ARRIVALS}{rank}"] = count
    largest = sorted(uses.items(), key=lambda item: (-item[1], item[0]))
    for (rank, organisation), count in largest[:MAX_ORGANISATIONS]:
        fields[f"{prefix}{IN_USE}{rank}{SEPARATOR}{organisation}"] = count
    return fields


def decode_counts(
    queue: str, reports: Iterable[Mapping[str, int]]
) -> RankReport:
    """Returns the sums of the counts of a queue over several reports.

    Keys that are not understood, such as those of later builds, are ignored.

    Args:
        queue: Name of the queue in messages.
        reports: Waiting counts as reported by other routers.
    """
    prefix = queue + SEPARATOR
    waiting: collections.Counter[int] = collections.Counter()
    arrivals: collections.Counter[int] = collections.Counter()
    uses: dict[int, collections.Counter[str]] = {}
    total = 0
    for report in reports:
        total += report.get(queue, 0)
        for name, count in report.items():
            if not name.startswith(prefix):
                continue
            kind = name[len(prefix) : len(prefix) + 1]
            text, _, organisation = name[len(prefix) + 1 :].partition(SEPARATOR)
            if not text.isdecimal() or len(text) > MAX_DIGITS:
                continue
            number = int(text)
            if kind == WAITING:
                waiting[number] += count
            elif kind == ARRIVALS:
                arrivals[number] += count
            elif kind == IN_USE:
                uses.setdefault(number, collections.Counter())[
                    organisation
                ] += count
    counts = RankCounts(
        waiting=waiting,
        arrivals=arrivals,
        unranked=max(0, total - waiting.total()),
    )
    return RankReport(counts, uses)


def keep_largest_uses(fields: dict[str, int]) -> dict[str, int]:
    """Returns counts without the smallest slots in use, if there are many.

    Bounds the size of digests: each router reports few organisations, but many
    routers together may report many.

    Args:
        fields: Sums of the waiting counts of several routers.
    """
    uses = [
        name
        for name in fields
        if name.partition(SEPARATOR)[2].startswith(IN_USE)
    ]
    if len(uses) <= MAX_AGGREGATED_USES:
        return fields
    uses.sort(key=lambda name: (-fields[name], name))
    dropped = frozenset(uses[MAX_AGGREGATED_USES:])
    return {
        name: count for name, count in fields.items() if name not in dropped
    }
