"""Records of what was decided and why."""

from __future__ import annotations


class Decision:
    """One routing or placement decision, logged as one line.

    Attributes:
        kind: What was decided, such as `route` or `refuse`.
        subject: Id of the request, group or duty concerned.
        outcome: What was chosen.
        reason: Why, in a few words.
        at_wall_seconds: When, since the Unix epoch.
        fields: Further values for the log line, all strings.
    """

    __slots__ = (
        "at_wall_seconds",
        "fields",
        "kind",
        "outcome",
        "reason",
        "subject",
    )

    def __init__(
        self,
        kind: str,
        *,
        subject: str,
        outcome: str,
        reason: str,
        at_wall_seconds: float,
        fields: dict[str, str] | None = None,
    ) -> None:
        self.kind = kind
        self.subject = subject
        self.outcome = outcome
        self.reason = reason
        self.at_wall_seconds = at_wall_seconds
        self.fields = fields or {}
