"""Form in which routers report lost runners to one another."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Most fingerprints in a report, and most losses of each: a report is part of a
# datagram.
MAX_IN_REPORT = 48
MAX_LOSSES_IN_REPORT = 5

# Separates the name of a lost runner from two ages in seconds in a report.
_AGE_SEPARATOR = "/"


def format_loss(name: str, *, lost_seconds: int, seen_seconds: int) -> str:
    """Returns one loss of a report.

    Args:
        name: Name of the lost incarnation.
        lost_seconds: Seconds since it was lost.
        seen_seconds: Seconds since the request last came.
    """
    return _AGE_SEPARATOR.join((name, str(lost_seconds), str(seen_seconds)))


def merge_loss_reports(
    reports: Iterable[dict[str, list[str]]],
) -> dict[str, list[str]]:
    """Merges reports of several routers, up to `MAX_IN_REPORT` fingerprints.

    Of each runner lost with a request, the report is kept by which that request
    came last.

    Args:
        reports: What `CrashRecords.loss_reports` returned, the most important
            first.
    """
    merged: dict[str, dict[str, str]] = {}
    for report in reports:
        for key, losses in report.items():
            if key not in merged and len(merged) >= MAX_IN_REPORT:
                continue
            by_name = merged.setdefault(key, {})
            for loss in losses:
                name, _, seen_seconds = parse_loss(loss)
                kept = by_name.get(name)
                if kept is None or seen_seconds < parse_loss(kept)[2]:
                    by_name[name] = loss
    return {key: sorted(by_name.values()) for key, by_name in merged.items()}


def parse_loss(report: str) -> tuple[str, int, int]:
    """Parses one loss of a report.

    Earlier versions report the runner's id alone.

    Returns:
        Name of the incarnation, and the seconds since it was lost and since
        the request last came.
    """
    name, *ages = report.rsplit(_AGE_SEPARATOR, 2)
    if len(ages) != 2 or not all(
        age.isascii() and age.isdigit() and len(age) < 10 for age in ages
    ):
        return report, 0, 0
    return name, int(ages[0]), int(ages[1])
