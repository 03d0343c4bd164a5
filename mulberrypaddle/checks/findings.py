"""What a check of a configuration has found."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Severity(enum.Enum):
    """How serious a finding is.

    Attributes:
        ERROR: The configuration, or a part of it, would not take effect.
        WARNING: It would take effect, but hardly as intended.
        DIFFERENCE: It differs from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


class Finding:
    """One finding.

    Attributes:
        severity: How serious it is.
        place: Where it is, such as `routes[2].timeoutMs`.
        message: What was found.
    """

    __slots__ = ("message", "place", "severity")

    def __init__(self, severity: Severity, place: str, message: str) -> None:
        self.severity = severity
        self.place = place
        self.message = message

    def as_fields(self) -> dict[str, str]:
        """Returns the finding as fields of a JSON object."""
        return {
            "severity": self.severity.value,
            "place": self.place,
            "message": self.message,
        }


def error(place: str, message: str) -> Finding:
    """Returns an error at a place."""
    return Finding(Severity.ERROR, place, message)


def warning(place: str, message: str) -> Finding:
    """Returns a warning at a place."""
    return Finding(Severity.WARNING, place, message)


def difference(place: str, message: str) -> Finding:
    """Returns a difference at a place."""
    return Finding(Severity.DIFFERENCE, place, message)


def exit_status(findings: Iterable[Finding]) -> int:
    """Returns the exit status: 0 without findings, 2 with errors, else 1."""
    status = 0
    for finding in findings:
        if finding.severity is Severity.ERROR:
            return 2
        status = 1
    return status
